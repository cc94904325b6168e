package soak

import (
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Bounds of the checks in this file.
const (
	maxDuringRejection = 2                      // requests of a host that are allowed while an endpoint wants none of it
	rejectionSlack     = 500 * time.Millisecond // time after a rejection from which requests count
)

// pair is a host and an endpoint, by its id.
type pair struct {
	host     *host
	endpoint string
}

// arrival is a request and its arrival at an endpoint.
type arrival struct {
	*request
	at platformtest.Arrival
}

// auditResponses checks that hosts observe what endpoints state in their responses: that they leave, and for how long they want no
// requests.
func (s *soak) auditResponses(sent map[string]*request) {
	byPair := map[pair][]arrival{}
	for _, a := range s.requests.arrivals {
		if r := sent[a.ID]; r != nil {
			p := pair{r.host, a.Endpoint}
			byPair[p] = append(byPair[p], arrival{r, a})
		}
	}
	for p, arrivals := range byPair {
		s.auditStatedLeaving(p, arrivals)
		s.auditRejections(p, arrivals)
	}
	for endpoint := range s.requests.endpoints.leaving {
		for _, h := range s.hosts {
			p := pair{h, endpoint}
			s.auditKnownLeaving(p, byPair[p])
		}
	}
}

// auditStatedLeaving checks that no request reaches an endpoint later than drainTime after its host passed on a response in which the
// endpoint stated that it leaves, whether the host is connected to the store or not.
func (s *soak) auditStatedLeaving(p pair, arrivals []arrival) {
	since, ok := s.requests.endpoints.statedLeaving[p.endpoint]
	if !ok {
		return
	}
	var first time.Time
	for _, a := range arrivals {
		if a.signer == p.endpoint && a.at.At.After(since) && (first.IsZero() || a.ended.Before(first)) {
			first = a.ended
		}
	}
	if first.IsZero() {
		return
	}
	s.checkNoneAfter(noneAfterStatedLeaving, p, arrivals, first, p.host.restarts(), p.host.freezes())
}

// checkNoneAfter checks that no request that was sent later than drainTime after a host knew that an endpoint leaves reached the endpoint.
// Requests do not count if a span of one of the scopes lies between the two.
func (s *soak) checkNoneAfter(check string, p pair, arrivals []arrival, known time.Time, scopes ...string) {
	late := slices.IndexFunc(arrivals, func(a arrival) bool {
		return a.sent.After(known.Add(drainTime)) && !slices.ContainsFunc(scopes, func(scope string) bool { return s.timeline.overlaps(scope, known, a.at.At) })
	})
	if late < 0 {
		s.ledger.Check(check, true, "")
		return
	}
	a := arrivals[late]
	s.ledger.Check(check, false, "%s of %s reached endpoint %s, sent %.2f s after the host knew that the endpoint leaves", a.id, p.host.name, p.endpoint, a.sent.Sub(known).Seconds())
}

// auditKnownLeaving checks that a host that was connected to the store when an endpoint left sends no request to it later on, in
// particular not when the store returns from a copy in which the endpoint is present.
func (s *soak) auditKnownLeaving(p pair, arrivals []arrival) {
	since, ok := s.requests.endpoints.leaving[p.endpoint]
	known := since.Add(drainTime)
	if !ok || !s.timeline.undisturbed(p.host.scope(), since, known) || !s.timeline.undisturbed(scopeStore, since, known) {
		return
	}
	s.checkNoneAfter(noneAfterKnown, p, arrivals, since, p.host.restarts())
}

// auditRejections checks that few requests of a host reach an endpoint in the time for which the endpoint wanted none.
func (s *soak) auditRejections(p pair, arrivals []arrival) {
	for _, rejected := range arrivals {
		delay, ok := rejectionDelay(rejected.at.RetryAfter)
		at := rejected.at.At
		if !ok || s.timeline.overlaps(p.host.restarts(), at, at.Add(delay)) || s.timeline.overlaps(p.host.freezes(), at, at.Add(delay)) ||
			s.timeline.overlaps(scopeLinks, at.Add(-rejectionSlack), at.Add(rejectionSlack)) || s.timeline.overlaps(p.host.detours(), at, at.Add(delay)) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if a.at.At.After(at.Add(rejectionSlack)) && a.at.At.Before(at.Add(delay)) {
				n++
			}
		}
		s.ledger.Check(rejectionsObserved, n <= maxDuringRejection, "%d requests of %s reached endpoint %s within the %s for which it wanted none from %.2f s on (rejected: %s)",
			n, p.host.name, p.endpoint, delay, at.Sub(s.startTime).Seconds(), rejected.id)
	}
}
