package soak

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Names of the checks, in the order in which they are printed.
const (
	ownAnswers   = "whole and own answers"
	saysWhen     = "refusals say when to come back"
	properServed = "proper requests are not turned away"
	onlySent     = "endpoints run what was sent"
	atMostOnce   = "non-idempotent at most once"
	notRun       = "refused means not run"
	fewAttempts  = "attempts within the route's limit"
	deadlines    = "endpoints get what time is left"
	rightService = "requests go where routes say"
	staysUp      = "processes end when told to"
	explained    = "failures are in the log"
	returns      = "each host serves again"
	testRuns     = "the soak itself"

	fewRepeats   = "repeats within the budget (timed)"
	configured   = "configuration in force (timed)"
	drained      = "no requests for leaving (timed)"
	plannedStops = "planned work loses nothing (timed)"
	keptAnswers  = "calm hosts answer (timed)"
	answersLate  = "answers by the deadline (timed)"
	leftAlone    = "nothing runs for who left (timed)"
	stopsInTime  = "stops within the grace time (timed)"
	recovered    = "served after the faults (timed)"
)

var checkNames = []string{ownAnswers, saysWhen, properServed, onlySent, atMostOnce, notRun, fewAttempts, deadlines, rightService, staysUp, explained, returns, testRuns,
	fewRepeats, configured, drained, plannedStops, keptAnswers, answersLate, leftAlone, stopsInTime, recovered}

// Bounds of the checks in auditCounts.
const (
	// lateSlack is how long after its deadline a request may be without a response before it counts as late. The check fails if at
	// least 8 requests are late and these are more than a quarter of the requests that had no response by their deadline.
	lateSlack     = 500 * time.Millisecond
	fewLate       = 8
	lateShare     = 0.25
	fewLost       = 3 // lost requests of one host that are allowed
	fewAfterLeave = 3 // arrivals later than leaveSlack after the caller closed the connection that are allowed
	leaveSlack    = 500 * time.Millisecond
	servedShare   = 0.95 // minimum part of the requests of the fault-free period at the end that are served
)

// calmEnd is the scope of the fault-free period at the end.
const calmEnd = "calm end"

// checkRecovery checks that each host becomes ready again, and then waits for the fault-free period at the end.
func (s *soak) checkRecovery(ctx context.Context) {
	pause(ctx, settleTime)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range s.hosts {
		err := h.awaitReady(ctx)
		s.ledger.Check(returns, err == nil, "%s: %v", h.name, err)
	}
	end := s.calm.disturb(calmEnd)
	pause(ctx, calmTime)
	end()
}

// audit compares the responses that callers got with the requests that endpoints ran.
func (s *soak) audit() {
	s.requests.mu.Lock()
	defer s.requests.mu.Unlock()
	sent := map[string]*request{}
	for _, r := range s.requests.list {
		sent[r.id] = r
	}
	arrivals := map[string][]platformtest.Arrival{}
	for _, a := range s.requests.arrivals {
		r := sent[a.ID]
		s.ledger.Check(onlySent, r != nil && a.Method == r.method && a.Target == r.target && a.Body == r.digest, "%s got %s %s %q, which no caller sent like this", a.Endpoint, a.Method, a.Target, a.ID)
		if r == nil {
			continue
		}
		arrivals[a.ID] = append(arrivals[a.ID], a)
		s.auditArrival(r, a)
	}
	logs := map[*host]string{}
	for _, h := range s.hosts {
		for _, p := range h.all {
			logs[h] += p.Log()
		}
	}
	for _, r := range s.requests.list {
		s.ledger.Add("requests "+r.end, 1)
		s.auditRequest(r, arrivals[r.id], logs[r.host])
	}
	if s.Timed {
		s.auditRepeats(sent)
		s.auditCounts(arrivals)
	}
}

// auditArrival checks a request that reached an endpoint.
func (s *soak) auditArrival(r *request, a platformtest.Arrival) {
	most := float64(r.deadline.Milliseconds())
	s.ledger.Check(deadlines, a.DeadlineMS > 0 && a.DeadlineMS <= most, "%s of %s was forwarded with a deadline of %.0f ms, but its caller stated %.0f ms", r.id, r.host.name, a.DeadlineMS, most)
	if !a.Ran {
		return
	}
	s.ledger.Check(rightService, s.contract.allowed(r.route, a.At, false)[a.Service], "%s of %s ran at %s of service %s, to which no configuration routes it", r.id, r.host.name, a.Endpoint, a.Service)
	if !s.Timed {
		return
	}
	touch := s.calm.undisturbed(r.host.scope(), r.sent, a.At) && s.calm.undisturbed(scopeStore, r.sent, a.At)
	if touch {
		s.ledger.Check(configured, s.contract.allowed(r.route, r.sent, true)[a.Service], "%s of %s, sent at %.2f s, ran at service %s, to which only a superseded configuration routes it", r.id, r.host.name, r.sent.Sub(s.began).Seconds(), a.Service)
	}
	if since, ok := s.requests.fates.leaving[a.Endpoint]; ok && touch {
		s.ledger.Check(drained, a.At.Before(since.Add(drain)), "%s of %s reached endpoint %s %.2f s after the endpoint began to leave", r.id, r.host.name, a.Endpoint, a.At.Sub(since).Seconds())
	}
}

