// Package registry holds the endpoints that upstreams register in a store. Each endpoint has one entry there and renews it. The
// newest valid entry of an endpoint applies. Readers get immutable snapshots.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Entry is the registration that an endpoint writes to the store.
type Entry struct {
	Name     string // an endpoint may keep its name when it restarts
	Started  int64  // start of the endpoint's process in Unix milliseconds; 0 if not stated
	Sequence int64  // number of the entry since the start of the process
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int           // requests that the endpoint runs at one time
	Leaving  bool          // the endpoint must not get new requests
	WarmUp   time.Duration // remaining time in which the endpoint is slow after its start
}

// Compare orders two entries of an endpoint: it is negative if e is older than other, which means an earlier start or a lower sequence number
// of the same start.
func (e Entry) Compare(other Entry) int {
	return cmp.Or(cmp.Compare(e.Started, other.Started), cmp.Compare(e.Sequence, other.Sequence))
}

// Renews reports whether e and other differ in nothing but their sequence numbers and the remaining times of warm-up, and the later one states no longer
// time than the other: an endpoint may become cold again.
func (e Entry) Renews(other Entry) bool {
	earlier, later := other, e
	if later.Sequence < earlier.Sequence {
		earlier, later = later, earlier
	}
	if later.WarmUp > earlier.WarmUp {
		return false
	}
	e.Sequence, e.WarmUp = other.Sequence, other.WarmUp
	return e == other
}

// Endpoint is one usable endpoint.
type Endpoint struct {
	endpoints.Endpoint
	Name      string
	WarmUpEnd time.Time // end of the time in which the endpoint is slow after its start
}

// Snapshot lists the usable endpoints per service, ordered by name. It is immutable.
type Snapshot struct {
	Version  uint64 // number of changes that were applied, see Table.Version
	Services map[string][]*Endpoint
	Total    int
	// Evacuated is the number of endpoints per service that are left out because their zone is evacuated. It is nil without evacuated zones.
	Evacuated map[string]int
}

// Change describes one applied change of an endpoint, for logs.
type Change struct {
	Name, Service, Address, State string
	ID                            endpoints.ID
}

// StateUsable is the state of a Change by which an endpoint is listed.
const StateUsable = "usable"

// Table builds snapshots from entries. It is safe for concurrent use. A snapshot is built when it is read and a change was applied since
// the last one, so that a burst of changes without reads in between costs one snapshot.
type Table struct {
	lapseGrace time.Duration
	version    atomic.Uint64            // number of applied changes of usable endpoints; written with mu held
	current    atomic.Pointer[Snapshot] // the newest snapshot that was read; written with mu held

	mu       sync.Mutex
	records  map[string]*record // by name
	services map[string]*service
	total    int // number of usable endpoints

	marks          map[endpoints.ID]*leavingMark
	marksCheckedAt time.Time      // when the old ones were last dropped
	unannounced    []endpoints.ID // marks that messages to other hosts have to carry
	withdrawn      idSet          // incarnations that are marked, whose record is not usable or whose zone is evacuated

	evacuated map[string]time.Time // evacuated zones, and since when
}

// service lists the usable endpoints of one service, ordered by name.
type service struct {
	endpoints []*Endpoint
	changed   bool // since the current snapshot
}

// record is the newest entry of an endpoint and the endpoint's state.
type record struct {
	entry    Entry
	endpoint *Endpoint // not modified, because snapshots share it
	usable   bool
	// graceEnd is the end of the grace period of a lapsed entry. It is zero if the entry has not lapsed.
	graceEnd time.Time
	// removedAt is the time at which the endpoint was removed; zero if it was not. The record is kept for tombstoneLifetime after it,
	// so that an older entry that arrives late does not add the endpoint again.
	removedAt time.Time
	// lateAt and lateSequence are the time of the first entry that was ignored because it has a lower sequence number or an earlier start than this one, and its number.
	// lateAt is zero if there is none.
	lateAt       time.Time
	lateSequence int64
}

// tombstoneLifetime is how long the record of a removed endpoint is kept. An entry can be written to the store seconds after the
// endpoint sent it.
const tombstoneLifetime = time.Minute

// warmUpTolerance is the difference up to which the ends of the warm-up in two entries count as the same. Entries arrive with delays that differ
// by about a second.
const warmUpTolerance = 1500 * time.Millisecond

