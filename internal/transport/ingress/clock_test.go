package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestClockStepMakesNoConnectionIdle guards against connections that are closed as idle because the time of day was set forward.
func TestClockStepMakesNoConnectionIdle(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := newConn(New(Config{}), near)
	c.activity.requests.Add(1)
	c.waiting, c.idleLimit = true, 30*time.Second
	why, _ := c.eviction(faketime.StepClock(time.Now(), 60))
	is.Equal(why, notEvicted)
	is.True(c.waitUntil().After(faketime.StepClock(time.Now(), 60)))
}
