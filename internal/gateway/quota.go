package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quota"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// quotaWait is how long a request waits for a permit. A coordinator answers within a few milliseconds. A host whose processor share is a quota may stand
// still for most of a tenth of a second, both before its message is sent and before the response is read.
const quotaWait = 200 * time.Millisecond

// newQuota returns the limiter of customers' requests, or nil if the settings do not ask for one.
func (g *Gateway) newQuota() *quota.Limiter {
	tolerance := g.settings.quotaTolerance()
	if tolerance.Window == 0 {
		return nil
	}
	return quota.New(quota.Config{Tolerance: tolerance, Host: g.settings.Host, Zone: g.settings.Zone, Limit: g.customerLimit, Limited: g.limitedCustomers,
		Lateness: &g.lateness, Hosts: g.peers.QuotaHosts, HostsVersion: g.peers.CoordinationVersion, LastMessage: g.peers.LastMessage, Quorum: g.peers.Quorum, QuorumWindow: g.peers.QuorumWindow, Send: g.sendQuota,
		OnEvent: func(event string, fields ...any) {
			g.metrics.Add(event+"_changes_total", 1)
			g.log.Info(event, fields...)
		}}, g.started)
}

// customerLimit returns the limit of a customer in the configuration in force. ok is false if the customer has none.
func (g *Gateway) customerLimit(name string) (l quota.Limit, ok bool) {
	t := g.routes.Load()
	if t == nil {
		return l, false
	}
	l.Version = t.Version
	c := t.Customers.Get(name)
	if c == nil || !c.Limited() {
		return l, false
	}
	l.PerSecond, l.Burst = c.RatePerSecond, c.Burst
	return l, true
}

// limitedCustomers returns the names of the customers with a limit in the configuration in force.
func (g *Gateway) limitedCustomers() []string {
	if t := g.routes.Load(); t != nil {
		return t.Customers.Limited()
	}
	return nil
}

// takePermit takes a permit for a request, or returns the refusal for one beyond the customer's limit. The permit is nil if the request needs none.
func (g *Gateway) takePermit(ctx context.Context, c *forward.Call, table *routing.Table) (*quota.Permit, *refusals.Refusal) {
	if c.Customer == "" || g.quota == nil {
		return nil, nil
	}
	if _, limited := g.customerLimit(c.Customer); !limited {
		return nil, nil
	}
	start := time.Now()
	left := max(0, c.Due.Sub(start)-c.AnswerDelay)
	result := g.quota.Acquire(ctx, c.Customer, g.forwarder.CanOnlyBeLate(c, start), min(quotaWait, left), min(2*quotaWait, left))
	g.metrics.Observe("quota_wait_duration", time.Since(start))
	l := result.Limit
	r := &refusals.Refusal{Ran: refusals.RanNo, Operation: c.Route.Name, Revision: table.Version, Customer: c.Customer, RetryAfter: result.RetryAfter,
		Limit: l.PerSecond, Unit: "requests/s", Remedy: "send the request again after the stated delay"}
	switch result.Outcome {
	case quota.Exceeded:
		r.Reason = refusals.RateExceeded
		r.Detail = fmt.Sprintf("the customer may send %g requests per second and %g more at once to all hosts together, and has used that up", l.PerSecond, l.Burst)
	case quota.Unavailable:
		r.Reason, r.Detail = refusals.QuotaUnavailable, "no host that divides the customer's limit has answered"
	default:
		return result.Permit, nil
	}
	return nil, r
}

// refundPermit returns the permit of a request that was not run.
func (g *Gateway) refundPermit(p *quota.Permit, res *forward.Result) {
	if p != nil && res.Outcome.GuaranteesNotRun() {
		g.metrics.Add("quota_refunds_total", 1)
		g.quota.Refund(p, time.Now())
	}
}

// maintainQuota maintains the permits of this host, and the buckets that it holds, until the context ends.
func (g *Gateway) maintainQuota(ctx context.Context) {
	for g.quota != nil && ctx.Err() == nil {
		next := g.quota.Tick(time.Now())
		if _, status := g.peers.Self(); !status.Coordinates && !status.Leaving && g.mayCoordinate() {
			g.updateStatus()
			g.requestHeartbeat()
		}
		g.lateness.Sleep(ctx, next)
	}
}

// mayCoordinate reports whether this host has been up for long enough to know the other hosts of its zone. With customers in force, it may do so earlier
// if it hears from at least half of the hosts that the store lists: after a restart of all hosts, requests of customers with a limit need a coordinator.
func (g *Gateway) mayCoordinate() bool {
	if time.Since(g.started) > coordinatorSettleTime {
		return true
	}
	return g.quota != nil && len(g.limitedCustomers()) > 0 && g.storedHosts.known() && g.peers.HasQuorum(time.Now())
}

// sendQuota sends requests for permits, or grants, to a host.
func (g *Gateway) sendQuota(address string, requests []quota.Request, grants []quota.Grant) {
	g.metrics.Add("quota_messages_sent_total", 1)
	g.send(peerlink.Message{QuotaRequests: requests, QuotaGrants: grants}, []string{address})
}

// handleQuota handles the requests for permits, and the grants, of a message.
func (g *Gateway) handleQuota(m *peerlink.Message, now time.Time) {
	if g.quota == nil || len(m.QuotaRequests)+len(m.QuotaGrants) == 0 {
		return
	}
	from := quota.Sender{Name: m.From.Name, Address: m.From.PeerAddress}
	g.metrics.Add("quota_requests_received_total", int64(len(m.QuotaRequests)))
	for _, r := range m.QuotaRequests {
		g.quota.HandleRequest(r, from, now)
	}
	for _, grant := range m.QuotaGrants {
		g.metrics.Add("quota_permits_received_total", int64(grant.Permits))
		g.quota.HandleGrant(grant, from, now)
	}
}

// CustomerDump is what this host knows of a customer. It contains no keys.
type CustomerDump struct {
	Name      string                    `json:"name"`
	Priority  *int                      `json:"priority,omitempty"` // absent if the customer states none
	PerSecond float64                   `json:"per_second"`         // limit; 0 if there is none
	Burst     float64                   `json:"burst"`
	Keys      []string                  `json:"keys"` // fingerprints
	Refusals  map[refusals.Reason]int64 `json:"refusals"`
	Quota     *quota.State              `json:"quota,omitempty"` // absent if the customer has no limit, or limits are not enforced
}

// customerDumps returns what this host knows of the customers of the configuration in force.
func (g *Gateway) customerDumps(now time.Time) []CustomerDump {
	list := []CustomerDump{}
	t := g.routes.Load()
	if t == nil {
		return list
	}
	for _, name := range t.Customers.Names() {
		c := t.Customers.Get(name)
		d := CustomerDump{Name: name, PerSecond: c.RatePerSecond, Burst: c.Burst, Keys: t.Customers.Fingerprints(name), Refusals: g.customerRefusals.of(name)}
		if c.HasPriority {
			d.Priority = &c.Priority
		}
		if g.quota != nil && c.Limited() {
			state := g.quota.State(name, now)
			d.Quota = &state
		}
		list = append(list, d)
	}
	return list
}
