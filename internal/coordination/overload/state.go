package overload

import (
	"fmt"
	"time"
)

// Explain returns a sentence with the figures that decided, for the caller of a refused request and for the log.
func (e *Estimate) Explain() string {
	switch e.Reason {
	case QueueLong:
		return fmt.Sprintf("%d requests are served before it, with %.1f s of work; %.1f s of work per second are left for them, so that it would begin in %d ms and has %d ms",
			e.Position, e.Ahead.Seconds(), e.perSecond(), e.Wait.Milliseconds(), e.TimeLeft.Milliseconds())
	case LateOnly:
		return fmt.Sprintf("the target latency has passed; of %.1f s of work per second, requests that can be in time leave %.1f s for %.1f s that wait, and it has %d ms",
			e.Capacity, max(0, e.Left), e.Ahead.Seconds(), e.TimeLeft.Milliseconds())
	}
	return "no endpoint is expected to answer in the time that is left"
}

// perSecond returns the work per second that decided: the customer's, if it has requests that are served before.
func (e *Estimate) perSecond() float64 {
	if e.Share > 0 {
		return min(e.Share, e.Left)
	}
	return e.Left
}

// State is what a queue knows, for operators. Amounts of work are in seconds.
type State struct {
	Service           string         `json:"service"`
	Waiting           int            `json:"waiting"`
	WaitingLate       int            `json:"waiting_late"` // those that can only be late
	Running           int            `json:"running"`      // requests of this host at endpoints
	CapacityPerSecond float64        `json:"capacity_per_s"`
	Stretch           float64        `json:"stretch"` // duration of requests as a multiple of their usual one
	Ranks             []RankState    `json:"ranks,omitempty"`
	Customers         map[string]int `json:"customers,omitempty"` // waiting requests by customer
}

// RankState is what a queue knows of the requests of one rank.
type RankState struct {
	CustomerPriority  int     `json:"customer_priority"`
	RoutePriority     int     `json:"route_priority"`
	ForOthers         bool    `json:"for_others,omitempty"` // other hosts got them from their callers
	Waiting           int     `json:"waiting"`
	ArrivalsPerSecond float64 `json:"arrivals_per_s"` // of requests that can be in time
	Served            float64 `json:"served"`         // share of the recent ones
	PromisedMS        int64   `json:"promised_ms"`    // until when capacity is promised to refused callers
}

// State returns what the queue knows.
func (q *Queue) State(service string, now time.Time) State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := State{Service: service, Waiting: q.count, Running: q.running, CapacityPerSecond: q.capacity(now), Stretch: q.stretch}
	for _, b := range q.bands {
		s.WaitingLate += b.late.count
		s.Ranks = append(s.Ranks, RankState{CustomerPriority: b.rank.customer, RoutePriority: b.rank.route, ForOthers: b.rank.guest, Waiting: b.inTime.count + b.late.count,
			ArrivalsPerSecond: b.arrivals.Rate(arrivalTime, now), Served: b.servedShare(now), PromisedMS: max(0, b.promised.Sub(now)).Milliseconds()})
		for name, share := range b.shares {
			if n := len(share.flows[0].waiters) + len(share.flows[1].waiters); n > 0 && name != "" {
				if s.Customers == nil {
					s.Customers = map[string]int{}
				}
				s.Customers[name] += n
			}
		}
	}
	return s
}
