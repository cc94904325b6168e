package load

import (
	"slices"
	"time"
)

// Measures sums up one run, or the reference schedule of Bound, for one class or for all classes.
type Measures struct {
	Class    string
	Sent     int
	Answered int     // without a failure
	Good     int     // answered without a failure, within the deadline and before the end of the run's length
	Latency  Summary // of the requests that Answered counts
	Refused  map[string]int
	Unknown  int
	Failed   int // answered with a status of 500 or above
}

// AllClasses is the value of Measures.Class for the measures of all requests together.
const AllClasses = "all"

// Measure sums up a run, for all requests and for each class. The first element of the result is that of AllClasses. Responses
// after the length of the run do not count as good: otherwise the requests that are still queued at the last arrival would be
// counted as extra capacity.
func Measure(plan []Request, results []Result, length time.Duration) []Measures {
	groups := map[string]*Measures{}
	hists := map[string]*Histogram{}
	order := []string{AllClasses}
	for i := range plan {
		r, res := &plan[i], &results[i]
		class := r.Op.Class.String()
		if !slices.Contains(order, class) {
			order = append(order, class)
		}
		for _, name := range []string{AllClasses, class} {
			if groups[name] == nil {
				groups[name], hists[name] = &Measures{Class: name, Refused: map[string]int{}}, NewHistogram()
			}
			groups[name].add(r, res, hists[name], length)
		}
	}
	var out []Measures
	for _, name := range order {
		if m := groups[name]; m != nil {
			m.Latency = hists[name].Summary()
			out = append(out, *m)
		}
	}
	return out
}

func (m *Measures) add(r *Request, res *Result, h *Histogram, length time.Duration) {
	m.Sent++
	switch {
	case res.Answered && res.Failed:
		m.Failed++
	case res.Answered:
		m.Answered++
		h.Record(res.Latency)
		if res.Latency <= time.Duration(r.Op.DeadlineMS)*time.Millisecond && r.At+res.Latency <= length {
			m.Good++
		}
	case res.Ran == RanNo:
		m.Refused[res.Reason]++
	default:
		m.Unknown++
	}
}

// BoundResults converts the results of Bound into results of a run, so that Measure sums up both in the same way. networkTime is the
// time that each request spends on the network. It is added to each latency because no scheduler can avoid it.
func BoundResults(plan []Request, bound []BoundResult, networkTime time.Duration) []Result {
	out := make([]Result, len(plan))
	for i, b := range bound {
		if b.Refused {
			out[i] = Result{Outcome: Outcome{Ran: RanNo, Reason: "deadline_unreachable"}}
			continue
		}
		out[i] = Result{Outcome: Outcome{Answered: true, Ran: RanYes}, Latency: b.End - plan[i].At + networkTime}
	}
	return out
}

const (
	recoveryWindow   = 100 * time.Millisecond
	recoveryQuantile = 0.95
	// recoveryTolerance is the target for the tail latency of all requests in section 1.3 of the design. Without this factor, the
	// quantile of a window of a few hundred requests exceeds the normal tail latency by chance.
	recoveryTolerance = 1.25
)

// Recovery returns how long after the end of an event the tail latency returned to normal. Requests are grouped by their intended
// start into windows of 100 ms. A window is slow if its p95 is above 1.25 times the p99 of the requests before the event. The
// recovery time ends with the last slow window. The second result is false if the last whole window was still slow, or if no request
// came before the event. Requests that failed or got no response count with the length of the run as their latency.
func Recovery(plan []Request, results []Result, eventStart, eventEnd, length time.Duration) (time.Duration, bool) {
	var before []time.Duration
	windows := make([][]time.Duration, length/recoveryWindow)
	for i, r := range plan {
		latency := results[i].Latency
		if !results[i].Answered || results[i].Failed {
			latency = length
		}
		if r.At < eventStart {
			before = append(before, latency)
		}
		if w := int(r.At / recoveryWindow); w < len(windows) {
			windows[w] = append(windows[w], latency)
		}
	}
	if len(before) == 0 {
		return 0, false
	}
	normal := time.Duration(recoveryTolerance * float64(quantile(before, 0.99)))
	recovered := time.Duration(0)
	for w, latencies := range windows {
		end := time.Duration(w+1) * recoveryWindow
		if end > eventEnd && len(latencies) > 0 && quantile(latencies, recoveryQuantile) > normal {
			recovered = end - eventEnd
		}
	}
	return recovered, eventEnd+recovered < time.Duration(len(windows))*recoveryWindow
}
