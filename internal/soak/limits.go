package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Bounds of the check of limits that endpoints name.
const (
	limitSettleTime = 3 * time.Second // from when an endpoint names a limit until it has to be kept
	fallSettleTime  = time.Second / 2 // from when all endpoints name a lower limit until it has to be kept
	limitWindow     = 4 * time.Second // in which requests are counted
	limitFactor     = 1.5
	limitAllowance  = 5 // requests in a window that are allowed beyond the limit
)

// limitValues are limits that endpoints name, the last two of which are malformed or hold nothing back.
var limitValues = []string{"0", "0.5", "1", "2", "5", "20", "soon", "1e9"}

// limitSpan is the time in which an endpoint names one limit, in requests per second. An infinite one limits nothing.
type limitSpan struct {
	perSecond float64
	from, to  time.Time // to is zero until the end
	settle    time.Duration
}

// limitRequests makes some endpoints, or all endpoints of a service, name limits that change up to twice, and withdraws them.
func (s *soak) limitRequests(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeEndpoints)()
	chosen := []*endpoint{s.randomEndpoint(rng), s.randomEndpoint(rng)}
	if rng.IntN(4) == 0 {
		chosen = s.endpointsOf(services[rng.IntN(len(services))])
	}
	var limited []*endpoint
	for _, e := range chosen {
		if e.processMu.TryLock() { // otherwise another fault restarts it
			defer e.processMu.Unlock()
			limited = append(limited, e)
		}
	}
	for range 1 + rng.IntN(3) {
		value := limitValues[rng.IntN(len(limitValues))]
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil {
			perSecond = math.Inf(1)
		}
		for _, e := range limited {
			e.SetLimit(value)
			s.requests.endpointLimited(e.ID(), perSecond, limitSettleTime, time.Now())
		}
		pause(ctx, limitSettleTime+limitWindow+randomDuration(rng))
	}
	for _, e := range limited {
		e.SetLimit("")
		s.requests.endpointLimited(e.ID(), math.Inf(1), 0, time.Now())
	}
}

// Limits that all endpoints name before and after the fall, in requests per second.
const (
	highLimit = 40
	lowLimit  = 2
)

// fallLoadFactor is the factor by which callers raise their load meanwhile, so that hosts hold permits.
const fallLoadFactor = 12

// lowerAllLimits makes all endpoints that no other fault concerns name a limit that falls at all of them at once, and withdraws it.
func (s *soak) lowerAllLimits(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeEndpoints, scopeOverload)()
	var limited []*endpoint
	for _, e := range s.endpoints {
		if e.processMu.TryLock() { // otherwise another fault restarts it
			defer e.processMu.Unlock()
			limited = append(limited, e)
		}
	}
	if len(limited) < len(s.endpoints)/2 { // the same fault is under way
		return
	}
	s.loadFactor.set(fallLoadFactor)
	defer s.loadFactor.set(1)
	name := func(value string, perSecond float64, settle time.Duration) {
		for _, e := range limited {
			e.SetLimit(value)
			s.requests.endpointLimited(e.ID(), perSecond, settle, time.Now())
		}
	}
	name(strconv.Itoa(highLimit), highLimit, limitSettleTime)
	pause(ctx, limitSettleTime+randomDuration(rng))
	name(strconv.Itoa(lowLimit), lowLimit, fallSettleTime)
	pause(ctx, limitWindow+randomDuration(rng))
	name("", math.Inf(1), 0)
}

// endpointsOf returns the endpoints that now belong to a service.
func (s *soak) endpointsOf(service string) (list []*endpoint) {
	for _, e := range s.endpoints {
		if e.service == service {
			list = append(list, e)
		}
	}
	return list
}

// endpointLimited records that all responses of an endpoint name a limit from now on, which has to be kept after settle, or none if it is infinite.
func (l *requestLog) endpointLimited(endpoint string, perSecond float64, settle time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints.limits == nil {
		l.endpoints.limits = map[string][]limitSpan{}
	}
	spans := l.endpoints.limits[endpoint]
	if n := len(spans); n > 0 {
		spans[n-1].to = at
	}
	l.endpoints.limits[endpoint] = append(spans, limitSpan{perSecond: perSecond, from: at, settle: settle})
}

// auditLimits checks that endpoints get no more requests than the limits that they name allow, from all undisturbed hosts together.
func (s *soak) auditLimits(sent map[string]*request) {
	for id, spans := range s.requests.endpoints.limits {
		for _, span := range spans {
			if math.IsInf(span.perSecond, 1) {
				continue
			}
			var times []time.Time
			for _, a := range s.requests.arrivals {
				r := sent[a.ID]
				if a.Endpoint == id && r != nil && a.At.After(span.from.Add(span.settle)) && (span.to.IsZero() || a.At.Before(span.to)) &&
					s.timeline.undisturbed(r.host.scope(), a.At.Add(-limitWindow), a.At) {
					times = append(times, a.At)
				}
			}
			slices.SortFunc(times, time.Time.Compare)
			allowed := limitFactor*span.perSecond*limitWindow.Seconds() + limitAllowance
			most, until := 0, span.from
			for i, at := range times {
				if n := i + 1 - before(times, at.Add(-limitWindow)); n > most {
					most, until = n, at
				}
			}
			s.ledger.Check(limitsKept, float64(most) <= allowed, "endpoint %s got %d requests in %s until %.2f s; it names a limit of %v a second since %.2f s, which allows %.0f",
				id, most, limitWindow, until.Sub(s.startTime).Seconds(), span.perSecond, span.from.Sub(s.startTime).Seconds(), allowed)
		}
	}
}
