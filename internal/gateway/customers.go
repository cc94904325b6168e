package gateway

import (
	"net/http"
	"strings"
	"sync"

	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/hop"
	"github.com/arbutusspan/arbutusspan/internal/state/customers"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// identity says whose request it is.
type identity struct {
	customer *customers.Customer // nil if it is not known, or the configuration has no customers
	key      string              // the key that the caller has sent
	refusal  *refusals.Refusal   // the request needs a key and has none that is known
	revoked  func() bool         // the key has been removed meanwhile; nil if the request needs none
}

// remedyKey tells callers what to do about a key that is not known.
const remedyKey = "ask the operator for a key of your own"

// identify returns the customer of a request on a route. values are the values of the header field that carries the key. A request with several of
// them has no known key, since hosts and endpoints could disagree about which of them counts.
func (g *Gateway) identify(table *routing.Table, route *routing.Route, values []string) (who identity) {
	if table.Customers == nil {
		return who
	}
	if len(values) == 1 {
		who.key = values[0]
		who.customer, _ = table.Customers.Lookup(who.key)
	}
	switch {
	case route.Public:
	case who.customer != nil:
		who.revoked = func() bool { return g.isRevoked(table, who) }
	case len(values) == 0:
		who.refusal = &refusals.Refusal{Reason: refusals.CredentialsMissing, Ran: refusals.RanNo, Operation: route.Name, Revision: table.Version,
			Detail: "the request has no " + g.adapter.Dialect.CustomerKey + " header", Remedy: "send a key of a customer in it, once"}
	default:
		who.refusal = &refusals.Refusal{Reason: refusals.CredentialsWrong, Ran: refusals.RanNo, Operation: route.Name, Revision: table.Version,
			Detail: "the key with the fingerprint " + customers.Fingerprint(strings.Join(values, ",")) + " is that of no customer of the configuration in force", Remedy: remedyKey}
	}
	return who
}

// identifyHop returns the customer of a request that came through another host. Hosts of earlier versions pass on the caller's header field as it is.
func (g *Gateway) identifyHop(table *routing.Table, route *routing.Route, h http.Header) identity {
	values := h[g.adapter.Dialect.CustomerKey]
	if key := hop.Key(h); key != "" {
		values = []string{key}
	}
	return g.identify(table, route, values)
}

// isRevoked reports whether the configuration in force, which may have replaced table, does not give the key to the customer any more.
func (g *Gateway) isRevoked(table *routing.Table, who identity) bool {
	current := g.routes.Load()
	if current == table || current.Customers == nil {
		return false
	}
	c, ok := current.Customers.Lookup(who.key)
	return !ok || c.Name != who.customer.Name
}

// addTo sets the fields of a call that depend on whose request it is.
func (who *identity) addTo(c *forward.Call) {
	c.CustomerPriority = c.Route.Priority
	c.Credential, c.Revoked = who.key, who.revoked
	if who.customer == nil {
		return
	}
	c.Customer = who.customer.Name
	if who.customer.HasPriority {
		c.CustomerPriority = who.customer.Priority
	}
}

// endpointHeader returns the header of a request to an endpoint: the end-to-end fields for which drop returns false, without the caller's key, and
// with the name of the customer in place of what the caller has sent.
func (g *Gateway) endpointHeader(table *routing.Table, h http.Header, who identity, drop func(name string) bool) http.Header {
	out := callerapi.EndToEndHeaders(h, drop)
	if table.Customers == nil {
		return out
	}
	d := &g.adapter.Dialect
	delete(out, d.CustomerKey)
	delete(out, d.Customer)
	if who.customer != nil {
		out[d.Customer] = []string{who.customer.Name}
	}
	return out
}

// checkRevoked changes the outcome of a request that was not run and whose key was removed meanwhile: a refusal that asks the caller to come back
// would be of no use.
func checkRevoked(c *forward.Call, res *forward.Result) {
	if res.Outcome.GuaranteesNotRun() && c.IsRevoked() {
		res.Outcome = forward.RefusedRevoked
	}
}

// withoutKey returns a text that may quote a malformed request, cut where it names the header field that carries keys.
func (g *Gateway) withoutKey(text string) string {
	name := g.adapter.Dialect.CustomerKey
	if name == "" {
		return text
	}
	if i := strings.Index(strings.ToLower(text), strings.ToLower(name)); i >= 0 {
		return text[:i] + name + " (left out)"
	}
	return text
}

// customerRefusals counts the refusals of this host by customer and reason.
type customerRefusals struct {
	mu     sync.Mutex
	counts map[string]map[refusals.Reason]int64
}

// countCustomerRefusal counts a refusal of a request whose customer is known.
func (g *Gateway) countCustomerRefusal(r *refusals.Refusal) {
	if r.Customer == "" {
		return
	}
	c := &g.customerRefusals
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]map[refusals.Reason]int64{}
	}
	if c.counts[r.Customer] == nil {
		c.counts[r.Customer] = map[refusals.Reason]int64{}
	}
	c.counts[r.Customer][r.Reason]++
}

// of returns a copy of a customer's counts.
func (c *customerRefusals) of(customer string) map[refusals.Reason]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[refusals.Reason]int64{}
	for reason, n := range c.counts[customer] {
		out[reason] = n
	}
	return out
}
