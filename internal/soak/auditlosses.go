package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Bounds of the checks in this file.
const (
	// readSlack is the time after which a host has read a request that was sent to it.
	readSlack = 200 * time.Millisecond
	// stopTail is the time after the grace time for which a stop may end requests.
	stopTail = time.Second
	// A request that was sent within acceptTime after SIGTERM may be cut if its endpoint was still at work in the last lastWorkShare of the
	// grace time.
	acceptTime    = 3 * time.Second
	lastWorkShare = 1.0 / 6
	// ownDeadlineSlack is the time before its deadline from which a host may answer a request in place of an endpoint.
	ownDeadlineSlack = 100 * time.Millisecond
)

// auditLoss checks that a request gets the whole response of its endpoint while there are planned faults only, in particular around stops.
// A request that did not reach an endpoint counts around stops if its host has read it: the host's log names it or, in timed runs, readSlack
// has passed. Stalls of this process delay what the relays deliver.
func (s *soak) auditLoss(r *request, arrivals []platformtest.Arrival, log string) {
	if !s.timeline.undisturbed(scopeNetwork, r.sent, r.ended) || r.outcome == cancelled {
		return
	}
	st := r.host.stopAt(r.ended)
	if st != nil && st.cut && !s.Timed {
		return // a machine without idle processors may keep a process from ending in time
	}
	excused := !r.ended.Before(r.sent.Add(r.deadline)) || s.endpointsBrokeOff(r, arrivals) || st != nil && s.workedUntilLast(r, st, arrivals)
	describe := func() string { return s.describeLoss(r, st, arrivals, log) }
	switch {
	case len(arrivals) > 0:
		s.ledger.Check(plannedLosesNone, excused || r.outcome != connClosed, "a forwarded request got no response: %s", lazy(describe))
		if st != nil {
			replaced := r.outcome == answered && !r.signed && r.status >= http.StatusInternalServerError && s.brokenOff(r, arrivals) && r.ended.Before(r.sent.Add(r.deadline-ownDeadlineSlack))
			s.ledger.Check(stoppedAnswersOwn, excused || !replaced, "the host answered while an endpoint worked on the request: %s", lazy(describe))
		}
	case st != nil && r.ahead == 0 && !r.unsent && (strings.Contains(log, r.id) || s.Timed && !s.timeline.overlaps(scopeStalls, r.sent, r.ended)):
		s.ledger.Check(readAnswered, excused || r.outcome != connClosed || r.ended.Sub(r.complete()) <= readSlack, "a request that was not forwarded got no response: %s", lazy(describe))
	}
}

// lazy is a function that is called when its result is formatted.
type lazy func() string

// String implements fmt.Stringer.
func (f lazy) String() string { return f() }

// stopAt returns the newest planned stop that may have ended a request at a time, or nil.
func (h *host) stopAt(at time.Time) *stop {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range slices.Backward(h.stops) {
		if !at.Before(s.at()) && !at.After(s.at().Add(gracePeriod+stopTail)) {
			return s
		}
	}
	return nil
}

// endpointsBrokeOff reports whether an endpoint to which a request was passed on was stopped before the request ended.
func (s *soak) endpointsBrokeOff(r *request, arrivals []platformtest.Arrival) bool {
	for _, a := range arrivals {
		if ended, ok := s.requests.endpoints.ended[a.Endpoint]; ok && !ended.After(r.ended) {
			return true
		}
	}
	return false
}

// workedUntilLast reports whether an endpoint was still at work on a request in the last part of the grace time of a stop, and the request
// was sent early enough for the host to accept it.
func (s *soak) workedUntilLast(r *request, st *stop, arrivals []platformtest.Arrival) bool {
	last := st.at().Add(time.Duration((1 - lastWorkShare) * float64(gracePeriod)))
	if r.complete().After(st.at().Add(acceptTime)) {
		return false
	}
	for _, a := range arrivals {
		if a.Ran && s.requests.completed[run{a.ID, a.Endpoint}].At.After(last) {
			return true
		}
	}
	return false
}

// brokenOff reports whether the host closed the connection to an endpoint that worked on a request.
func (s *soak) brokenOff(r *request, arrivals []platformtest.Arrival) bool {
	for _, a := range arrivals {
		if a.Ran && s.requests.completed[run{a.ID, a.Endpoint}].Aborted {
			return true
		}
	}
	return false
}

// describeLoss describes a lost request: its connection, the times relative to SIGTERM, and the lines of the host's log that name it.
func (s *soak) describeLoss(r *request, st *stop, arrivals []platformtest.Arrival, log string) string {
	base, name := s.startTime, "the start of the run"
	if st != nil {
		base, name = st.at(), "SIGTERM"
	}
	var b strings.Builder
	seconds := func(at time.Time) string { return fmt.Sprintf("%+.3f s", at.Sub(base).Seconds()) }
	fmt.Fprintf(&b, "%s of %s connection %d (%s away), %d ahead, relative to %s (%.2f s): sent %s, ended %s (%s), unread %t", r, r.kind, r.connection, s.callerDelay(r.host.index), r.ahead, name,
		base.Sub(s.startTime).Seconds(), seconds(r.sent), seconds(r.ended), r.failure, r.unread)
	for _, a := range arrivals {
		fmt.Fprintf(&b, "; at %s %s (ran %t)", a.Endpoint, seconds(a.At), a.Ran)
		if c, ok := s.requests.completed[run{a.ID, a.Endpoint}]; ok {
			fmt.Fprintf(&b, " until %s (aborted %t)", seconds(c.At), c.Aborted)
		}
	}
	if st != nil {
		for _, sig := range st.signals[1:] {
			fmt.Fprintf(&b, "; %s at %s", sig.name, seconds(sig.at))
		}
		fmt.Fprintf(&b, "; killed %t", st.cut)
		log = st.process.Log()
	}
	lines := 0
	for line := range strings.Lines(log) {
		if strings.Contains(line, r.id) || st != nil && strings.Contains(line, "msg=drain") {
			lines++
			fmt.Fprintf(&b, "\n      %s", strings.TrimSpace(line))
		}
	}
	if lines == 0 {
		b.WriteString("; no line in the log")
	}
	return b.String()
}
