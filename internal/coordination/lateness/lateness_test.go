package lateness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// TestOverlapsCountOnce guards against a host that takes itself for late for longer than it was, because several timers were late at once, so that it holds back
// evidence for too long.
func TestOverlapsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		start := time.Unix(1000, 0)
		at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
		var m Meter
		late := make([]bool, 500) // by millisecond
		now := 0
		for range rapid.IntRange(0, 30).Draw(t, "timers") {
			now += rapid.IntRange(0, 15).Draw(t, "pause")
			due := max(0, now-rapid.IntRange(0, 60).Draw(t, "lateness"))
			is.Equal(m.Observe(at(due), at(now)), now-due > 5)
			for n := due; n < now && now-due > 5; n++ {
				late[n] = true
			}
		}
		count := func(from, to int) (d time.Duration) {
			for n := from; n < to; n++ {
				if late[n] {
					d += time.Millisecond
				}
			}
			return d
		}
		is.Equal(m.Total(), count(0, 500))
		from := rapid.IntRange(0, 499).Draw(t, "from")
		to := rapid.IntRange(from, 499).Draw(t, "to")
		is.Equal(m.Between(at(from), at(to)), count(from, to))
	})
}

// TestLateTimerBeginsAnew guards against waits that end although the host could not have seen what it waited for.
func TestLateTimerBeginsAnew(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var m Meter
		timer := NewTimer(&m, 12*time.Millisecond)
		defer timer.Stop()
		time.Sleep(100 * time.Millisecond)
		<-timer.C
		is.True(!timer.Expired())
		is.Equal(m.Total(), 88*time.Millisecond)
		<-timer.C
		is.True(timer.Expired())
		is.Equal(m.Total(), 88*time.Millisecond)
	})
}

// TestLateRecordsCountOwnTime guards against a host that takes itself for late for longer than it was, because a timer that was seen earlier is recorded after
// others, as by a goroutine that waited for a processor in between.
func TestLateRecordsCountOwnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		start := time.Unix(1000, 0)
		at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
		var m Meter
		late := make([]bool, 500) // by millisecond
		for range rapid.IntRange(0, 30).Draw(t, "timers") {
			now := rapid.IntRange(0, 499).Draw(t, "seen")
			due := max(0, now-rapid.IntRange(0, 60).Draw(t, "lateness"))
			m.Observe(at(due), at(now))
			for n := due; n < now && now-due > 5; n++ {
				late[n] = true
			}
		}
		var want time.Duration
		for _, l := range late {
			if l {
				want += time.Millisecond
			}
		}
		is.Equal(m.Total(), want)
		is.Equal(m.Between(at(0), at(499)), want)
	})
}