const (
	// maxLateEntries is how many entries of a process may reach the store before an earlier one does. An entry further behind was not late: the
	// entry with the higher number was not written by the endpoint.
	maxLateEntries = 8
	// lateEntrySpan is the time within which late entries of a process arrive. Entries that go on to arrive for longer are not late.
	lateEntrySpan = 2 * time.Second
)

// isLate reports whether an older entry than the newest one is an earlier entry of the endpoint that was written late. Otherwise another program
// wrote the newest entry, and the endpoint's own go on below its sequence number or its start time. Each entry that replaces the newest one ends the
// count of late entries, so that a process that renews its entry is not replaced by an earlier one that ends.
func (r *record) isLate(e Entry, now time.Time) bool {
	behind := e.Started == r.entry.Started && r.removedAt.IsZero() && r.entry.Sequence-e.Sequence > maxLateEntries
	continued := !r.lateAt.IsZero() && e.Sequence > r.lateSequence && now.Sub(r.lateAt) > lateEntrySpan
	if behind || continued {
		return false
	}
	if r.lateAt.IsZero() {
		r.lateAt, r.lateSequence = now, e.Sequence
	}
	return true
}

// NewTable returns an empty table. If an entry lapses during or shortly after an outage of the store, its endpoint stays usable for
// the grace period lapseGrace, because it may be alive and only unable to renew the entry.
func NewTable(lapseGrace time.Duration) *Table {
	t := &Table{lapseGrace: lapseGrace, records: map[string]*record{}, services: map[string]*service{},
		marks: map[endpoints.ID]*leavingMark{}}
	t.current.Store(&Snapshot{Services: map[string][]*Endpoint{}})
	return t
}

// Version returns the number of changes that were applied to the usable endpoints.
func (t *Table) Version() uint64 { return t.version.Load() }

// Endpoint returns the endpoint of an incarnation if it is usable.
func (t *Table) Endpoint(id endpoints.ID) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[EndpointName(id)]; r != nil && t.listed(r) && r.endpoint.ID == id {
		return *r.endpoint, true
	}
	return Endpoint{}, false
}

// Named returns the endpoint with a name that is usable according to its entry, also if its zone is evacuated.
func (t *Table) Named(name string) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[name]; r != nil && r.usable {
		return *r.endpoint, true
	}
	return Endpoint{}, false
}

