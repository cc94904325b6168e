// Package membudget divides the memory of a process among what holds it, so that clients cannot use up all of it. It counts; the memory itself is
// allocated by those who reserve it.
package membudget

import (
	"net/netip"
	"sync"
)

// Kind says what memory is used for.
type Kind uint8

// Kinds of memory.
const (
	Connections Kind = iota // buffers and goroutines of open connections
	Heads                   // request lines and header fields, parsed, unless they are small
	SmallBodies             // request bodies on the heap
	LargeBodies             // request bodies in pages of their own, outside the heap
	Responses               // responses that wait to be written
	kinds
)

// names are the names of the kinds in metrics and logs.
var names = [kinds]string{"connections", "heads", "small_bodies", "large_bodies", "responses"}

// String returns the name of the kind.
func (k Kind) String() string { return names[k] }

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Connections, Heads, SmallBodies, LargeBodies, Responses} }

// Limits bound the memory of each kind, in bytes. 0 means no limit.
type Limits struct {
	Connections, Heads, SmallBodies, LargeBodies, Responses int64
	// Heap bounds all kinds together except LargeBodies.
	Heap int64
	// NoShares lets one address hold all memory, where addresses are those of trusted hosts.
	NoShares bool
}

// addressShare is the part of a kind's limit that the holdings of one address may take together. A single holding may take all that is free.
const addressShare = 0.5

// Budget counts the memory that is reserved. It is safe for concurrent use.
type Budget struct {
	limits   [kinds]int64
	heap     int64
	noShares bool

	mu        sync.Mutex
	used      [kinds]int64
	usedHeap  int64
	byAddress map[netip.Addr]*[kinds]int64
	refused   [kinds]int64
}

// New returns a budget with the given limits.
func New(l Limits) *Budget {
	return &Budget{limits: [kinds]int64{l.Connections, l.Heads, l.SmallBodies, l.LargeBodies, l.Responses}, heap: l.Heap,
		noShares: l.NoShares, byAddress: map[netip.Addr]*[kinds]int64{}}
}

// Reserve reserves n more bytes for a holding of the address that has held bytes of the kind already. It returns false, and reserves nothing, if
// that exceeds the limit of the kind, the limit of the heap, or the address's share while it has other holdings.
func (b *Budget) Reserve(k Kind, address netip.Addr, held, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fitsLocked(k, address, held, n) {
		b.refused[k]++
		return false
	}
	b.addLocked(k, address, n)
	return true
}

func (b *Budget) fitsLocked(k Kind, address netip.Addr, held, n int64) bool {
	limit := b.limits[k]
	if limit > 0 && b.used[k]+n > limit || k != LargeBodies && b.heap > 0 && b.usedHeap+n > b.heap {
		return false
	}
	if limit == 0 || b.noShares {
		return true
	}
	var ofAddress int64
	if a := b.byAddress[address]; a != nil {
		ofAddress = a[k]
	}
	return ofAddress <= held || float64(ofAddress+n) <= addressShare*float64(limit)
}

// Add reserves n bytes for the address without regard to the limits, for memory that is bounded otherwise.
func (b *Budget) Add(k Kind, address netip.Addr, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(k, address, n)
}

// Release gives back n bytes that were reserved for the address.
func (b *Budget) Release(k Kind, address netip.Addr, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(k, address, -n)
}

func (b *Budget) addLocked(k Kind, address netip.Addr, n int64) {
	b.used[k] += n
	if k != LargeBodies {
		b.usedHeap += n
	}
	a := b.byAddress[address]
	if a == nil {
		a = &[kinds]int64{}
		b.byAddress[address] = a
	}
	if a[k] += n; *a == ([kinds]int64{}) {
		delete(b.byAddress, address)
	}
}

// Used returns the bytes that are reserved.
func (b *Budget) Used(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k]
}

// UsedBy returns the bytes that are reserved for an address.
func (b *Budget) UsedBy(k Kind, address netip.Addr) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.byAddress[address]; a != nil {
		return a[k]
	}
	return 0
}

// Refused returns how often a reservation was refused.
func (b *Budget) Refused(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused[k]
}

// Limit returns the limit of the kind in bytes; 0 means no limit.
func (b *Budget) Limit(k Kind) int64 { return b.limits[k] }
