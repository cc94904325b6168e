package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

const (
	// maxRegressionTime is the time after the effect of a configuration was seen, after which requests of the same process must not be
	// handled by an older one.
	maxRegressionTime = 250 * time.Millisecond
	// publishTolerance is the uncertainty of the time at which a configuration was published.
	publishTolerance = 50 * time.Millisecond
)

// effect is a request whose handling shows which configurations may have been in force.
type effect struct {
	*request
	at             time.Time // when the effect was seen
	oldest, newest int       // first and last configuration that allow it, as indices of configHistory.list
}

// effectOf returns which of the configurations that were published by a time allow that requests of a route go to a service, or have no
// such route if the service is empty. It returns false if none does.
func (h *configHistory) effectOf(route, service string, at time.Time) (oldest, newest int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, c := range h.list {
		if c.at.After(at.Add(publishTolerance)) {
			break
		}
		if slices.Contains(c.services[route], service) || service == "" && c.services[route] == nil {
			if !ok {
				oldest, ok = i, true
			}
			newest = i
		}
	}
	return oldest, newest, ok
}

// auditVersions checks that no process handles a request as only an older configuration allows, after the effect of a newer one was seen.
func (s *soak) auditVersions(arrivals map[string][]platformtest.Arrival) {
	effects := map[*host][]effect{}
	add := func(r *request, service string, at time.Time) {
		oldest, newest, ok := s.configs.effectOf(r.route, service, at)
		if ok && !s.timeline.overlaps(r.host.restarts(), r.sent, at) {
			effects[r.host] = append(effects[r.host], effect{r, at, oldest, newest})
		}
	}
	for _, r := range s.requests.list {
		for _, a := range arrivals[r.id] {
			add(r, a.Service, a.At)
		}
		if r.outcome == answered && !r.signed && r.status == http.StatusNotFound {
			add(r, "", r.ended)
		}
	}
	for h, seen := range effects {
		s.auditHostVersions(h, seen)
	}
}

// auditHostVersions checks the effects that were seen of one host.
func (s *soak) auditHostVersions(h *host, seen []effect) {
	bySent := slices.Clone(seen)
	slices.SortFunc(seen, func(a, b effect) int { return a.at.Compare(b.at) })
	slices.SortFunc(bySent, func(a, b effect) int { return a.sent.Compare(b.sent) })
	process, version, next := 0, 0, 0
	var shown effect // shows that version was in force
	for _, e := range bySent {
		for ; next < len(seen) && seen[next].at.Add(maxRegressionTime).Before(e.sent); next++ {
			if p := s.timeline.begun(h.restarts(), seen[next].at); p != process {
				process, version = p, 0
			}
			if seen[next].oldest > version {
				version, shown = seen[next].oldest, seen[next]
			}
		}
		if s.timeline.begun(h.restarts(), e.sent) == process {
			s.ledger.Check(configNeverReverts, e.newest >= version, "%s, sent at %.2f s, was handled by configuration %d or an older one, but %s had shown %d %.2f s before",
				e.request, e.sent.Sub(s.startTime).Seconds(), e.newest, shown.request, version, e.sent.Sub(shown.at).Seconds())
		}
	}
}
