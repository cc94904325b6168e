package announce

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEachFactIsRepeated guards against facts that fewer messages carry than announced, for any number of facts and any message size.
func TestEachFactIsRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var b Broadcast[int]
		facts := rapid.IntRange(1, 50).Draw(t, "facts")
		for i := range facts {
			b.Announce(i)
		}
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		for _, q := range []*Queue[int]{&b.Zone, &b.Relays} {
			sent := map[int]int{}
			for list := q.Next(limit); len(list) > 0; list = q.Next(limit) {
				is.True(len(list) <= limit)
				for _, k := range list {
					sent[k]++
				}
			}
			for i := range facts {
				is.Equal(sent[i], Repetitions)
			}
		}
	})
}

// TestNewFactsGoFirst guards against a new fact that waits behind repetitions and refreshed facts, and against queues that grow without end.
func TestNewFactsGoFirst(t *testing.T) {
	is := is.New(t)
	var b Broadcast[int]
	b.Announce(1)
	is.Equal(b.Zone.Next(1), []int{1})
	b.Refresh(2)
	b.Forward(3)
	is.Equal(b.Zone.Next(1), []int{3})
	is.Equal(b.Relays.Next(1), []int{2})
	for i := range 3 * maxQueued {
		b.Announce(i)
	}
	is.Equal(len(b.Zone.order), maxQueued)
	is.Equal(len(b.Zone.left), maxQueued)
	is.Equal(b.Zone.Next(1), []int{3*maxQueued - 1})
}
