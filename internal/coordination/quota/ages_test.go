package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReturnsHaveValidAges guards against messages that their receiver rejects whole, with all requests for permits in them: a permit that is given back may
// have been requested after the time that the sender's caller took before it waited for the lock, or long ago.
func TestReturnsHaveValidAges(t *testing.T) {
	is := is.New(t)
	start := time.Unix(10_000, 0)
	h := &holding{customer: "c"}
	h.addReturn(1, start, start)
	h.addReturn(1, start.Add(-2*time.Hour), start)
	r := Request{Customer: "c", Number: 1, Returned: h.takeReturns(start.Add(-50 * time.Millisecond))}
	is.Equal(len(r.Returned), 2)
	is.NoErr(r.Check())
}
