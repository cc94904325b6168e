package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Names of the checks, in the order in which they are printed.
const (
	ownResponses         = "whole and own answers"
	retryAfterGiven      = "refusals say when to come back"
	validServed          = "proper requests are not turned away"
	onlySentRequests     = "endpoints run what was sent"
	atMostOnce           = "non-idempotent at most once"
	refusedNotRun        = "refused means not run"
	attemptLimit         = "attempts within the route's limit"
	remainingDeadline    = "endpoints get what time is left"
	routedService        = "requests go where routes say"
	expectedExits        = "processes end when told to"
	failuresLogged       = "failures are in the log"
	hostsRecover         = "each host serves again"
	configNeverReverts   = "no older configuration after a newer"
	testInfrastructure   = "the soak itself"
	plannedLosesNone     = "planned work loses nothing"
	stoppedAnswersOwn    = "planned work replaces no answers"
	readAnswered         = "requests that were read are answered"
	properNotQuarantined = "proper requests are not quarantined"

	repeatBudget        = "repeats within the budget (timed)"
	configInForce       = "configuration in force (timed)"
	noneAfterDrain      = "no requests for leaving (timed)"
	undisturbedAnswered = "calm hosts answer (timed)"
	answersInTime       = "answers by the deadline (timed)"
	noneAfterCancel     = "nothing runs for who left (timed)"
	stopsInTime         = "stops within the grace time (timed)"
	servedAtEnd         = "served after the faults (timed)"

	noneAfterStatedLeaving = "none after leaving was passed on (timed)"
	noneAfterKnown         = "none for who has left (timed)"
	rejectionsObserved     = "rejections with a delay are observed (timed)"
	crashesStopped         = "requests that end endpoints are stopped (timed)"
	limitsKept             = "limits of endpoints are kept (timed)"
	partitionedServe       = "hosts without a way to endpoints serve (timed)"
	servedAfterPowerLoss   = "served after the loss of power (timed)"
)

var checkNames = []string{ownResponses, retryAfterGiven, validServed, onlySentRequests, atMostOnce, refusedNotRun, attemptLimit, remainingDeadline, routedService, expectedExits, failuresLogged, hostsRecover, configNeverReverts, testInfrastructure, plannedLosesNone, stoppedAnswersOwn, readAnswered, properNotQuarantined,
	repeatBudget, configInForce, noneAfterDrain, undisturbedAnswered, answersInTime, noneAfterCancel, stopsInTime, servedAtEnd,
	noneAfterStatedLeaving, noneAfterKnown, rejectionsObserved, limitsKept, crashesStopped, partitionedServe, servedAfterPowerLoss}

// Bounds of the checks in auditCounts.
const (
	// lateSlack is how long after its deadline a request may be without a response before it counts as late. The check fails if at
	// least 8 requests are late and these are more than a quarter of the requests that had no response by their deadline.
	lateSlack       = 500 * time.Millisecond
	minLateRequests = 8
	maxLateShare    = 0.25
	maxLostRequests = 3 // lost requests of one host that are allowed
	maxAfterCancel  = 3 // arrivals later than cancelSlack after the caller closed the connection that are allowed
	cancelSlack     = 500 * time.Millisecond
	minServedShare  = 0.95 // minimum part of the requests of the fault-free period at the end that are served
)

// scopeFaultFree is the scope of the fault-free period at the end.
const scopeFaultFree = "fault-free end"

// checkRecovery checks that each host becomes ready again, and then waits for the fault-free period at the end.
func (s *soak) checkRecovery(ctx context.Context) {
	pause(ctx, settleTime)
	s.checkReady(ctx)
	end := s.timeline.begin(scopeFaultFree)
	pause(ctx, faultFreeTime)
	end()
	pause(ctx, routeTimeout) // the last requests of the period end before the next fault
}

