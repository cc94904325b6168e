// Package registry keeps the endpoints that upstreams register in a store: one entry per endpoint, which the endpoint renews. The
// newest readable entry of an endpoint decides. Readers get immutable snapshots.
package registry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Entry is what an endpoint says of itself.
type Entry struct {
	Name     string // stays the same over restarts if the endpoint chooses so
	Started  int64  // start of the endpoint's process in Unix milliseconds; 0 if not stated
	Sequence int64  // counts the entries of one start
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int
	Leaving  bool          // no new work
	WarmUp   time.Duration // how much longer the endpoint is slow after its start
}

// Endpoint is one usable endpoint.
type Endpoint struct {
	endpoints.Endpoint
	Name      string
	WarmUntil time.Time // slow until then
}

// Snapshot lists the usable endpoints per service, ordered by name. It is immutable.
type Snapshot struct {
	Version  uint64 // counts the changes of this process
	Services map[string][]Endpoint
	Total    int
}

// Change is one applied update of an entry, for logs.
type Change struct {
	Name, Service, Address, What string
}

// Table folds entries into snapshots. It is safe for concurrent use.
type Table struct {
	lapseGrace time.Duration

	mu      sync.Mutex
	known   map[string]*record // by name
	current atomic.Pointer[Snapshot]
}

type record struct {
	entry    Entry
	endpoint Endpoint
	usable   bool
	// lapsing is when a removed entry stops being usable; zero for an entry that was not removed.
	lapsing time.Time
	// removed is when the entry was dropped. It is remembered for removedMemory, so that an entry that arrives late does not bring
	// the endpoint back.
	removed time.Time
}

// removedMemory covers entries that are written seconds after they were sent.
const removedMemory = time.Minute

// NewTable returns an empty table. An entry that lapses while the store is disturbed stays usable for lapseGrace, because the
// endpoint may only have been unable to renew it.
func NewTable(lapseGrace time.Duration) *Table {
	t := &Table{lapseGrace: lapseGrace, known: map[string]*record{}}
	t.current.Store(&Snapshot{Services: map[string][]Endpoint{}})
	return t
}

// Snapshot returns the usable endpoints.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// Put applies an entry. It returns nil if the entry tells nothing new: an older start, or an older count of the same start.
func (t *Table) Put(e Entry, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.known[e.Name]
	if old != nil {
		if e.Started < old.entry.Started || (e.Started == old.entry.Started && e.Sequence < old.entry.Sequence) {
			return nil
		}
	}
	r := &record{entry: e, usable: !e.Leaving}
	r.endpoint = Endpoint{Name: e.Name, WarmUntil: now.Add(e.WarmUp), Endpoint: endpoints.Endpoint{
		ID: endpoints.ID{Address: e.Address, Incarnation: incarnation(e)}, Service: e.Service, Zone: e.Zone, Slots: e.Slots}}
	t.known[e.Name] = r
	if old != nil && old.removed.IsZero() && old.lapsing.IsZero() && old.usable == r.usable && old.endpoint.Endpoint == r.endpoint.Endpoint && (e.WarmUp > 0) == (old.entry.WarmUp > 0) {
		r.endpoint.WarmUntil = old.endpoint.WarmUntil
		return nil
	}
	t.publish()
	what := "usable"
	if e.Leaving {
		what = "leaving"
	}
	return &Change{Name: e.Name, Service: e.Service, Address: e.Address, What: what}
}

func incarnation(e Entry) string {
	return e.Name + "@" + time.UnixMilli(e.Started).UTC().Format("0102T150405.000")
}

// Remove applies the removal of an entry, or an entry that cannot be read. disturbed says that the store has been unavailable so
// recently that an endpoint that lives may not have been able to renew its entry.
func (t *Table) Remove(name string, disturbed bool, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[name]
	if r == nil || !r.removed.IsZero() {
		return nil
	}
	if disturbed && r.usable && r.lapsing.IsZero() {
		r.lapsing = now.Add(t.lapseGrace)
		return &Change{Name: name, Service: r.entry.Service, Address: r.entry.Address, What: "lapsed, kept for a while because the store was away"}
	}
	if r.lapsing.After(now) {
		return nil
	}
	return t.drop(name, r, now)
}

func (t *Table) drop(name string, r *record, now time.Time) *Change {
	r.usable, r.lapsing, r.removed = false, time.Time{}, now
	t.publish()
	return &Change{Name: name, Service: r.entry.Service, Address: r.entry.Address, What: "gone"}
}

// Hold extends the time of lapsed entries while the store is away: their endpoints cannot renew them.
func (t *Table) Hold(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.known {
		if !r.lapsing.IsZero() {
			r.lapsing = now.Add(t.lapseGrace)
		}
	}
}

// Expire drops the lapsed entries whose time has passed.
func (t *Table) Expire(now time.Time) []*Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []*Change
	for name, r := range t.known {
		switch {
		case !r.removed.IsZero() && now.Sub(r.removed) > removedMemory:
			delete(t.known, name)
		case !r.lapsing.IsZero() && !now.Before(r.lapsing):
			changes = append(changes, t.drop(name, r, now))
		}
	}
	return changes
}

// Retain removes all entries whose names are not listed, after a full read of the store.
func (t *Table) Retain(names map[string]bool, disturbed bool, now time.Time) []*Change {
	t.mu.Lock()
	var missing []string
	for name := range t.known {
		if !names[name] {
			missing = append(missing, name)
		}
	}
	t.mu.Unlock()
	var changes []*Change
	for _, name := range missing {
		if c := t.Remove(name, disturbed, now); c != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Table) publish() {
	s := &Snapshot{Version: t.current.Load().Version + 1, Services: map[string][]Endpoint{}}
	for _, r := range t.known {
		if r.usable {
			s.Services[r.entry.Service] = append(s.Services[r.entry.Service], r.endpoint)
			s.Total++
		}
	}
	for _, list := range s.Services {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
	t.current.Store(s)
}
