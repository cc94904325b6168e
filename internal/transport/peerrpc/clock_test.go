package peerrpc

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestKeepAliveAfterClockStep guards against streams that all hosts close at the same time because the time of day was set forward.
func TestKeepAliveAfterClockStep(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &Stream{began: now}
	s.received(now)
	s.sent(now)
	stepped := faketime.StepClock(now, 60)
	is.True(!s.isSilent(stepped) && !s.owesKeepAlive(stepped))
	is.True(s.owesKeepAlive(now.Add(keepAliveInterval)))
	is.True(s.isSilent(now.Add(keepAliveTimeout + time.Millisecond)))
}
