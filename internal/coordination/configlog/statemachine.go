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
type ChangeResult struct {
	OpID  string
	Entry *Entry // the customer's entry after the change, if it was accepted
	Err   error
}

// StateMachine applies the records of the log in their order. Its state depends on the records alone and never on other hosts, so
// all state machines that applied the same prefix of the log have the same state. It is not safe for concurrent use.
type StateMachine struct {
	next    int64 // offset after the last applied record
	entries map[string]*Entry

	// There is a gap if the log's retention removed records before they were applied. The records from offset start on are then
	// kept in pending until a snapshot that covers the removed ones is read.
	gap     bool
	start   int64
	pending []StoredRecord

	lastDigest      [sha256.Size]byte // digest of the record at Position()-1
	lastDigestKnown bool

	snapshotAsOf int64        // highest AsOf of the snapshots that were read; MergeOnly if there is none
	snapshotTime time.Time    // when the log stored that snapshot; zero if there is none
	uncovered    []recordTime // records after snapshotAsOf that changed the state, oldest first
}

type recordTime struct {
	offset int64
	time   time.Time
}

// NewStateMachine returns a state machine without entries, at offset 0 of the log.
func NewStateMachine() *StateMachine {
	return &StateMachine{entries: map[string]*Entry{}, snapshotAsOf: MergeOnly}
}

// Position returns the offset of the next record to read.
func (m *StateMachine) Position() int64 {
	if m.gap {
		return m.start + int64(len(m.pending))
	}
	return m.next
}

// Gap reports whether records were removed from the log unread and no snapshot that covers them has been read yet.
func (m *StateMachine) Gap() bool { return m.gap }

// State returns the state after the records applied so far.
func (m *StateMachine) State() *State {
	return &State{Position: m.next, Entries: maps.Clone(m.entries)}
}

// Apply applies the result of a read from Position: first is the oldest offset that the log retains. Apply returns the outcomes of
// the changes among the records. Records after a gap are not applied until a snapshot closes it.
func (m *StateMachine) Apply(first int64, records []StoredRecord) []ChangeResult {
	var out []ChangeResult
	if first > m.Position() {
		m.gap, m.start, m.pending, m.lastDigestKnown = true, first, nil, false
	}
	for _, rec := range records {
		if rec.Offset != m.Position() {
			break // records are missing or repeated; the next read starts at Position again
		}
		m.lastDigest, m.lastDigestKnown = sha256.Sum256(rec.Data), true
		if !m.gap {
			out = m.applyRecord(rec, out)
			continue
		}
		m.pending = append(m.pending, rec)
		if s := parse(rec.Data).Snapshot; s != nil && m.closesGap(s, rec.Offset) {
			out = m.closeGap(s, out)
		}
	}
	return out
}

// closesGap reports whether a snapshot, read at offset, covers all records before start. A host that was paused while the log was
// restored may append a snapshot of records that the log no longer holds. The Tail of such a snapshot differs from the digest of the
// record at AsOf; this cannot be checked if the log no longer retains that record.
func (m *StateMachine) closesGap(s *Snapshot, offset int64) bool {
	if s.AsOf < m.start-1 || s.AsOf >= offset {
		return false
	}
	if s.AsOf == m.start-1 {
		return true
	}
	digest := sha256.Sum256(m.pending[s.AsOf-m.start].Data)
	return bytes.Equal(s.Tail, digest[:])
}

// closeGap replaces the state with that of a snapshot and applies the pending records after it.
func (m *StateMachine) closeGap(s *Snapshot, out []ChangeResult) []ChangeResult {
	after := m.pending[s.AsOf+1-m.start:]
	m.gap, m.pending = false, nil
	m.entries = map[string]*Entry{}
	m.uncovered = nil
	m.mergeSnapshot(s)
	m.next = s.AsOf + 1
	for _, rec := range after {
		out = m.applyRecord(rec, out)
	}
	return out
}

// Snapshot returns a snapshot of the state.
func (m *StateMachine) Snapshot() *Snapshot {
	return &Snapshot{AsOf: m.next - 1, Tail: bytes.Clone(m.lastDigest[:]), Entries: m.State().SortedEntries()}
}

// lastRecord returns Position and a function that compares a record with the last record that was read, which has the offset
// position-1. The function reports false only if the given record has the same offset and other data.
func (m *StateMachine) lastRecord() (position int64, same func(StoredRecord) bool) {
	position, digest, known := m.Position(), m.lastDigest, m.lastDigestKnown
	return position, func(rec StoredRecord) bool {
		return !known || rec.Offset != position-1 || sha256.Sum256(rec.Data) == digest
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
func (m *StateMachine) applyRecord(stored StoredRecord, out []ChangeResult) []ChangeResult {
	m.next = stored.Offset + 1
	rec := parse(stored.Data)
	if rec.Snapshot != nil {
		if m.mergeSnapshot(rec.Snapshot) {
			m.uncovered = append(m.uncovered, recordTime{stored.Offset, stored.Time})
		}
		if rec.Snapshot.AsOf < stored.Offset && rec.Snapshot.AsOf > m.snapshotAsOf {
			m.setNewestSnapshot(rec.Snapshot.AsOf, stored.Time)
		}
	}
	if rec.Change == nil {
		return out
	}
	entry, err := applyChange(m.entries[rec.Change.Customer], rec.Change)
	if err == nil && entry != m.entries[entry.Customer] {
		m.entries[entry.Customer] = entry
		m.uncovered = append(m.uncovered, recordTime{stored.Offset, stored.Time})
	}
	return append(out, ChangeResult{OpID: rec.Change.OpID, Entry: entry, Err: err})
}

// setNewestSnapshot stores the position and time of the newest snapshot and forgets the records that it covers.
func (m *StateMachine) setNewestSnapshot(asOf int64, at time.Time) {
	m.snapshotAsOf, m.snapshotTime = asOf, at
	var rest []recordTime
	for _, s := range m.uncovered {
		if s.offset > asOf {
			rest = append(rest, s)
		}
	}
	m.uncovered = rest
}

// mergeSnapshot takes over the entries of a snapshot that supersede those of the state. It reports whether there were any.
func (m *StateMachine) mergeSnapshot(s *Snapshot) bool {
	changed := false
	for _, e := range s.Entries {
		if e == nil || !e.supersedes(m.entries[e.Customer]) {
			continue
		}
		if decoded, ok := e.validate(); ok {
			m.entries[e.Customer] = decoded
			changed = true
		}
	}
	return changed
}

// SnapshotDue reports whether the newest snapshot, or the oldest change that no snapshot covers, is older than age.
func (m *StateMachine) SnapshotDue(now time.Time, age time.Duration) bool {
	if m.gap || len(m.entries) == 0 {
		return false
	}
	if !m.snapshotTime.IsZero() && now.Sub(m.snapshotTime) > age {
		return true
	}
	return len(m.uncovered) > 0 && now.Sub(m.uncovered[0].time) > age
}
