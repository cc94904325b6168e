package configlog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestIsolatedAfterClockStep guards against a host that refuses all work because the time of day was set forward by more than isolationTimeout.
func TestIsolatedAfterClockStep(t *testing.T) {
	is := is.New(t)
	f := NewFollower(Config{})
	now := time.Now()
	f.RecordContact(now)
	is.True(!f.Isolated(faketime.StepClock(now, 60)))
	is.True(f.Isolated(now.Add(isolationTimeout + time.Millisecond)))
}
