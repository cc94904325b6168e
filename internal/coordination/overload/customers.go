package overload

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/decay"
)

const (
	// usualTime is the time constant of a customer's usual traffic.
	usualTime = time.Minute
	// learningTime is how long the traffic of a new customer counts whole. Afterwards at most usualGrowth times its usual traffic counts, with a burst
	// of usualBurst, so that a customer which sends many times its usual traffic for a while does not gain weight by that.
	learningTime = 10 * time.Second
	usualGrowth  = 1.5
	usualBurst   = 2 * time.Second
	// minWeight is the least weight of a customer, as a multiple of the mean.
	minWeight = 0.5
	// sweepInterval is the interval at which customers without traffic are removed, and idleTime how long a customer stays without any.
	sweepInterval = time.Minute
	idleTime      = 5 * time.Minute
)

// customer is what a queue knows of a customer's traffic.
type customer struct {
	all    *customers
	usual  decay.Meter // work
	credit float64     // work that counts now, in seconds of work
	// weight is the usual traffic as a multiple of the mean, within bounds, as of the last arrival; 0 before the first one. A new customer has at most
	// the mean.
	weight float64
	since  time.Time
}

// customers are those that have sent requests for a service.
type customers struct {
	byName  map[string]*customer
	total   decay.Meter // of the usual traffic of all
	sweptAt time.Time
}

// get returns a customer, and adds it if it is new. All requests without one count as those of one customer; it returns nil for them if no customer
// is known, as in deployments without customers.
func (c *customers) get(name string, now time.Time) *customer {
	if name == "" && len(c.byName) == 0 {
		return nil
	}
	known := c.byName[name]
	if known == nil {
		if c.byName == nil {
			c.byName = map[string]*customer{}
		}
		known = &customer{all: c, since: now}
		c.byName[name] = known
	}
	return known
}

// arrived records the work of a request that has arrived.
func (c *customer) arrived(work time.Duration, now time.Time) {
	seconds := work.Seconds()
	if now.Sub(c.since) > learningTime {
		rate := c.rate(now)
		c.credit = min(usualGrowth*rate*usualBurst.Seconds(), c.credit+usualGrowth*rate*max(0, now.Sub(c.usual.At)).Seconds())
		seconds = min(seconds, max(0, c.credit))
		c.credit -= seconds
	}
	c.usual.Add(seconds, usualTime, now)
	c.all.total.Add(seconds, usualTime, now)
	c.updateWeight(now)
}

// rate returns the usual work per second. Until the customer has been known for usualTime, it is the mean since then.
func (c *customer) rate(now time.Time) float64 {
	known := max(time.Second, min(usualTime, now.Sub(c.since)))
	return c.usual.Value(usualTime, now) / known.Seconds()
}

// updateWeight updates the weight after an arrival.
func (c *customer) updateWeight(now time.Time) {
	mean := c.all.total.Sum / float64(len(c.all.byName))
	if mean <= 0 {
		return
	}
	c.weight = c.usual.Sum / mean
	if now.Sub(c.since) < learningTime {
		c.weight = min(c.weight, 1)
	}
	c.weight = max(c.weight, minWeight)
}

// weight returns the weight of a share.
func (s *share) weight() float64 {
	if s.customer == nil || s.customer.weight == 0 {
		return 1
	}
	return s.customer.weight
}

// sweep removes customers that have sent nothing for idleTime, at most once in sweepInterval. q.mu must be held.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.customers.sweptAt) < sweepInterval {
		return
	}
	q.customers.sweptAt = now
	for name, c := range q.customers.byName {
		if now.Sub(c.usual.At) > idleTime {
			delete(q.customers.byName, name)
		}
	}
	for _, b := range q.bands {
		for name, s := range b.shares {
			if s.idle() && (s.tag <= b.virtual || now.Sub(s.arrivals.At) > idleTime) {
				delete(b.shares, name)
			}
		}
	}
}

// idle reports whether no request of the customer waits in the band.
func (s *share) idle() bool { return s.flows[0].index < 0 && s.flows[1].index < 0 }