// checkReady checks that each host becomes ready.
func (s *soak) checkReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range s.hosts {
		err := h.awaitReady(ctx)
		s.ledger.Check(hostsRecover, err == nil, "%s: %v", h.name, err)
	}
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
		s.ledger.Check(onlySentRequests, r != nil && a.Method == r.method && a.Target == r.target && a.Body == r.digest, "%s got %s %s %q, which no caller sent like this", a.Endpoint, a.Method, a.Target, a.ID)
		if r == nil {
			continue
		}
		arrivals[a.ID] = append(arrivals[a.ID], a)
		s.auditArrival(r, a)
	}
	logs := map[*host]string{}
	for _, h := range s.hosts {
		for _, p := range h.processes {
			logs[h] += p.Log()
		}
	}
	for _, r := range s.requests.list {
		s.ledger.Add("requests "+r.outcome, 1)
		s.auditRequest(r, arrivals[r.id], logs[r.host])
	}
	s.auditVersions(arrivals)
	s.auditQuarantine(sent, logs)
	if s.Timed {
		s.auditResponses(sent)
		s.auditRecovery()
		s.auditRepeats(sent)
		s.auditLimits(sent)
		s.auditCrashes(sent)
		s.auditPartitions()
		s.auditCounts(arrivals)
	}
}

// auditArrival checks a request that reached an endpoint.
func (s *soak) auditArrival(r *request, a platformtest.Arrival) {
	most := float64(r.deadline.Milliseconds())
	s.ledger.Check(remainingDeadline, a.DeadlineMS > 0 && a.DeadlineMS <= most, "%s of %s was forwarded with a deadline of %.0f ms, but its caller stated %.0f ms", r.id, r.host.name, a.DeadlineMS, most)
	if !a.Ran {
		return
	}
	s.ledger.Check(routedService, s.configs.allowedServices(r.route, a.At, false)[a.Service], "%s of %s ran at %s of service %s, to which no configuration routes it", r.id, r.host.name, a.Endpoint, a.Service)
	if !s.Timed {
		return
	}
	connected := s.timeline.undisturbed(r.host.scope(), r.sent, a.At) && s.timeline.undisturbed(scopeStore, r.sent, a.At)
	if connected {
		s.ledger.Check(configInForce, s.configs.allowedServices(r.route, r.sent, true)[a.Service], "%s of %s, sent at %.2f s, ran at service %s, to which only a superseded configuration routes it", r.id, r.host.name, r.sent.Sub(s.startTime).Seconds(), a.Service)
	}
	if since, ok := s.requests.endpoints.leaving[a.Endpoint]; ok && connected {
		s.ledger.Check(noneAfterDrain, a.At.Before(since.Add(drainTime)), "%s of %s reached endpoint %s %.2f s after the endpoint began to leave", r.id, r.host.name, a.Endpoint, a.At.Sub(since).Seconds())
	}
}

// auditRequest checks a request and its arrivals at endpoints. log is the log of the request's host.
func (s *soak) auditRequest(r *request, arrivals []platformtest.Arrival, log string) {
	runs := 0
	counted := 0 // runs at endpoints that were not killed
	for _, a := range arrivals {
		if a.Ran {
			runs++
			if !s.requests.endpoints.killed[a.Endpoint] {
				counted++
			}
		}
	}
	s.ledger.Check(attemptLimit, counted <= maxAttempts, "%s ran at %d endpoints", r, counted)
	if !r.idempotent {
		s.ledger.Check(atMostOnce, runs <= 1, "%s ran %d times", r, runs)
	}
	if r.outcome == answered && !r.signed {
		s.auditRefusal(r, runs, log)
	}
	s.auditLoss(r, arrivals, log)
}

