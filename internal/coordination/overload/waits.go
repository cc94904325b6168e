package overload

import (
	"sync"
	"time"
)

const (
	// statedWindow is how long a stated time counts as recent. A window that has ended counts until the next one has ended too.
	statedWindow = 5 * time.Second
	// statedTolerance is the difference up to which a stated time counts as equal to the longest one, as a fraction of that, plus statedSlack.
	// Callers measure the time left with a delay.
	statedTolerance = 0.01
	statedSlack     = 5 * time.Millisecond
	// minFirstAttempts is the least share of the requests that state the longest time. Callers send two repeats at most, so that a third of the
	// requests or more are first attempts. A smaller share shows that first attempts on the route state different times, which tell nothing.
	minFirstAttempts = 0.125
)

// Waits estimates how long callers have waited before this attempt: a returning caller states less time than a first attempt on the same
// route. It is safe for concurrent use, and its zero value has seen no request.
type Waits struct{ routes sync.Map } // route name -> *routeWaits

// routeWaits holds the times that the requests of one route stated.
type routeWaits struct {
	mu            sync.Mutex
	last, current statedTimes
	endsAt        time.Time // of the current window
}

// statedTimes summarizes the stated times of one window.
type statedTimes struct {
	longest  time.Duration
	requests int
	first    int // requests that stated the longest time
}

// add adds a stated time.
func (s *statedTimes) add(stated time.Duration) {
	s.requests++
	switch {
	case stated > s.longest+tolerance(s.longest):
		s.longest, s.first = stated, 1
	case stated >= s.longest-tolerance(s.longest):
		s.first++
		s.longest = max(s.longest, stated)
	}
}

func tolerance(stated time.Duration) time.Duration {
	return statedSlack + time.Duration(statedTolerance*float64(stated))
}

// Estimate returns how long the caller of a request has waited before this attempt, and records the time that the request states. stated is the
// time left until the deadline of this attempt. The result is 0 for a first attempt, and if first attempts on the route state different times.
func (w *Waits) Estimate(route string, stated time.Duration, now time.Time) time.Duration {
	v, ok := w.routes.Load(route)
	if !ok {
		v, _ = w.routes.LoadOrStore(route, &routeWaits{})
	}
	r := v.(*routeWaits)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.endsAt) {
		r.last, r.current = r.current, statedTimes{}
		if now.Sub(r.endsAt) > statedWindow {
			r.last = statedTimes{}
		}
		r.endsAt = now.Add(statedWindow)
	}
	r.current.add(stated)
	longest, first, requests := r.current.longest, r.current.first, r.current.requests+r.last.requests
	switch t := tolerance(max(longest, r.last.longest)); {
	case r.last.longest > longest+t:
		longest, first = r.last.longest, r.last.first
	case r.last.longest >= longest-t:
		longest, first = max(longest, r.last.longest), first+r.last.first
	}
	if float64(first) < minFirstAttempts*float64(requests) || stated >= longest-tolerance(longest) {
		return 0
	}
	return longest - stated
}
