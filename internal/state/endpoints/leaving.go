package endpoints

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// LeavingMark states that an incarnation of an upstream endpoint is leaving.
type LeavingMark struct {
	ID
	FirstLearned time.Time `json:"learned"` // when the first host learned that it is leaving
	LastNamed    time.Time `json:"named"`   // when the incarnation was last on a host list or reported by the upstream itself
}

const (
	// markRetention is how long a mark is kept after LeavingMark.LastNamed. It must be longer than the delay of host lists, which is seconds
	// to minutes.
	markRetention = time.Hour
	// maxExactMarks is the highest number of exact marks. With 27,000 endpoints that restart five times a day, about 6,000 marks are
	// younger than markRetention.
	maxExactMarks = 65_536
	// bloomBits and bloomHashes are the size of a Bloom filter and its number of hash functions. The rate of false positives is
	// about one in 2,000 after 500,000 marks in one filter.
	bloomBits   = 1 << 23
	bloomHashes = 6
)

// leavingSet holds the marks. A mark is removed only if its incarnation has not been on a host list for markRetention. If there are
// more than maxExactMarks, the oldest are moved to a Bloom filter, which bounds the memory. A filter has no false negatives, but a false
// positive makes an incarnation that is not marked appear as leaving.
type leavingSet struct {
	maxExact   int    // highest number of exact marks
	filterBits uint64 // size of a filter
	mu         sync.RWMutex
	marks      map[ID]LeavingMark
	filters    [2]*bloomFilter // newest first; a filter is kept for one to two retention periods after the last addition
	rotatedAt  time.Time       // when filters[0] was created or became filters[1]
}

// add merges a mark and reports whether it is new.
func (l *leavingSet) add(k LeavingMark) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.marks[k.ID]; ok {
		if k.FirstLearned.Before(old.FirstLearned) {
			old.FirstLearned = k.FirstLearned
		}
		if k.LastNamed.After(old.LastNamed) {
			old.LastNamed = k.LastNamed
		}
		l.marks[k.ID] = old
		return false
	}
	isNew := !l.inFilters(k.ID)
	l.marks[k.ID] = k
	if len(l.marks) > l.maxExact {
		l.moveOldestToFilter(k.LastNamed)
	}
	return isNew
}

// moveOldestToFilter moves the marks with the oldest LastNamed, an eighth of all, to the newest filter. The lock is held.
func (l *leavingSet) moveOldestToFilter(now time.Time) {
	all := l.sorted(func(a, b LeavingMark) int { return a.LastNamed.Compare(b.LastNamed) })
	if l.filters[0] == nil {
		l.filters[0], l.rotatedAt = newBloomFilter(l.filterBits), now
	}
	for _, k := range all[:max(1, len(all)/8)] {
		l.filters[0].add(k.ID)
		delete(l.marks, k.ID)
	}
}

// updateFromList updates LastNamed of the marked incarnations on a host list, and removes the marks whose LastNamed is older than
// markRetention. An incarnation on the list that is only in a filter gets an exact mark again, so that its mark is kept when the
// filter is removed.
func (l *leavingSet) updateFromList(list []Endpoint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range list {
		if k, ok := l.marks[e.ID]; ok {
			k.LastNamed = now
			l.marks[e.ID] = k
		} else if l.inFilters(e.ID) {
			l.marks[e.ID] = LeavingMark{ID: e.ID, FirstLearned: l.rotatedAt, LastNamed: now}
		}
	}
	for id, k := range l.marks {
		if now.Sub(k.LastNamed) > markRetention {
			delete(l.marks, id)
		}
	}
	for len(l.marks) > l.maxExact {
		l.moveOldestToFilter(now)
	}
	if l.filters != [2]*bloomFilter{} && now.Sub(l.rotatedAt) > markRetention {
		l.filters, l.rotatedAt = [2]*bloomFilter{nil, l.filters[0]}, now
	}
}

func (l *leavingSet) inFilters(id ID) bool {
	return slices.ContainsFunc(l.filters[:], func(b *bloomFilter) bool { return b != nil && b.has(id) })
}

func (l *leavingSet) has(id ID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.marks[id]
	return ok || l.inFilters(id)
}

func (l *leavingSet) list() []LeavingMark {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.sorted(func(a, b LeavingMark) int { return compareID(a.ID, b.ID) })
}

func (l *leavingSet) sorted(compare func(a, b LeavingMark) int) []LeavingMark {
	all := make([]LeavingMark, 0, len(l.marks))
	for _, k := range l.marks {
		all = append(all, k)
	}
	slices.SortFunc(all, compare)
	return all
}

func compareID(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}

// bloomFilter is a Bloom filter (Bloom 1970). Its hash functions are derived from one 64-bit hash by double hashing.
type bloomFilter struct {
	seed maphash.Seed
	bits []uint64
}

func newBloomFilter(bits uint64) *bloomFilter {
	return &bloomFilter{seed: maphash.MakeSeed(), bits: make([]uint64, bits/64)}
}

// forEachBit calls f for each bit of an ID until f returns false, and reports whether f returned true for all of them.
func (b *bloomFilter) forEachBit(id ID, f func(word *uint64, bit uint64) bool) bool {
	h := maphash.Comparable(b.seed, id)
	step := h>>32 | 1
	for i := range uint64(bloomHashes) {
		n := (h + i*step) % uint64(len(b.bits)*64)
		if !f(&b.bits[n/64], 1<<(n%64)) {
			return false
		}
	}
	return true
}

func (b *bloomFilter) add(id ID) {
	b.forEachBit(id, func(word *uint64, bit uint64) bool { *word |= bit; return true })
}

func (b *bloomFilter) has(id ID) bool {
	return b.forEachBit(id, func(word *uint64, bit uint64) bool { return *word&bit != 0 })
}
