package keys

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

const incarnation = "0123456789abcdef"

// referenceTable is a simple reference implementation of Table after section 7 of the design. It has one list and no groups of keys.
type referenceTable struct {
	limit  int
	latest time.Duration
	uses   []*referenceKey
}

// referenceKey is a key in a referenceTable.
type referenceKey struct {
	customer, nonce    string
	epoch              int64
	window             time.Duration
	fingerprint        Fingerprint
	state              Outcome
	fingerprintUnknown bool // no request was begun, so the fingerprint is not known
	uncounted          bool // created by confirmNotRun; does not count for the limit
	reused             bool
	refusedUpTo        uint16
}

func (r *referenceTable) find(c string, e int64, nonce string) *referenceKey {
	for _, u := range r.uses {
		if u.customer == c && u.epoch == e && u.nonce == nonce {
			return u
		}
	}
	return nil
}

// remembered reports whether a key is still stored. As in a keyGroup, the longest key window of all keys with the same customer and
// epoch counts.
func (r *referenceTable) remembered(u *referenceKey) bool {
	window := u.window
	for _, o := range r.uses {
		if o.customer == u.customer && o.epoch == u.epoch {
			window = max(window, o.window)
		}
	}
	return r.latest < time.Duration(u.epoch+1)*EpochLength+window
}

func (r *referenceTable) begin(c string, k Key, window time.Duration, fingerprint Fingerprint, a Attempt) Outcome {
	if u := r.find(c, k.Epoch, k.Nonce); u != nil && r.remembered(u) {
		switch {
		case !u.fingerprintUnknown && u.fingerprint != fingerprint:
			u.reused = true
			return Reused
		case u.state == RefusedNotRun && a.Number > u.refusedUpTo:
			u.state, u.fingerprint, u.fingerprintUnknown = InProgress, fingerprint, false
			return Accepted
		}
		return u.state
	}
	current := int64(r.latest / EpochLength)
	if k.Epoch > current {
		return NotIssued
	}
	if k.Epoch < current-2 {
		return Expired
	}
	count := 0
	for _, u := range r.uses {
		if u.customer == c && !u.uncounted && r.remembered(u) {
			count++
		}
	}
	if count >= r.limit {
		return Full
	}
	r.uses = append(r.uses, &referenceKey{customer: c, nonce: k.Nonce, epoch: k.Epoch, window: window, fingerprint: fingerprint, state: InProgress})
	return Accepted
}

// confirmNotRun is the counterpart of Table.ConfirmNotRun.
func (r *referenceTable) confirmNotRun(c string, k Key, a Attempt) bool {
	if u := r.find(c, k.Epoch, k.Nonce); u != nil && r.remembered(u) {
		if u.state == RefusedNotRun {
			u.refusedUpTo = max(u.refusedUpTo, a.Number)
		}
		return u.state == RefusedNotRun
	}
	current := int64(r.latest / EpochLength)
	if k.Epoch > current || k.Epoch < current-2 {
		return false
	}
	if !a.IsFirst() {
		r.uses = append(r.uses, &referenceKey{customer: c, nonce: k.Nonce, epoch: k.Epoch, window: 2 * EpochLength, fingerprintUnknown: true, uncounted: true,
			state: RefusedNotRun, refusedUpTo: a.Number})
	}
	return true
}

// finishNotRun is the counterpart of Table.FinishNotRun.
func (r *referenceTable) finishNotRun(u *referenceKey, a Attempt) {
	if a.IsFirst() && !u.reused {
		r.uses = slices.DeleteFunc(r.uses, func(o *referenceKey) bool { return o == u })
		return
	}
	u.state, u.refusedUpTo = RefusedNotRun, max(u.refusedUpTo, a.Number)
}