// auditRequest checks a request and its arrivals at endpoints. log is the log of the request's host.
func (s *soak) auditRequest(r *request, arrivals []platformtest.Arrival, log string) {
	runs := 0
	counted := 0 // runs at endpoints that were not killed
	for _, a := range arrivals {
		if a.Ran {
			runs++
			if !s.requests.fates.ended[a.Endpoint] {
				counted++
			}
		}
	}
	s.ledger.Check(fewAttempts, counted <= maxAttempts, "%s ran at %d endpoints", r, counted)
	if !r.idempotent {
		s.ledger.Check(atMostOnce, runs <= 1, "%s ran %d times", r, runs)
	}
	if r.end == answered && !r.signed {
		s.auditRefusal(r, runs, log)
	}
	planned := !s.calm.undisturbed("planned "+r.host.scope(), r.sent, r.ended) && s.calm.undisturbed(scopeNetwork, r.sent, r.ended)
	if s.Timed && planned && len(arrivals) > 0 {
		s.ledger.Check(plannedStops, r.end != closed || r.unread, "%s, sent at %.2f s, was forwarded but got no response", r, r.sent.Sub(s.began).Seconds())
	}
}

// auditRefusal checks a request that got an unsigned response, which comes from the host itself.
func (s *soak) auditRefusal(r *request, runs int, log string) {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !r.idempotent {
			s.ledger.Check(notRun, runs == 0, "%s ran %d times", r, runs)
		}
	default:
		proper := r.status >= http.StatusInternalServerError || strings.HasPrefix(r.route, "added-")
		s.ledger.Check(properServed, proper, "%s", r)
	}
	if len(r.host.cut) == 0 && !strings.Contains(log, "log_lines_left_out") {
		s.ledger.Check(explained, strings.Contains(log, r.id), "the log of the host has no entry for %s", r)
	}
}

// auditCounts runs the checks that allow a limited number of exceptions.
func (s *soak) auditCounts(arrivals map[string][]platformtest.Arrival) {
	lost := map[*host]int{}
	var lasting, late, calm, served, afterLeave int
	for _, r := range s.requests.list {
		touch := s.calm.undisturbed(r.host.scope(), r.sent, r.ended)
		if touch && s.calm.undisturbed(scopeEndpoints, r.sent, r.ended) && r.end == closed && !r.unread && len(arrivals[r.id]) > 0 {
			lost[r.host]++
		}
		if touch && r.end != left && (r.end != answered || r.ended.Sub(r.sent) > r.deadline) && !r.unread {
			lasting++
			if r.end == silent || r.ended.Sub(r.sent) > r.deadline+lateSlack {
				late++
			}
		}
		if touch && r.end == left && len(arrivals[r.id]) > 0 && arrivals[r.id][len(arrivals[r.id])-1].At.After(r.ended.Add(leaveSlack)) {
			afterLeave++
		}
		if r.calm && r.end != left && !r.unread {
			calm++
			if r.signed && r.status == http.StatusOK {
				served++
			}
		}
	}
	for _, h := range s.hosts {
		s.ledger.Check(keptAnswers, lost[h] <= fewLost, "%s closed the connections of %d requests that it had forwarded", h.name, lost[h])
	}
	s.ledger.Check(answersLate, late < fewLate || float64(late) <= lateShare*float64(lasting), "%d of %d requests without a response at their deadline had none %s later either", late, lasting, lateSlack)
	s.ledger.Check(leftAlone, afterLeave <= fewAfterLeave, "%d requests reached endpoints more than %s after their callers closed the connection", afterLeave, leaveSlack)
	s.ledger.Check(recovered, calm > 0 && float64(served) >= servedShare*float64(calm), "%d of %d requests were served after the faults", served, calm)
}

// auditRepeats checks that the repeats within each repeatWindow stay within the retry budget. Repeats are the arrivals of a request after
// its first one. The budget is computed from the largest number of requests in that window, half a window earlier and one window earlier.
func (s *soak) auditRepeats(sent map[string]*request) {
	for _, service := range services {
		var firsts, repeats []time.Time
		for _, r := range s.requests.list {
			if s.contract.allowed(r.route, r.sent, false)[service] {
				firsts = append(firsts, r.sent)
			}
		}
		seen := map[string]bool{}
		for _, a := range s.requests.arrivals {
			if sent[a.ID] == nil || a.Service != service {
				continue
			}
			if seen[a.ID] {
				repeats = append(repeats, a.At)
			}
			seen[a.ID] = true
		}
		slices.SortFunc(firsts, time.Time.Compare)
		slices.SortFunc(repeats, time.Time.Compare)
		for i, at := range repeats {
			from := at.Add(-repeatWindow)
			n := i + 1 - before(repeats, from)
			requests := 0
			for _, shift := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
				requests = max(requests, before(firsts, at.Add(-shift))-before(firsts, from.Add(-shift)))
			}
			allowed := repeatRatio*float64(requests) + repeatBurst
			s.ledger.Check(fewRepeats, float64(n) <= allowed, "%s got %d repeats within %s for %d requests; %.0f are allowed", service, n, repeatWindow, requests, allowed)
		}
	}
}

// before returns the number of the sorted times that are before a time.
func before(times []time.Time, at time.Time) int {
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	return i
}
