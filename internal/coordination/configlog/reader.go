package configlog

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"time"
)

// StoredRecord is a record as the log returns it.
type StoredRecord struct {
	Offset int64
	Time   time.Time // when the log stored it
	Data   []byte
}

// ChangeResult is the outcome of applying a change.
type Decision struct {
	OpID  string
	Entry *Entry // the customer's entry after the change, if it was accepted
	Err   error
}

// StateMachine applies the records of the log in their order. Its state depends on the records alone and never on other hosts, so
// all state machines that applied the same prefix of the log have the same state. It is not safe for concurrent use.
type Reader struct {
	next    int64 // offset after the last applied record
	entries map[string]*Entry

	// There is a gap if the log's retention removed records before they were applied. The records from offset start on are then
	// kept in pending until a snapshot that covers the removed ones is read.
	gap     bool
	start   int64
	pending []StoredRecord

	tail      [sha256.Size]byte // digest of the record at Position()-1
	tailKnown bool

	snapshotAsOf int64     // highest AsOf of the snapshots that were read; MergeOnly if there is none
	snapshotTime time.Time // when the log stored that snapshot; zero if there is none
	uncovered    []stamp   // records after snapshotAsOf that changed the state, oldest first
}

type stamp struct {
	offset int64
	time   time.Time
}

// NewStateMachine returns a state machine without entries, at offset 0 of the log.
func NewReader() *Reader { return &Reader{entries: map[string]*Entry{}, snapshotAsOf: RaiseOnly} }

// Position returns the offset of the next record to read.
func (r *Reader) Position() int64 {
	if r.gap {
		return r.start + int64(len(r.pending))
	}
	return r.next
}

// Gap reports whether records were removed from the log unread and no snapshot that covers them has been read yet.
func (r *Reader) Gap() bool { return r.gap }

// State returns the state after the records applied so far.
func (r *Reader) State() *State { return &State{Next: r.next, Entries: maps.Clone(r.entries)} }

// Apply applies the result of a read from Position: first is the oldest offset that the log retains. Apply returns the outcomes of
// the changes among the records. Records after a gap are not applied until a snapshot closes it.
func (r *Reader) Feed(first int64, records []StoredRecord) []Decision {
	var out []Decision
	if first > r.Position() {
		r.gap, r.start, r.pending, r.tailKnown = true, first, nil, false
	}
	for _, rec := range records {
		if rec.Offset != r.Position() {
			break // records are missing or repeated; the next read starts at Position again
		}
		r.tail, r.tailKnown = sha256.Sum256(rec.Data), true
		if !r.gap {
			out = r.fold(rec, out)
			continue
		}
		r.pending = append(r.pending, rec)
		if s := parse(rec.Data).Snapshot; s != nil && r.closes(s, rec.Offset) {
			out = r.closeGap(s, out)
		}
	}
	return out
}

// closesGap reports whether a snapshot, read at offset, covers all records before start. A host that was paused while the log was
// restored may append a snapshot of records that the log no longer holds. The Tail of such a snapshot differs from the digest of the
// record at AsOf; this cannot be checked if the log no longer retains that record.
func (r *Reader) closes(s *Snapshot, offset int64) bool {
	if s.AsOf < r.start-1 || s.AsOf >= offset {
		return false
	}
	if s.AsOf == r.start-1 {
		return true
	}
	digest := sha256.Sum256(r.pending[s.AsOf-r.start].Data)
	return bytes.Equal(s.Tail, digest[:])
}

// closeGap replaces the state with that of a snapshot and applies the pending records after it.
func (r *Reader) closeGap(s *Snapshot, out []Decision) []Decision {
	kept := r.pending[s.AsOf+1-r.start:]
	r.gap, r.pending = false, nil
	r.entries = map[string]*Entry{}
	r.uncovered = nil
	r.raise(s)
	r.next = s.AsOf + 1
	for _, rec := range kept {
		out = r.fold(rec, out)
	}
	return out
}

// Snapshot returns a snapshot of the state.
func (r *Reader) Snapshot() *Snapshot {
	return &Snapshot{AsOf: r.next - 1, Tail: bytes.Clone(r.tail[:]), Entries: r.State().Sorted()}
}

// lastRecord returns the position, and a function that reports false only if a record differs from the last one that was read, at
// position-1.
func (r *Reader) tailAt() (position int64, same func(StoredRecord) bool) {
	position, tail, known := r.Position(), r.tail, r.tailKnown
	return position, func(rec StoredRecord) bool {
		return !known || rec.Offset != position-1 || sha256.Sum256(rec.Data) == tail
	}
}

// parse returns an empty record if data is malformed.
func parse(data []byte) Record {
	rec, err := decodeRecord(data)
	if err != nil || (rec.Change != nil) == (rec.Snapshot != nil) {
		return Record{}
	}
	return rec
}

// applyRecord applies one record and appends the outcome of a change to out. A malformed record and a conflicting change only
// advance next.
func (r *Reader) fold(stored StoredRecord, out []Decision) []Decision {
	r.next = stored.Offset + 1
	rec := parse(stored.Data)
	if rec.Snapshot != nil {
		if r.raise(rec.Snapshot) {
			r.uncovered = append(r.uncovered, stamp{stored.Offset, stored.Time})
		}
		if rec.Snapshot.AsOf < stored.Offset && rec.Snapshot.AsOf > r.snapshotAsOf {
			r.noteSnapshot(rec.Snapshot.AsOf, stored.Time)
		}
	}
	if rec.Change == nil {
		return out
	}
	entry, err := decide(r.entries[rec.Change.Customer], rec.Change)
	if err == nil && entry != r.entries[entry.Customer] {
		r.entries[entry.Customer] = entry
		r.uncovered = append(r.uncovered, stamp{stored.Offset, stored.Time})
	}
	return append(out, Decision{OpID: rec.Change.OpID, Entry: entry, Err: err})
}

// setNewestSnapshot stores the position and time of the newest snapshot and forgets the records that it covers.
func (r *Reader) noteSnapshot(asOf int64, at time.Time) {
	r.snapshotAsOf, r.snapshotTime = asOf, at
	var left []stamp
	for _, s := range r.uncovered {
		if s.offset > asOf {
			left = append(left, s)
		}
	}
	r.uncovered = left
}

// mergeSnapshot takes over the entries of a snapshot that supersede those of the state. It reports whether there were any.
func (r *Reader) raise(s *Snapshot) bool {
	raised := false
	for _, e := range s.Entries {
		if e == nil || !e.raises(r.entries[e.Customer]) {
			continue
		}
		if decoded, ok := e.usable(); ok {
			r.entries[e.Customer] = decoded
			raised = true
		}
	}
	return raised
}

// SnapshotDue reports whether the newest snapshot, or the oldest change that no snapshot covers, is older than age.
func (r *Reader) SnapshotDue(now time.Time, age time.Duration) bool {
	if r.gap || len(r.entries) == 0 {
		return false
	}
	if !r.snapshotTime.IsZero() && now.Sub(r.snapshotTime) > age {
		return true
	}
	return len(r.uncovered) > 0 && now.Sub(r.uncovered[0].time) > age
}
