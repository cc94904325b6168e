package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeartbeatSchedule guards against hosts whose heartbeats come together, because they have started together and send some at once together: in each
// four fifths of an interval, most of them send one. Hosts begin with the shorter interval of those that know no others yet.
func TestHeartbeatSchedule(t *testing.T) {
	is := is.New(t)
	const hosts, firstInterval, interval, step = 48, 200 * time.Millisecond, 670 * time.Millisecond, 5 * time.Millisecond
	const settled = 4 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	schedules, last := make([]heartbeatSchedule, hosts), make([]time.Time, hosts)
	due := make([]time.Time, hosts)
	for i := range schedules {
		schedules[i].random = rng.Float64
		last[i], due[i] = start, start.Add(schedules[i].untilNext(firstInterval, start))
	}
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
		together := now.Sub(start)%(2*time.Second) == 0 // all send one at once
		recent := 0
		for i := range schedules {
			if together || !now.Before(due[i]) {
				last[i] = now
				due[i] = now.Add(schedules[i].untilNext(interval, now))
			}
			if now.Sub(last[i]) <= interval*4/5 {
				recent++
			}
		}
		is.True(2*recent > hosts || now.Sub(start) < settled)
	}
}
