package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestServedStateHasValidAge guards against a copy of the store that the fetching host rejects, because this host finished a read of the store after the time
// that the handler took before it waited for the lock.
func TestServedStateHasValidAge(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(&fakeStore{}, time.Second)
		before := time.Now()
		time.Sleep(50 * time.Millisecond)
		is.NoErr(h.Refresh(t.Context()))
		state, ok := h.State(before)
		is.True(ok)
		is.Equal(state.AgeMS, int64(0))
	})
}
