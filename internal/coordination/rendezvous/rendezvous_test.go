package rendezvous

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// TestRankIsStable guards against keys that move between the remaining hosts when another host is removed.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 2, 20, rapid.ID).Draw(t, "hosts")
		key := rapid.String().Draw(t, "key")
		ranked := Rank(key, hosts)
		is.Equal(First(key, hosts), ranked[0])

		gone := rapid.SampledFrom(hosts).Draw(t, "gone")
		left := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == gone })
		want := slices.DeleteFunc(slices.Clone(ranked), func(h string) bool { return h == gone })
		is.Equal(Rank(key, left), want)
	})
}
