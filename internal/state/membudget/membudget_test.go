package membudget

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	first  = netip.MustParseAddr("10.0.0.1")
	second = netip.MustParseAddr("10.0.0.2")
)

// TestShares guards against an address that takes all memory with many holdings, and against a single holding that is refused although all is free.
func TestShares(t *testing.T) {
	is := is.New(t)
	b := New(Limits{LargeBodies: 100})
	is.True(b.Reserve(LargeBodies, first, 0, 60))
	is.True(b.Reserve(LargeBodies, first, 60, 30))  // the same holding grows
	is.True(!b.Reserve(LargeBodies, first, 0, 5))   // another one of this address
	is.True(b.Reserve(LargeBodies, second, 0, 10))  // the other address gets the rest
	is.True(!b.Reserve(LargeBodies, second, 10, 1)) // nothing is left
	is.Equal(b.Refused(LargeBodies), int64(2))
	b.Release(LargeBodies, first, 90)
	is.Equal(b.UsedBy(LargeBodies, first), int64(0))
	is.True(b.Reserve(LargeBodies, second, 0, 40)) // half of the limit
	is.True(!b.Reserve(LargeBodies, second, 0, 1))
}

// TestNeverExceeds guards against reservations beyond a limit and against memory that is counted after its release.
func TestNeverExceeds(t *testing.T) {
	type holding struct {
		kind    Kind
		address netip.Addr
		bytes   int64
	}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: 50, Heads: 50, SmallBodies: 50, LargeBodies: 80, Responses: 50, Heap: 100}
		b := New(limits)
		var held []holding
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				h := held[0]
				held = held[1:]
				b.Release(h.kind, h.address, h.bytes)
			} else {
				h := holding{rapid.SampledFrom(Kinds()).Draw(t, "kind"), rapid.SampledFrom([]netip.Addr{first, second}).Draw(t, "address"), rapid.Int64Range(1, 60).Draw(t, "bytes")}
				if b.Reserve(h.kind, h.address, 0, h.bytes) {
					held = append(held, h)
				}
			}
			var heap int64
			for _, k := range Kinds() {
				if b.Used(k) > b.Limit(k) {
					t.Fatalf("%s: %d of %d", k, b.Used(k), b.Limit(k))
				}
				if k != LargeBodies {
					heap += b.Used(k)
				}
			}
			if heap > limits.Heap {
				t.Fatalf("heap: %d of %d", heap, limits.Heap)
			}
		}
		for _, h := range held {
			b.Release(h.kind, h.address, h.bytes)
		}
		if len(b.byAddress) > 0 || b.usedHeap != 0 {
			t.Fatal("memory is counted after its release")
		}
	})
}
