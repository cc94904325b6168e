package placement

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Some endpoints never respond to a request that they cannot queue. Such a request occupies no slot, and waiting for its response until its deadline
// is of no use.
const (
	// silenceFactor is the time, as a multiple of what the endpoint's own responses take, after which an unanswered request counts as dropped.
	// Requests that begin while other workloads slow the endpoint take up to five times as long, which the expected duration has taken into account.
	silenceFactor = 3
	// minSilence keeps network delays and pauses of this host from counting as silence.
	minSilence = 100 * time.Millisecond
	// ratioWeight is the weight of one response in an endpoint's response ratio.
	ratioWeight = 0.2
	// dropLifetime is how long a service counts as one whose endpoints drop requests, after a request was unanswered until its deadline.
	dropLifetime = 30 * time.Second
)

// RecordResponseTime records how long a response of an endpoint took, and how long it was expected to take.
func (t *EndpointStats) RecordResponseTime(id endpoints.ID, took, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	t.update(id, now, func(s *endpointEntry) {
		s.responseRatio = max(1, s.responseRatio) + ratioWeight*(float64(took)/float64(expected)-max(1, s.responseRatio))
	})
}

// SilentAfter returns the time after which a request that an endpoint has not answered counts as dropped, by the time that its own recent responses
// took. expected is the duration that was expected when the endpoint was chosen.
func (t *EndpointStats) SilentAfter(id endpoints.ID, expected time.Duration, now time.Time) time.Duration {
	ratio := 1.0
	t.update(id, now, func(s *endpointEntry) { ratio = max(ratio, s.responseRatio) })
	return max(minSilence, time.Duration(silenceFactor*ratio*float64(expected)))
}

// RecordUnanswered records that a request was unanswered until its deadline, although its connection did not break.
func (t *EndpointStats) RecordUnanswered(service string, now time.Time) { t.drops.Store(service, now) }

// DropsRequests reports whether endpoints of a service have left requests unanswered until their deadlines recently.
func (t *EndpointStats) DropsRequests(service string, now time.Time) bool {
	at, ok := t.drops.Load(service)
	return ok && now.Sub(at.(time.Time)) < dropLifetime
}

// RecordSilent records that a request in flight counts as dropped: it occupies no slot of the endpoint.
func (t *EndpointStats) RecordSilent(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.silent++ })
}

// RecordSilenceEnd records that a request that counted as dropped has ended, which RecordEnd or RecordEndWithoutOutcome records too.
func (t *EndpointStats) RecordSilenceEnd(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.silent-- })
}

// fullShare is the part of the time until an endpoint that was full is expected to have a free slot, in which a probe would show nothing else.
const fullShare = 0.5

// maxKnownFactor bounds the age at which a report of a full endpoint is used, as a multiple of the age at which any report is. Requests that wait at
// an endpoint may leave all at once.
const maxKnownFactor = 1.6

// KnowsLoad reports whether a probe of the endpoint would show nothing new: its load is at most maxAge old, or requests waited there a short while ago and the
// requests before it take longer to end. serviceTime is the usual duration of requests there.
func (v *EndpointView) KnowsLoad(maxAge, serviceTime time.Duration) bool {
	if v.HasFreshLoad(maxAge) {
		return true
	}
	busy, slots := v.occupancy()
	if !v.HasFreshLoad(time.Duration(maxKnownFactor*float64(maxAge))) || busy <= slots {
		return false
	}
	untilFree := float64(serviceTime) * v.Load.Slowness * float64(busy-slots+1) / float64(slots)
	return float64(v.LoadAge) < fullShare*untilFree
}