// TestTableMatchesReference guards against a key that is accepted twice, accepted after it was refused as not run, removed too early,
// shared between customers or counted wrongly. Some calls pass an earlier time than the call before, as a goroutine does that was
// paused after it read the clock.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := time.Now()
		table := NewTable(Config{Host: "h", Incarnation: incarnation, Origin: origin})
		model := &referenceTable{limit: 4}
		accepted := map[string]bool{}
		notRun := map[string][]Attempt{}
		customers := map[string]*limits.ServiceLimits{}
		for i, c := range []string{"a", "b"} {
			customers[c] = &limits.ServiceLimits{Customer: c, Name: "s", KeysPerHost: 4, KeyWindow: time.Duration(120*(i+1)) * time.Second}
		}
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 150_000).Draw(t, "ms")) * time.Millisecond },
			"use": func(t *rapid.T) {
				at := now
				if rapid.Bool().Draw(t, "paused") {
					at = max(0, now-time.Duration(rapid.IntRange(0, 400).Draw(t, "s"))*time.Second)
				}
				c := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
				k := Key{Host: "h", Incarnation: incarnation, Nonce: strings.Repeat(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "nonce"), minNonceLength),
					Epoch: max(0, int64(now/EpochLength)+rapid.Int64Range(-6, 1).Draw(t, "epoch"))}
				u := Request{Key: k, Limits: customers[c], Fingerprint: Fingerprint{byte(rapid.IntRange(0, 1).Draw(t, "body"))},
					Attempt: Attempt{Number: rapid.Uint16Range(0, 3).Draw(t, "attempt"), Numbered: rapid.Bool().Draw(t, "numbered"),
						NewKey: rapid.IntRange(0, 4).Draw(t, "new") == 4}}
				if !u.Attempt.Numbered {
					u.Attempt.Number = 0
				}
				// Each shard has its own latest time. Sweep sets that of all shards to the model's.
				model.latest = max(model.latest, at)
				table.Sweep(origin.Add(model.latest))
				id := c + k.String()
				// ConfirmNotRun is called only for customer a, which has the shortest key window. With a longer
				// window, the time for which the refusal is stored would depend on the random hash seed, because each shard has its own groups.
				if c == "a" && rapid.IntRange(0, 3).Draw(t, "refuse") == 0 {
					got, want := table.ConfirmNotRun(origin.Add(at), c, k, u.Attempt), model.confirmNotRun(c, k, u.Attempt)
					if got != want {
						t.Fatalf("ConfirmNotRun = %t, want %t", got, want)
					}
					if got {
						notRun[id] = append(notRun[id], u.Attempt)
					}
					return
				}
				got, response := table.Begin(origin.Add(at), u)
				want := model.begin(c, k, u.Limits.KeyWindow, u.Fingerprint, u.Attempt)
				if got != want {
					t.Fatalf("Begin = %d, want %d", got, want)
				}
				if got == Recorded && string(response.Body) != c+k.String() {
					t.Fatalf("response %q belongs to another key", response.Body)
				}
				if got != Accepted {
					return
				}
				if accepted[id] {
					t.Fatalf("%s was accepted twice", id)
				}
				for _, refused := range notRun[id] {
					if !refused.IsFirst() && u.Attempt.Number <= refused.Number {
						t.Fatalf("attempt %d of %s was accepted after attempt %d was refused as not run", u.Attempt.Number, id, refused.Number)
					}
				}
				modelKey := model.find(c, k.Epoch, k.Nonce)
				switch rapid.IntRange(0, 4).Draw(t, "end") {
				case 0: // still running
					accepted[id] = true
				case 1:
					table.FinishNotRun(origin.Add(at), u)
					model.finishNotRun(modelKey, u.Attempt)
					notRun[id] = append(notRun[id], u.Attempt)
				case 2:
					table.FinishMayHaveRun(origin.Add(at), u, true, &RecordedResponse{Body: []byte(id)})
					modelKey.state, accepted[id] = Recorded, true
				case 3:
					table.FinishMayHaveRun(origin.Add(at), u, true, &RecordedResponse{Body: make([]byte, MaxRecordedBodyBytes+1)})
					modelKey.state, accepted[id] = ResponseNotRecorded, true
				case 4:
					table.FinishMayHaveRun(origin.Add(at), u, false, nil)
					modelKey.state, accepted[id] = Unknown, true
				}
			},
		})
		table.Sweep(origin.Add(now + 24*time.Hour))
		if keys, bytes := table.Stats(); keys != 0 || bytes != 0 {
			t.Fatalf("after all epochs: %d keys, %d bytes", keys, bytes)
		}
	})
}

