package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStatedTime guards against an estimate of how long a caller has waited that is based on the route's timeout: it is the same for first attempts
// and for returning callers, while the times that they state differ.
func TestStatedTime(t *testing.T) {
	is := is.New(t)
	is.Equal(statedTime("6000"), 6*time.Second)
	is.Equal(statedTime("5400.5"), 5400500*time.Microsecond)
	is.Equal(statedTime("1e300"), maxStatedTime)
	for _, text := range []string{"", "-1", "0", "NaN", "x"} {
		is.Equal(statedTime(text), time.Duration(0))
	}
}