// auditRefusal checks a request that got an unsigned response, which comes from the host itself.
func (s *soak) auditRefusal(r *request, runs int, log string) {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !r.idempotent {
			s.ledger.Check(refusedNotRun, runs == 0, "%s ran %d times", r, runs)
		}
	default:
		proper := r.status >= http.StatusInternalServerError || strings.HasPrefix(r.route, "added-")
		s.ledger.Check(validServed, proper, "%s", r)
		if s.Timed && r.status == http.StatusNotFound && s.timeline.undisturbed(r.host.scope(), r.sent, r.ended) && s.timeline.undisturbed(scopeStore, r.sent, r.ended) {
			s.ledger.Check(configInForce, !s.configs.routeInForce(r.route, r.sent, r.ended), "%s, sent at %.2f s, was refused as unknown", r, r.sent.Sub(s.startTime).Seconds())
		}
	}
	if len(r.host.killed) == 0 && !strings.Contains(log, "log_lines_left_out") {
		s.ledger.Check(failuresLogged, strings.Contains(log, r.id), "the log of the host has no entry for %s", r)
	}
}

// auditCounts runs the checks that allow a limited number of exceptions.
func (s *soak) auditCounts(arrivals map[string][]platformtest.Arrival) {
	lost := map[*host]int{}
	var overdue, late, calm, served, afterLeave int
	unserved := map[string]int{}
	var examples []string // late requests
	for _, r := range s.requests.list {
		touch := s.timeline.undisturbed(r.host.scope(), r.sent, r.ended)
		if touch && s.timeline.undisturbed(scopeEndpoints, r.sent, r.ended) && r.outcome == connClosed && !r.unread && len(arrivals[r.id]) > 0 {
			lost[r.host]++
		}
		if touch && r.outcome != cancelled && (r.outcome != answered || r.ended.Sub(r.sent) > r.deadline) && !r.unread {
			overdue++
			if r.outcome == timedOut || r.ended.Sub(r.sent) > r.deadline+lateSlack {
				late++
				examples = append(examples, fmt.Sprintf("%s sent at %.2f s", r, r.sent.Sub(s.startTime).Seconds()))
			}
		}
		if touch && r.outcome == cancelled && len(arrivals[r.id]) > 0 && arrivals[r.id][len(arrivals[r.id])-1].At.After(r.ended.Add(cancelSlack)) {
			afterLeave++
		}
		if r.faultFree && r.outcome != cancelled && !r.unread {
			calm++
			if r.served() {
				served++
			} else {
				unserved[r.result()]++
			}
		}
	}
	for _, h := range s.hosts {
		s.ledger.Check(undisturbedAnswered, lost[h] <= maxLostRequests, "%s closed the connections of %d requests that it had forwarded", h.name, lost[h])
	}
	s.ledger.Check(answersInTime, late < minLateRequests || float64(late) <= maxLateShare*float64(overdue), "%d of %d requests without a response at their deadline had none %s later either: %v", late, overdue, lateSlack, examples)
	s.ledger.Check(noneAfterCancel, afterLeave <= maxAfterCancel, "%d requests reached endpoints more than %s after their callers closed the connection", afterLeave, cancelSlack)
	s.ledger.Check(servedAtEnd, calm > 0 && float64(served) >= minServedShare*float64(calm), "%d of %d requests were served after the faults, the others: %v", served, calm, unserved)
}

// auditRepeats checks that the repeats within each repeatWindow stay within the retry budget. Repeats are the arrivals of a request after
// its first one. The budget is computed from the largest number of requests in that window, half a window earlier and one window earlier.
func (s *soak) auditRepeats(sent map[string]*request) {
	for _, service := range services {
		var firsts, repeats []time.Time
		for _, r := range s.requests.list {
			if s.configs.allowedServices(r.route, r.sent, false)[service] {
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
			s.ledger.Check(repeatBudget, float64(n) <= allowed, "%s got %d repeats within %s for %d requests; %.0f are allowed", service, n, repeatWindow, requests, allowed)
		}
	}
}

// before returns the number of the sorted times that are before a time.
func before(times []time.Time, at time.Time) int {
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	return i
}
