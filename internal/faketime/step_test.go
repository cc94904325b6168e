package faketime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStepClock guards against tests of clock steps that test nothing, because the layout of time.Time has changed.
func TestStepClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	stepped := StepClock(now, 10)
	is.Equal(stepped.Sub(now), time.Duration(0))
	is.Equal(stepped.UnixNano()-now.UnixNano(), int64(10*time.Second))
}
