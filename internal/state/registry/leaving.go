package registry

import (
	"hash/maphash"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// leavingMarkLifetime is how long a mark is kept after the last entry of its incarnation. An older copy of the store may list an
	// incarnation that has left.
	leavingMarkLifetime = 15 * time.Minute
	markCheckInterval   = 10 * time.Second
	// maxLeavingMarks bounds the marks. Above it, the oldest mark is dropped.
	maxLeavingMarks = 16_384
	// announcementsPerMark is the number of messages to other hosts that carry a mark which this host has learned from the endpoint.
	announcementsPerMark = 4
)

// leavingMark states that an incarnation is leaving. It is set by the endpoint's own responses or by another host that received them, and
// no entry of the incarnation undoes it.
type leavingMark struct {
	namedAt       time.Time // when the mark was set, or the time of the last entry of the incarnation, whichever is later
	announcements int       // messages to other hosts that will still carry the mark
}

// Withdrawn reports whether the incarnation must not get new requests: it is leaving, its entry is gone or its zone is evacuated. It takes no lock.
func (t *Table) Withdrawn(id endpoints.ID) bool {
	withdrawn, _ := t.withdrawn.get(id)
	return withdrawn
}

// MarkLeaving records that an incarnation is leaving for good, whatever its entries say. announce has LeavingToAnnounce return it. The
// result is nil if the endpoint was not usable before, also if no entry of it has arrived yet.
func (t *Table) MarkLeaving(id endpoints.ID, announce bool, now time.Time) *Change {
	if _, marked := t.withdrawn.get(id); marked {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.marks[id] != nil {
		return nil
	}
	if len(t.marks) >= maxLeavingMarks {
		t.dropOldestMark()
	}
	m := &leavingMark{namedAt: now}
	if announce {
		m.announcements = announcementsPerMark
		t.unannounced = append(t.unannounced, id)
	}
	t.marks[id] = m
	defer t.withdrawn.set(id, true, true) // after the new snapshot, which must not list a withdrawn endpoint
	r := t.records[EndpointName(id)]
	if r == nil || r.endpoint.ID != id || !r.usable {
		return nil
	}
	r.usable, r.graceEnd = false, time.Time{}
	t.updateService(r)
	return &Change{Name: r.entry.Name, Service: r.entry.Service, Address: r.entry.Address, State: "leaving", ID: id}
}

// LeavingToAnnounce returns at most limit incarnations for the next message to the other hosts of the zone. Each incarnation that this host
// has marked with announce is returned announcementsPerMark times.
func (t *Table) LeavingToAnnounce(limit int) []endpoints.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(limit, len(t.unannounced))
	if n == 0 {
		return nil
	}
	list := t.unannounced[:n:n]
	t.unannounced = t.unannounced[n:]
	for _, id := range list {
		if m := t.marks[id]; m != nil && m.announcements > 1 {
			m.announcements--
			t.unannounced = append(t.unannounced, id)
		}
	}
	return list
}

// isMarked reports whether the incarnation is marked, and keeps its mark. t.mu must be held.
func (t *Table) isMarked(id endpoints.ID, now time.Time) bool {
	m := t.marks[id]
	if m != nil {
		m.namedAt = now
	}
	return m != nil
}

// expireMarks drops the marks of incarnations that have had no entry for leavingMarkLifetime, at most once per markCheckInterval. t.mu must
// be held.
func (t *Table) expireMarks(now time.Time) {
	if now.Sub(t.marksCheckedAt) < markCheckInterval {
		return
	}
	t.marksCheckedAt = now
	for id, m := range t.marks {
		r := t.records[EndpointName(id)]
		if (r == nil || r.endpoint.ID != id) && now.Sub(m.namedAt) > leavingMarkLifetime {
			t.dropMark(id)
		}
	}
}

// dropOldestMark drops the mark whose incarnation was named longest ago. t.mu must be held.
func (t *Table) dropOldestMark() {
	var oldest endpoints.ID
	var at time.Time
	for id, m := range t.marks {
		if at.IsZero() || m.namedAt.Before(at) {
			oldest, at = id, m.namedAt
		}
	}
	t.dropMark(oldest)
}

// dropMark drops a mark. Its incarnation stays withdrawn while a record says so. t.mu must be held.
func (t *Table) dropMark(id endpoints.ID) {
	delete(t.marks, id)
	r := t.records[EndpointName(id)]
	t.withdrawn.set(id, r != nil && r.endpoint.ID == id && !t.listed(r), false)
}

// EndpointName returns the name of the endpoint from an incarnation that incarnation returned.
func EndpointName(id endpoints.ID) string {
	return id.Incarnation[:max(0, strings.LastIndexByte(id.Incarnation, '@'))]
}

const idSetShards = 64

var idSetSeed = maphash.MakeSeed()

// idSet is a set of withdrawn incarnations that is read without locks. Its shards are replaced as a whole at each change; set must not be
// called concurrently.
type idSet struct {
	shards [idSetShards]atomic.Pointer[map[endpoints.ID]bool] // by incarnation, whether it is marked
	size   atomic.Int64
}

func (s *idSet) shard(id endpoints.ID) *atomic.Pointer[map[endpoints.ID]bool] {
	return &s.shards[maphash.Comparable(idSetSeed, id)%idSetShards]
}

// get reports whether the incarnation is in the set, and whether it is there because of a mark.
func (s *idSet) get(id endpoints.ID) (withdrawn, marked bool) {
	if s.size.Load() == 0 {
		return false, false
	}
	if m := s.shard(id).Load(); m != nil {
		marked, withdrawn = (*m)[id]
	}
	return withdrawn, marked
}

// set adds an incarnation to the set or removes it.
func (s *idSet) set(id endpoints.ID, withdrawn, marked bool) {
	shard := s.shard(id)
	var old map[endpoints.ID]bool
	if m := shard.Load(); m != nil {
		old = *m
	}
	wasMarked, was := old[id]
	if was == withdrawn && wasMarked == marked {
		return
	}
	next := make(map[endpoints.ID]bool, len(old)+1)
	maps.Copy(next, old)
	delete(next, id)
	if withdrawn {
		next[id] = marked
	}
	shard.Store(&next)
	s.size.Add(int64(len(next) - len(old)))
}
