package customers

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLookup guards against a key that identifies a customer which does not hold it, and against a shared key that identifies one of its
// holders.
func TestLookup(t *testing.T) {
	is := is.New(t)
	table, err := New([]Entry{
		{Customer{Name: "norte", Priority: 1, HasPriority: true, RatePerSecond: 12.5, Burst: 4}, []string{"key-n1", "key-n2", "key-n1"}},
		{Customer{Name: "sur"}, []string{"key-s", "key-both"}},
		{Customer{Name: "este"}, []string{"key-both", "key-e"}},
	})
	is.True(err != nil && strings.Contains(err.Error(), Fingerprint("key-both")))
	is.True(!strings.Contains(err.Error(), "key-both")) // a key in a log
	for key, name := range map[string]string{"key-n1": "norte", "key-n2": "norte", "key-s": "sur", "key-e": "este"} {
		c, ok := table.Lookup(key)
		is.True(ok)
		is.Equal(c.Name, name)
	}
	for _, key := range []string{"key-both", "", "key-n", "key-n11", "KEY-S"} {
		_, ok := table.Lookup(key)
		is.True(!ok)
	}
	is.Equal(*table.Get("norte"), Customer{Name: "norte", Priority: 1, HasPriority: true, RatePerSecond: 12.5, Burst: 4})
	is.Equal(table.Names(), []string{"este", "norte", "sur"})
	is.Equal(table.Limited(), []string{"norte"})
	is.Equal(len(table.Fingerprints("norte")), 2)
	is.Equal(len(Fingerprint("key-n1")), 8)
}

// TestInvalidCustomers guards against an entry that cannot be read and thereby opens all routes: the table is not nil, and the other
// customers are in it.
func TestInvalidCustomers(t *testing.T) {
	for _, bad := range []Customer{{}, {Name: "a\r\nb"}, {Name: "x", RatePerSecond: -1}, {Name: "x", Burst: math.NaN()}, {Name: "x", RatePerSecond: math.Inf(1)}, {Name: "sur"}} {
		t.Run(fmt.Sprintf("%+v", bad), func(t *testing.T) {
			is := is.New(t)
			table, err := New([]Entry{{Customer{Name: "sur"}, []string{"key-s"}}, {bad, []string{"key-x"}}})
			is.True(err != nil)
			_, ok := table.Lookup("key-s")
			is.True(ok)
			_, ok = table.Lookup("key-x")
			is.True(!ok)
		})
	}
	is := is.New(t)
	table, err := New(nil)
	is.NoErr(err)
	is.True(table == nil)
}

// BenchmarkLookup shows that a lookup takes the same time for any number of keys.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{85, 100_000} {
		entries := make([]Entry, n)
		for i := range entries {
			entries[i] = Entry{Customer{Name: fmt.Sprint("c", i)}, []string{fmt.Sprint("key-", i)}}
		}
		table, _ := New(entries)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Lookup("key-7")
			}
		})
	}
}
