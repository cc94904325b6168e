package errtext

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBound checks that short texts stay as they are, and that long ones are cut between characters and keep their cause.
func TestBound(t *testing.T) {
	is := is.New(t)
	is.Equal(Bound(nil), nil)
	short := errors.New(strings.Repeat("x", maxBytes))
	is.Equal(Bound(short), short)
	long := errors.New("x" + strings.Repeat("é", maxBytes))
	bounded := Bound(long)
	is.True(errors.Is(bounded, long))
	is.Equal(bounded.Error(), "x"+strings.Repeat("é", (maxBytes-1)/2)+"...")
}