// TestBytes guards against keys and responses that exceed the memory limit of the table.
func TestBytes(t *testing.T) {
	is := is.New(t)
	origin := time.Now()
	table := NewTable(Config{Host: "h", Incarnation: incarnation, Origin: origin, MaxBytes: 2 * (MaxRecordedBodyBytes + responseOverheadBytes)})
	l := &limits.ServiceLimits{Customer: "a", Name: "s", KeysPerHost: 1 << 20, KeyWindow: 600 * time.Second}
	var outcomes [Full + 1]int
	for i := range 2000 {
		u := Request{Key: Key{"h", incarnation, 0, fmt.Sprintf("%016d", i)}, Limits: l}
		o, _ := table.Begin(origin, u)
		outcomes[o]++
		if o == Accepted {
			table.FinishMayHaveRun(origin, u, true, &RecordedResponse{Body: make([]byte, MaxRecordedBodyBytes)})
			o, _ = table.Begin(origin, u)
			outcomes[o]++
		}
		_, bytes := table.Stats()
		is.True(bytes <= table.cfg.MaxBytes)
	}
	is.Equal(outcomes[Recorded], 1) // half of MaxBytes has room for one response
	is.True(outcomes[ResponseNotRecorded] > 0)
	is.True(outcomes[Full] > 0)
}

// TestParse guards against two forms of one key that are both accepted, and against malformed keys that are accepted.
func TestParse(t *testing.T) {
	nonce := strings.Repeat("n", 16)
	good := "tamworth-1-" + incarnation + ".7." + nonce
	for text, ok := range map[string]bool{
		good: true, "a-" + incarnation + ".0." + nonce: true, "": false, "..": false, incarnation + ".7." + nonce: false,
		"a-" + incarnation + ".07." + nonce: false, "a-" + incarnation + ".-7." + nonce: false, "a-" + incarnation + ".7.short": false,
		"a-" + strings.ToUpper(incarnation) + ".7." + nonce: false, "1a-" + incarnation + ".7." + nonce: false,
		good + "." + nonce: false, good + strings.Repeat("n", 49): false, good + "é": false, "a-" + incarnation + ".9999999999999." + nonce: false,
	} {
		k, err := Parse(text)
		if (err == nil) != ok || (ok && k.String() != text) {
			t.Errorf("Parse(%q) = %+v, %v", text, k, err)
		}
	}
}

// TestReusedKeyIsNotRunLater guards against a request that runs although it was refused as Reused. It can come about when the first
// request with the key is finished as not run and another attempt of the refused request arrives afterwards.
func TestReusedKeyIsNotRunLater(t *testing.T) {
	is := is.New(t)
	origin := time.Now()
	table := NewTable(Config{Host: "h", Incarnation: incarnation, Origin: origin})
	first := Request{Key: Key{"h", incarnation, 0, strings.Repeat("n", minNonceLength)}, Attempt: Attempt{Numbered: true}, Fingerprint: Fingerprint{1},
		Limits: &limits.ServiceLimits{Customer: "a", Name: "s", KeysPerHost: 1, KeyWindow: 120 * time.Second}}
	second := first
	second.Fingerprint = Fingerprint{2}
	for _, step := range []struct {
		request Request
		want    Outcome
	}{{first, Accepted}, {second, Reused}} {
		got, _ := table.Begin(origin, step.request)
		is.Equal(got, step.want)
	}
	table.FinishNotRun(origin, first)
	got, _ := table.Begin(origin, second)
	is.Equal(got, Reused)
}
