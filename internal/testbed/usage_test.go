package testbed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestParseStat guards against reading the wrong fields if the program's name contains spaces or parentheses.
func TestParseStat(t *testing.T) {
	is := is.New(t)
	got, err := parseStat("42 (a ) b) S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 1 0 99\n")
	is.NoErr(err)
	is.Equal(got, 1750*time.Millisecond)
	_, err = parseStat("42 (x) S 1")
	is.True(err != nil)
}
