package overload

import (
	"slices"
	"time"
)

const (
	// completionTime is the time constant of the measured capacity, and arrivalTime that of the arrivals.
	completionTime = time.Second
	arrivalTime    = 500 * time.Millisecond
	// minCompleted is the number of requests, decayed by completionTime, that this host must have completed for its capacity to be known. A host that
	// sends a service few requests gets slots that those of other hosts free, which its own completions do not show.
	minCompleted = 4
	// shareTime is the time constant of the share of the requests of a rank that are served.
	shareTime = 2 * time.Second
	// minRefused is the number of refused requests of a rank, decayed, from which its share is compared with that of less urgent ranks.
	minRefused = 2
	// stretchWeight is the weight of one request in the stretch. maxStretch bounds the stretch with which requests are expected to run.
	stretchWeight = 0.05
	maxStretch    = 2
)

// Arrived records the arrival of a request, whether or not it will wait.
func (q *Queue) Arrived(r *Request, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	known := q.customers.get(r.Customer, now)
	if known != nil {
		known.arrived(r.Work, now)
	}
	if !now.Before(r.lateFrom()) {
		return
	}
	b := q.band(r.rank())
	b.arrivals.Add(r.Work.Seconds(), arrivalTime, now)
	if known != nil {
		b.share(q, r.Customer, now).arrivals.Add(r.Work.Seconds(), arrivalTime, now)
	}
}

// Started records that a request was sent to an endpoint. first says that it was sent for the first time.
func (q *Queue) Started(r *Request, first bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running++
	if first {
		q.band(r.rank()).served.Add(1, shareTime, now)
	}
}

// Ended records that a request ended at an endpoint. completed says that it was answered, after took.
func (q *Queue) Ended(work, took time.Duration, completed bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if !completed || work <= 0 {
		return
	}
	q.completed.Add(work.Seconds(), completionTime, now)
	q.completions.Add(1, completionTime, now)
	if q.stretch == 0 {
		q.stretch = 1
	}
	q.stretch += stretchWeight * (float64(took)/float64(work) - q.stretch)
}

// capacity returns the work per second that this host's requests get done at the endpoints, or 0 if too few were completed in the last second. It is
// what they completed in the last second or, if that is more, as after a sudden rise of the demand, what those that run will complete at the present
// speed. q.mu must be held.
func (q *Queue) capacity(now time.Time) float64 {
	if q.completions.Value(completionTime, now) < minCompleted {
		return 0
	}
	return max(q.completed.Rate(completionTime, now), float64(q.running)/q.stretch)
}

// expected returns how long a request with the given work takes at an endpoint while others wait. q.mu must be held.
func (q *Queue) expected(work time.Duration) time.Duration {
	return time.Duration(float64(work) * min(max(q.stretch, 1), maxStretch))
}

// arrivals returns the work per second that arrives, of requests that can be in time, with the ranks for which include returns true. q.mu must be
// held.
func (q *Queue) arrivals(now time.Time, include func(*band) bool) (perSecond float64) {
	for _, b := range q.bands {
		if include(b) {
			perSecond += b.arrivals.Rate(arrivalTime, now)
		}
	}
	return perSecond
}

// servedShare returns the share of the band's requests that are served.
func (b *band) servedShare(now time.Time) float64 {
	served, refused := b.served.Value(shareTime, now), b.refused.Value(shareTime, now)
	if served+refused == 0 {
		return 1
	}
	return served / (served + refused)
}

// underserved reports whether a smaller share of a band's requests is served than of those of a less urgent one. Its late requests then come before
// that one's requests. This happens if the requests of the urgent band have so short a target that they can only be late. q.mu must be held.
func (q *Queue) underserved(b *band, now time.Time) bool {
	if b.refused.Value(shareTime, now) < minRefused {
		return false
	}
	share := b.servedShare(now)
	return slices.ContainsFunc(q.bands, func(other *band) bool {
		return b.rank.compare(other.rank) < 0 && b.rank.guest == other.rank.guest && other.served.Value(shareTime, now) >= 1 && other.servedShare(now) > share
	})
}
