package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns a valid contract. Its content depends on rate.
func document(customer string, rate int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"customer":%q,"credentials":[{"name":"a","sha256":"%064d"}],"services":[{"name":"s","rate_per_second":%d,`+
		`"concurrent":1,"retry_percent":0,"operations":[{"name":"o","method":"GET","path":"/","class":"normal","idempotent":true,"deadline_ms":10}],`+
		`"measuring":{"probes_per_second_per_upstream":0,"entry_hosts_max":1}}]}`, customer, 0, rate+1))
}

func encode(t interface{ Fatal(...any) }, r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// referenceState is a reference implementation of the state: all accepted changes by customer, without snapshots.
type referenceState map[string][]Change

// apply accepts a change if it is valid, is based on the newest revision and is not a repetition.
func (r referenceState) apply(c Change, valid bool) {
	accepted := r[c.Customer]
	recent := accepted[max(0, len(accepted)-HistoryLimit):]
	known := slices.ContainsFunc(recent, func(a Change) bool { return a.OpID == c.OpID })
	if valid && !known && c.Base == uint64(len(accepted)) {
		r[c.Customer] = append(slices.Clone(accepted), c)
	}
}

// differs returns an error if a state differs from the reference state.
func (r referenceState) differs(s *State) error {
	if len(r) != len(s.Entries) {
		return fmt.Errorf("the state has %d customers, want %d", len(s.Entries), len(r))
	}
	for customer, accepted := range r {
		e, last := s.Entries[customer], accepted[len(accepted)-1]
		if e == nil || e.Revision != uint64(len(accepted)) || e.OpID != last.OpID || e.Deleted != last.Deleted || string(e.Document) != string(last.Document) {
			return fmt.Errorf("the entry of %s is %+v, want %d changes, the last of them %+v", customer, e, len(accepted), last)
		}
		if (e.Contract == nil) != e.Deleted || len(e.History) != min(len(accepted), HistoryLimit) {
			return fmt.Errorf("the entry of %s has contract %v and %d history entries after %d changes", customer, e.Contract, len(e.History), len(accepted))
		}
		for i, h := range e.History {
			if want := accepted[len(accepted)-1-i]; h.OpID != want.OpID || h.Revision != uint64(len(accepted)-i) {
				return fmt.Errorf("the entry of %s: history entry %d is %+v, want %+v", customer, i, h, want)
			}
		}
	}
	return nil
}

// drawLog generates the records of concurrent operators, and the reference states: states[i] is the state after record i.
func drawLog(t *rapid.T) (records []StoredRecord, states []referenceState) {
	state, sent := referenceState{}, []Change{}
	machine := NewStateMachine()
	pending := map[int]*Snapshot{} // snapshots that were taken and may be appended later
	for i := range rapid.IntRange(1, 120).Draw(t, "records") {
		var data []byte
		customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
		base := max(0, len(state[customer])-rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, -1}).Draw(t, "stale"))
		c := Change{OpID: fmt.Sprintf("op-%d", i), Customer: customer, Base: uint64(base), Document: document(customer, i), Operator: "x", At: epoch}
		valid := true
		switch rapid.SampledFrom([]string{"change", "change", "change", "change", "delete", "repeat", "broken", "garbage", "take", "put"}).Draw(t, "kind") {
		case "delete":
			c.Document, c.Deleted = nil, true
		case "repeat":
			if len(sent) > 0 {
				c = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "repeated")]
			}
		case "broken":
			c.Document, valid = document("other", i), false
		case "garbage":
			data, valid = []byte(`{"change":{"base":`), false
		case "take":
			pending[i%3] = machine.Snapshot()
		case "put":
			if s := pending[i%3]; s != nil && s.AsOf >= 0 {
				data, valid = encode(t, Record{Snapshot: s}), false
			}
		}
		if data == nil {
			data = encode(t, Record{Change: &c})
			if valid {
				sent = append(sent, c)
			}
		}
		state = maps.Clone(state)
		state.apply(c, valid)
		records, states = append(records, StoredRecord{int64(i), epoch.Add(time.Duration(i) * time.Second), data}), append(states, state)
		machine.Apply(0, records[i:])
	}
	return records, states
}

// TestStateMatchesReference guards against different states after the same prefix of the log. It compares the reference states with a state
// machine that reads the whole log in batches of any size, and with one for which retention removed records unread, so that it
// continues from a snapshot.
func TestStateMatchesReference(t *testing.T) {
	closed := 0
	rapid.Check(t, func(t *rapid.T) {
		records, states := drawLog(t)
		whole, late := NewStateMachine(), NewStateMachine()
		seen := rapid.IntRange(0, len(records)).Draw(t, "read before retention")
		late.Apply(0, records[:seen])
		first := rapid.IntRange(seen, len(records)).Draw(t, "first retained")
		for at := 0; at < len(records); {
			end := rapid.IntRange(at+1, len(records)).Draw(t, "batch")
			whole.Apply(0, records[at:end])
			if err := states[end-1].differs(whole.State()); err != nil {
				t.Fatalf("state machine of the whole log, after %d records: %v", end, err)
			}
			if end > first {
				late.Apply(int64(first), records[max(late.Position(), int64(first)):end])
				if late.Position() != int64(end) {
					t.Fatalf("late state machine is at position %d after %d records", late.Position(), end)
				}
				if !late.Gap() {
					closed++
					if err := states[end-1].differs(late.State()); err != nil {
						t.Fatalf("late state machine, reading from %d to %d: %v", first, end, err)
					}
				} else if coversPrefix(records[first:end], int64(first)) {
					t.Fatalf("late state machine, reading from %d to %d, still has a gap although a snapshot covers it", first, end)
				}
			}
			at = end
		}
	})
	if closed == 0 {
		t.Fatal("in no generated log did a snapshot close a gap")
	}
}

// coversPrefix reports whether one of the records is a snapshot that covers all records before first.
func coversPrefix(records []StoredRecord, first int64) bool {
	return slices.ContainsFunc(records, func(r StoredRecord) bool {
		var rec Record
		return json.Unmarshal(r.Data, &rec) == nil && rec.Snapshot != nil && rec.Snapshot.AsOf >= first-1
	})
}

// TestMergeKeepsNewest guards against the old state of a frozen peer that replaces newer entries, and against results that depend on
// the order of merges.
func TestMergeKeepsNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, _ := drawLog(t)
		at := func(label string) *State {
			r := NewStateMachine()
			r.Apply(0, records[:rapid.IntRange(0, len(records)).Draw(t, label)])
			return r.State()
		}
		a, b := at("a"), at("b")
		broken := &State{Entries: map[string]*Entry{"a": {Customer: "a", Revision: 1 << 40, OpID: "x", Document: []byte(`{"customer":"a"}`)}}}
		ab, ba := a.Merge(b).Merge(broken), b.Merge(a)
		if !ab.Covers(ba) || !ba.Covers(ab) || !ab.Covers(a) || !ab.Covers(b) {
			t.Fatalf("the merged states differ or lack entries: %v %v", ab.Entries, ba.Entries)
		}
		if later := max(a.Position, b.Position); later == a.Position && a.Merge(b) != a {
			t.Fatal("merging an older state changed the state")
		}
	})
}

// TestSnapshotOfLostRecords guards against a state machine that closes its gap with the snapshot of a host that was paused while the
// log was restored. Such a snapshot stands for records that the log no longer holds.
func TestSnapshotOfLostRecords(t *testing.T) {
	is := is.New(t)
	change := func(op string, base uint64) []byte {
		return encode(t, Record{Change: &Change{OpID: op, Customer: "a", Base: base, Document: document("a", len(op)), At: epoch}})
	}
	paused := NewStateMachine()
	paused.Apply(0, []StoredRecord{{0, epoch, change("kept", 0)}, {1, epoch, change("lost", 1)}})
	late := NewStateMachine()
	late.Apply(1, []StoredRecord{{1, epoch, change("new", 1)}, {2, epoch, encode(t, Record{Snapshot: paused.Snapshot()})}})
	is.True(late.Gap())
	republished := paused.Snapshot()
	republished.AsOf = MergeOnly
	late.Apply(1, []StoredRecord{{3, epoch, encode(t, Record{Snapshot: republished})}})
	is.True(late.Gap()) // a re-published state does not result from applying a prefix of the log
}

// TestSnapshotDue guards against contracts that retention removes from the log for good, and against snapshots that are not needed.
func TestSnapshotDue(t *testing.T) {
	is := is.New(t)
	r := NewStateMachine()
	due := func(seconds int) bool {
		return r.SnapshotDue(epoch.Add(time.Duration(seconds)*time.Second), 10*time.Second)
	}
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	is.True(!due(1000)) // no contracts
	r.Apply(0, []StoredRecord{{0, at(0), encode(t, Record{Change: &Change{OpID: "1", Customer: "a", Document: document("a", 1)}})}})
	is.True(!due(10))
	is.True(due(11))
	early := r.Snapshot()
	r.Apply(0, []StoredRecord{{1, at(5), encode(t, Record{Change: &Change{OpID: "2", Customer: "a", Base: 1, Document: document("a", 2)}})}})
	r.Apply(0, []StoredRecord{{2, at(12), encode(t, Record{Snapshot: early})}}) // taken just before the second change
	is.True(!due(15))
	is.True(due(16)) // the second change is not covered by a snapshot
	r.Apply(0, []StoredRecord{{3, at(16), encode(t, Record{Snapshot: r.Snapshot()})}})
	is.True(!due(26))
	is.True(due(27)) // the snapshot itself is too old
	republished := &Snapshot{AsOf: MergeOnly, Entries: []*Entry{{Customer: "b", Revision: 3, OpID: "3", Document: document("b", 3)}}}
	r = NewStateMachine()
	r.Apply(0, []StoredRecord{{0, at(0), encode(t, Record{Snapshot: republished})}})
	is.True(due(11)) // a re-published state needs to be renewed too
}

// TestRecordRoundTrip guards against records that compression changes, against hosts that cannot read the uncompressed records of an
// older version, and against a damaged record that is not treated as empty.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		text, err := json.Marshal(rapid.StringN(0, 2000, -1).Draw(t, "text"))
		is.NoErr(err)
		rec := Record{Change: &Change{OpID: "a", Customer: "trentvale", Document: text}}
		plain, err := json.Marshal(rec)
		is.NoErr(err)
		stored, err := rec.Encode()
		is.NoErr(err)
		is.True(len(stored) <= len(plain))
		for _, data := range [][]byte{plain, stored} {
			got := parse(data)
			is.True(got.Change != nil)
			is.Equal(string(got.Change.Document), string(parse(plain).Change.Document))
		}
		is.Equal(parse(stored[:rapid.IntRange(0, len(stored)-1).Draw(t, "kept")]), Record{}) // damaged
	})
}

// TestRecordBound guards against a small record that exhausts the memory when it is decompressed.
func TestRecordBound(t *testing.T) {
	is := is.New(t)
	stored, err := Record{Change: &Change{OpID: strings.Repeat("a", maxRecordBytes)}}.Encode()
	is.NoErr(err)
	is.True(len(stored) < maxRecordBytes/100)
	is.Equal(parse(stored), Record{})
}
