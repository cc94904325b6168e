package peers

import (
	"testing"

	"github.com/matryer/is"
)

// TestSmallHostsElsewhereGetNoLargeShare guards against hosts of few cores in other zones that are late, because the callers of a zone that has lost its way to
// the endpoints are sent to them as often as to the large hosts there.
func TestSmallHostsElsewhereGetNoLargeShare(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	table.SetStatus(Status{Ready: true, CutOff: true})
	add := func(n int, cores float64) {
		h := host(n, "b")
		h.Cores = cores
		table.RecordMessage(h, Status{Ready: true}, start)
	}
	for n := range 7 {
		add(n, 0.16)
	}
	add(7, 0.8)
	add(8, 0.8)
	is.Equal(table.Addresses(start, 64), []string{"b-7:1", "b-8:1"}) // nine hosts handle 9 * 0.16 cores, these two handle 1.6
	add(9, 0.16)
	add(10, 0.16)
	list := table.Addresses(start, 64)
	is.Equal(len(list), 11)
	is.Equal(table.Addresses(start, 3), list[:3])
	is.Equal(list[:2], []string{"b-7:1", "b-8:1"})
}
