package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// maxDumped is the maximum length of each list in a dump.
const maxDumped = 200

// QueueDump is a consistent copy of one queue for operators. Its lists are limited to maxDumped entries; its counts include all of them.
type QueueDump struct {
	Service   string         `json:"service"`
	Part      string         `json:"part,omitempty"`
	Waiting   int            `json:"waiting"`
	Granted   int            `json:"granted"`
	MeanMS    float64        `json:"mean_service_ms"`
	Customers []CustomerDump `json:"customers"`
	Endpoints []EndpointDump `json:"endpoints"`
	Requests  []RequestDump  `json:"requests"`
}

// CustomerDump is the state of one customer in a queue.
type CustomerDump struct {
	Customer   string                `json:"customer"`
	Open       int                   `json:"open"`
	Concurrent int                   `json:"concurrent"`
	Tokens     float64               `json:"rate_tokens"`
	Waiting    [contract.Classes]int `json:"waiting_by_class"`
}

// EndpointDump is the owner's state of one endpoint.
type EndpointDump struct {
	endpoints.ID
	Open      int     `json:"open"`
	Slots     int     `json:"slots"`
	ServiceMS float64 `json:"service_ms"`
	Leaving   bool    `json:"leaving,omitempty"` // leaving, or no longer listed
	Ejected   bool    `json:"ejected,omitempty"`
	RetryInMS int64   `json:"retry_in_ms,omitempty"`
	Cold      bool    `json:"cold,omitempty"`
}

// RequestDump is one waiting or granted request.
type RequestDump struct {
	ID          string         `json:"id"`
	Executor    string         `json:"executor"`
	Customer    string         `json:"customer"`
	Class       contract.Class `json:"class"`
	RemainingMS int64          `json:"remaining_ms"`
	AgeMS       int64          `json:"age_ms"` // since the start of the wait, or of the grant once granted
	Endpoint    string         `json:"endpoint,omitempty"`
}

// Dump returns a copy of the queue's state. An inactive queue stays inactive.
func (q *Queue) Dump(now time.Time) QueueDump {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.customers == nil {
		q.activate(now)
		defer q.discardState()
	}
	out := QueueDump{Service: q.service, Waiting: q.waiting, Granted: len(q.entries) - q.waiting, MeanMS: q.meanServiceTime * 1000}
	if q.part.count() > 1 {
		out.Part = q.partText()
	}
	for c := range maps.Values(q.customers) {
		d := CustomerDump{Customer: c.name, Open: c.open, Concurrent: c.concurrent, Tokens: c.bucket.Tokens(now)}
		for i := range c.classes {
			d.Waiting[i] = len(c.classes[i].heap)
		}
		out.Customers = append(out.Customers, d)
	}
	for e := range maps.Values(q.endpoints) {
		d := EndpointDump{ID: e.ID, Open: len(e.open), Slots: e.slots, ServiceMS: e.serviceTime * 1000, Leaving: e.leaving || !e.listed,
			Ejected: e.ejected, Cold: e.responses < coldResponses}
		if e.ejected {
			d.RetryInMS = max(0, e.nextTrialAt.Sub(now).Milliseconds())
		}
		out.Endpoints = append(out.Endpoints, d)
	}
	for e := range maps.Values(q.entries) {
		if len(out.Requests) == maxDumped {
			break
		}
		d := RequestDump{ID: e.request.ID, Executor: e.Host, Customer: e.request.Customer, Class: e.request.Class,
			RemainingMS: e.request.Deadline.Sub(now).Milliseconds(), AgeMS: now.Sub(e.since).Milliseconds()}
		if e.endpoint != nil {
			d.Endpoint = e.endpoint.ID.String()
		}
		out.Requests = append(out.Requests, d)
	}
	out.Customers = sortAndLimit(out.Customers, func(c CustomerDump) string { return c.Customer })
	out.Endpoints = sortAndLimit(out.Endpoints, func(e EndpointDump) string { return e.Address + e.Incarnation })
	out.Requests = sortAndLimit(out.Requests, func(r RequestDump) string { return r.ID })
	return out
}

// sortAndLimit sorts a list by key and returns at most maxDumped entries.
func sortAndLimit[T any](list []T, key func(T) string) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return list[:min(len(list), maxDumped)]
}
