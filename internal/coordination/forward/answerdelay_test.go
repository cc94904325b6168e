package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestLateHostRefusesInTime guards against refusals that a host without a free processor decides shortly before the deadline, so that their callers have left when
// they are written.
func TestLateHostRefusesInTime(t *testing.T) {
	for _, delay := range []time.Duration{0, 250 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := twoZones(4, fullLoad)
				c := request(false)
				c.Route.TargetLatency, c.AnswerDelay = 0, delay
				r := f.forwarder(largeBurst).Run(t.Context(), c)
				is.Equal(r.Outcome, RefusedTooLate)
				is.True(time.Since(c.Arrived) <= max(c.Due.Sub(c.Arrived)-delay, 50*time.Millisecond))
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestLateHostUsesFreeSlots guards against a late host that refuses requests for which an endpoint has a free slot.
func TestLateHostUsesFreeSlots(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := twoZones(4, placement.Load{Slots: 2, Slowness: 1})
		c := request(false)
		c.AnswerDelay = time.Second
		is.Equal(f.forwarder(largeBurst).Run(t.Context(), c).Outcome, Answered)
		time.Sleep(time.Minute)
	})
}