// Snapshot returns the usable endpoints, with all changes that were applied before the call.
func (t *Table) Snapshot() *Snapshot {
	if s := t.current.Load(); s.Version == t.version.Load() {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	if old.Version == t.version.Load() {
		return old
	}
	s := &Snapshot{Version: t.version.Load(), Services: maps.Clone(old.Services), Total: t.total, Evacuated: t.countEvacuated()}
	for name, list := range t.services {
		switch {
		case len(list.endpoints) == 0:
			delete(t.services, name)
			delete(s.Services, name)
		case list.changed:
			s.Services[name], list.changed = slices.Clone(list.endpoints), false
		}
	}
	t.current.Store(s)
	return s
}

// Renews reports whether an entry only renews the newest one of its endpoint.
func (t *Table) Renews(e Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[e.Name]
	return r != nil && e.Renews(r.entry) && e.Compare(r.entry) >= 0
}

// Put applies an entry. It returns nil if nothing changes: the entry only renews the last one, or it is older.
func (t *Table) Put(e Entry, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.records[e.Name]
	if old != nil && e.Compare(old.entry) < 0 && old.isLate(e, now) {
		return nil
	}
	r := &record{entry: e, usable: !e.Leaving}
	r.endpoint = &Endpoint{Name: e.Name, WarmUpEnd: now.Add(e.WarmUp), Endpoint: endpoints.Endpoint{
		ID: endpoints.ID{Address: e.Address, Incarnation: incarnation(e)}, Service: e.Service, Zone: e.Zone, Slots: e.Slots}}
	marked := t.isMarked(r.endpoint.ID, now)
	r.usable = r.usable && !marked
	t.records[e.Name] = r
	if t.listed(r) {
		t.withdrawn.set(r.endpoint.ID, false, false)
	} else {
		defer t.withdrawn.set(r.endpoint.ID, true, marked) // after the new snapshot, which must not list a withdrawn endpoint
	}
	if old != nil && old.removedAt.IsZero() && old.graceEnd.IsZero() && old.usable == r.usable && old.endpoint.Endpoint == r.endpoint.Endpoint && (e.WarmUp > 0) == (old.entry.WarmUp > 0) &&
		r.endpoint.WarmUpEnd.Sub(old.endpoint.WarmUpEnd) <= warmUpTolerance {
		r.endpoint = old.endpoint
		return nil
	}
	if old != nil && old.entry.Service != e.Service {
		old.usable = false
		t.updateService(old)
	}
	t.updateService(r)
	state := StateUsable
	if !r.usable {
		state = "leaving"
	} else if !t.listed(r) {
		state = "evacuated"
	}
	return &Change{Name: e.Name, Service: e.Service, Address: e.Address, State: state, ID: r.endpoint.ID}
}

// incarnation returns an identifier for one start of an endpoint.
func incarnation(e Entry) string {
	return e.Name + "@" + time.UnixMilli(e.Started).UTC().Format("0102T150405.000")
}

// Remove applies the removal of an entry. recentOutage states that the store is or was recently unavailable, so that an endpoint may be alive although it
// could not renew its entry.
func (t *Table) Remove(name string, recentOutage bool, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[name]
	if r == nil || !r.removedAt.IsZero() {
		return nil
	}
	if recentOutage && r.usable && r.graceEnd.IsZero() {
		r.graceEnd = now.Add(t.lapseGrace)
		return &Change{Name: name, Service: r.entry.Service, Address: r.entry.Address, ID: r.endpoint.ID,
			State: "lapsed, kept for a grace period because the store was unavailable"}
	}
	if r.graceEnd.After(now) {
		return nil
	}
	return t.remove(name, r, now)
}

// remove removes an endpoint from the snapshot and keeps its record.
func (t *Table) remove(name string, r *record, now time.Time) *Change {
	r.usable, r.graceEnd, r.removedAt = false, time.Time{}, now
	t.updateService(r)
	t.withdrawn.set(r.endpoint.ID, true, t.marks[r.endpoint.ID] != nil)
	return &Change{Name: name, Service: r.entry.Service, Address: r.entry.Address, State: "gone", ID: r.endpoint.ID}
}

// RestartGracePeriods restarts the grace period of all lapsed entries. It is called while the store is unavailable,
// because endpoints cannot renew their entries in that time.
func (t *Table) RestartGracePeriods(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if !r.graceEnd.IsZero() {
			r.graceEnd = now.Add(t.lapseGrace)
		}
	}
}

// Expire removes the endpoints whose grace period has ended, and deletes the records of endpoints that were removed longer than
// tombstoneLifetime ago.
func (t *Table) Expire(now time.Time) []*Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []*Change
	for name, r := range t.records {
		switch {
		case !r.removedAt.IsZero() && now.Sub(r.removedAt) > tombstoneLifetime:
			delete(t.records, name)
			marked := t.marks[r.endpoint.ID] != nil
			t.withdrawn.set(r.endpoint.ID, marked, marked)
		case !r.graceEnd.IsZero() && !now.Before(r.graceEnd):
			changes = append(changes, t.remove(name, r, now))
		}
	}
	t.expireMarks(now)
	return changes
}

// Retain applies Remove to all entries that are not in names. It is called after a full read of the store.
func (t *Table) Retain(names map[string]bool, recentOutage bool, now time.Time) []*Change {
	t.mu.Lock()
	var missing []string
	for name := range t.records {
		if !names[name] {
			missing = append(missing, name)
		}
	}
	t.mu.Unlock()
	var changes []*Change
	for _, name := range missing {
		if c := t.Remove(name, recentOutage, now); c != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

// updateService applies a change of an endpoint to the list of its service. t.mu must be held.
func (t *Table) updateService(r *record) {
	list := t.services[r.entry.Service]
	if list == nil {
		list = &service{}
		t.services[r.entry.Service] = list
	}
	i, listed := slices.BinarySearchFunc(list.endpoints, r.entry.Name, func(e *Endpoint, name string) int { return strings.Compare(e.Name, name) })
	switch {
	case listed && t.listed(r):
		list.endpoints[i] = r.endpoint
	case listed:
		list.endpoints = slices.Delete(list.endpoints, i, i+1)
		t.total--
	case t.listed(r):
		list.endpoints = slices.Insert(list.endpoints, i, r.endpoint)
		t.total++
	}
	list.changed = true
	t.version.Add(1)
}
