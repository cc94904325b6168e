// Package endpoints holds the upstream endpoints that a host knows: their addresses, the incarnation that runs at each address and
// whether it is leaving.
package endpoints

import (
	"hash/maphash"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ID identifies one incarnation of an upstream endpoint. An endpoint that restarts at the same address is a new incarnation.
type ID struct {
	Address     string `json:"address" cbor:"1,keyasint"`     // IP:port
	Incarnation string `json:"incarnation" cbor:"2,keyasint"` // changes at each start of the upstream
}

func (id ID) String() string { return id.Address + "#" + id.Incarnation }

// Endpoint is one upstream process.
type Endpoint struct {
	ID
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"` // requests that it runs at one time
}

// Snapshot is the set of usable endpoints of one service, ordered by ID. It is immutable.
type Snapshot struct {
	Service   string
	Endpoints []Endpoint
}

const shardCount = 16

var shardSeed = maphash.MakeSeed()

// Table holds the endpoints of each service in shards, each with its own lock. The leaving marks are stored separately, because a
// mark may arrive before its endpoint is listed and must be kept after the endpoint is removed from the list.
type Table struct {
	shards   [shardCount]tableShard
	leaving  leavingSet
	lastList []Endpoint // argument of the last SetAll

	onLeaving func(ID)
}

type tableShard struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	listed   map[ID]Endpoint // from the newest host list, with those that are leaving
	snapshot atomic.Pointer[Snapshot]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].services = map[string]*service{}
	}
	t.leaving.marks, t.leaving.maxExact, t.leaving.filterBits = map[ID]LeavingMark{}, maxExactMarks, bloomBits
	return t
}

// OnLeaving sets a function that MarkLeaving calls for each new mark. It is not called for marks that AddLeavingMark adds. It must be set
// before the table is used.
func (t *Table) OnLeaving(f func(ID)) { t.onLeaving = f }

// ListUnchanged records that the newest host list is equal to that of the last SetAll. It must not run concurrently with SetAll.
func (t *Table) ListUnchanged(now time.Time) { t.leaving.updateFromList(t.lastList, now) }

// SetAll replaces all endpoints by those of the newest host list, and removes expired marks. It keeps list, which must not be
// modified afterwards. It must not run concurrently with itself.
func (t *Table) SetAll(list []Endpoint, now time.Time) {
	t.lastList = list
	byService := map[string][]Endpoint{}
	for _, name := range t.Services() {
		byService[name] = nil
	}
	for _, e := range list {
		byService[e.Service] = append(byService[e.Service], e)
	}
	for name, listed := range byService {
		t.SetService(name, listed)
	}
	t.leaving.updateFromList(list, now) // last, so that no snapshot contains an incarnation whose mark expires here
}

// SetService replaces the endpoints of a service by those of the newest host list. An endpoint that is marked as leaving stays
// unusable even if it is on the list.
func (t *Table) SetService(name string, list []Endpoint) {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.service(name)
	listed := make(map[ID]Endpoint, len(list))
	for _, e := range list {
		listed[e.ID] = e
	}
	if maps.Equal(listed, s.listed) {
		return // the common case: the list has not changed
	}
	s.listed = listed
	t.publish(name, s)
}

// MarkLeaving marks an incarnation as leaving, so that it gets no new requests, and reports whether the mark is new. A mark cannot
// be undone. MarkLeaving is called if this host learned from the upstream or the host list that the upstream is leaving; see
// AddLeavingMark for the marks of other hosts.
func (t *Table) MarkLeaving(id ID) bool {
	now := time.Now()
	if !t.AddLeavingMark(LeavingMark{ID: id, FirstLearned: now, LastNamed: now}) {
		return false
	}
	if t.onLeaving != nil {
		t.onLeaving(id)
	}
	return true
}

// AddLeavingMark merges a mark that another host sent and reports whether it is new.
func (t *Table) AddLeavingMark(k LeavingMark) bool {
	if !t.leaving.add(k) {
		return false
	}
	id := k.ID
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for name, s := range sh.services {
			if _, ok := s.listed[id]; ok {
				t.publish(name, s)
			}
		}
		sh.mu.Unlock()
	}
	return true
}

// IsLeaving reports whether the incarnation is marked.
func (t *Table) IsLeaving(id ID) bool { return t.leaving.has(id) }

// LeavingMarks returns the exact marks, ordered by ID. Those that are only in a Bloom filter cannot be listed.
func (t *Table) LeavingMarks() []LeavingMark { return t.leaving.list() }

// Snapshot returns the usable endpoints of a service. It is empty for an unknown service.
func (t *Table) Snapshot(name string) *Snapshot {
	sh := t.shard(name)
	sh.mu.Lock()
	s := sh.services[name]
	sh.mu.Unlock()
	if s == nil {
		return &Snapshot{Service: name}
	}
	return s.snapshot.Load()
}

// Services returns the names of all services, ordered.
func (t *Table) Services() []string {
	var names []string
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		names = slices.AppendSeq(names, maps.Keys(sh.services))
		sh.mu.Unlock()
	}
	slices.Sort(names)
	return names
}

// publish replaces the snapshot of a service by its listed endpoints that are not leaving. The lock of its shard is held.
func (t *Table) publish(name string, s *service) {
	snap := &Snapshot{Service: name}
	for _, e := range s.listed {
		if !t.leaving.has(e.ID) {
			snap.Endpoints = append(snap.Endpoints, e)
		}
	}
	slices.SortFunc(snap.Endpoints, func(a, b Endpoint) int { return compareID(a.ID, b.ID) })
	s.snapshot.Store(snap)
}

func (t *Table) shard(name string) *tableShard {
	return &t.shards[maphash.String(shardSeed, name)%shardCount]
}

// service returns a service and creates it if it does not exist. The lock of the shard is held.
func (sh *tableShard) service(name string) *service {
	s := sh.services[name]
	if s == nil {
		s = &service{}
		s.snapshot.Store(&Snapshot{Service: name})
		sh.services[name] = s
	}
	return s
}
