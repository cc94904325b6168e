// Package routing holds the routes that operators have configured. A route defines to which services requests go, their timeout and
// whether they may be retried. A Table is immutable; each new configuration is a new Table.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/customers"
)

// Route is the rule for requests with one host name and path prefix.
type Route struct {
	Name          string
	Host          string            // compared without case and port
	Prefix        string            // path prefix; begins and ends with a slash. It is compared with the path of requests as NormalizePath returns both
	Idempotent    bool              // a request may run more than once
	Timeout       time.Duration     // until the response to the caller; 0 means that only the caller's own deadline applies
	TargetLatency time.Duration     // a response within this time has its full value to the caller; 0 if not stated
	Priority      int               // 0 is the most urgent
	MaxAttempts   int               // number of endpoints to which one request may be sent; at least 1
	Split         []WeightedService // at least one service
	Public        bool              // callers need no key
	match         string            // normalised prefix
}

// WeightedService is the part of a route's requests that goes to one service.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the other services of the route
}

// Service is the configuration of a service.
type Service struct {
	Name           string
	HealthPath     string // path at which an endpoint reports its load; empty if there is none
	MaxConnections int    // to one endpoint, summed over all hosts; 0 if not stated
	// ColdPerSecond is the number of requests per second that an endpoint takes from all hosts together while it is cold, for some time after its
	// start; 0 if it takes as many as later.
	ColdPerSecond float64
}

// Limits are the limits for the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	IdleTimeout    time.Duration // between two requests on a connection
}

// DefaultLimits holds the limits that apply until a configuration is known, and for the fields that it leaves out.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Config is a configuration from which New builds a Table.
type Config struct {
	Version  uint64 // increases with each change
	Routes   []Route
	Services []Service
	Limits   Limits
	// Customers lists the customers. If there are any, requests on routes that are not public need a key of one of them.
	Customers []customers.Entry
	// Faults lists entries of the configuration that are left out because they cannot be read.
	Faults []error `json:"-"`
}

// maxWeight bounds the weight of a service, so that sums of weights are finite.
const maxWeight = 1e12

// Table finds the route of a request in a validated Config.
type Table struct {
	Version uint64
	Limits  Limits
	// Customers finds customers by their keys. It is nil if the configuration has none.
	Customers *customers.Table
	routes    map[string][]*Route // by host, longest prefix first
	services  map[string]*Service
}

// New validates a configuration and returns its table. The error lists the invalid services, routes and customers. The table is returned also
// with an error: it then contains the valid routes.
func New(c Config) (*Table, error) {
	t := &Table{Version: c.Version, Limits: c.Limits.withDefaults(), routes: map[string][]*Route{}, services: map[string]*Service{}}
	errs := slices.Clone(c.Faults)
	var err error
	if t.Customers, err = customers.New(c.Customers); err != nil {
		errs = append(errs, err)
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			errs = append(errs, trace.BadParameter("services[%d]: the name is empty: name the service", i))
			continue
		}
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(t.services); err != nil {
			errs = append(errs, trace.Wrap(err, "route %q", r.Name))
			continue
		}
		r.Host, r.match = strings.ToLower(r.Host), NormalizePath(r.Prefix)
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.match), len(a.match)) })
	}
	return t, trace.NewAggregate(errs...)
}

func (l Limits) withDefaults() Limits {
	return Limits{MaxHeaderBytes: cmp.Or(max(l.MaxHeaderBytes, 0), DefaultLimits.MaxHeaderBytes), MaxBodyBytes: cmp.Or(max(l.MaxBodyBytes, 0), DefaultLimits.MaxBodyBytes),
		HeaderTimeout: cmp.Or(max(l.HeaderTimeout, 0), DefaultLimits.HeaderTimeout), IdleTimeout: cmp.Or(max(l.IdleTimeout, 0), DefaultLimits.IdleTimeout)}
}

func (r *Route) validate(services map[string]*Service) error {
	switch {
	case r.Host == "":
		return trace.BadParameter("the host is empty: name the host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("the path prefix is %q: begin and end it with a slash", r.Prefix)
	case r.MaxAttempts < 1:
		return trace.BadParameter("the maximum number of attempts is %d: use at least 1", r.MaxAttempts)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return trace.BadParameter("a time is negative: use 0 or more milliseconds")
	case len(r.Split) == 0:
		return trace.BadParameter("no service is named: name one, or a split with weights")
	}
	total := 0.0
	for _, s := range r.Split {
		if services[s.Service] == nil {
			return trace.BadParameter("service %q is not defined: add it to the services", s.Service)
		}
		if !(s.Weight >= 0 && s.Weight <= maxWeight) { // NaN compares false
			return trace.BadParameter("the weight of service %q is %g: use 0 or more, at most %g", s.Service, s.Weight, float64(maxWeight))
		}
		total += s.Weight
	}
	if total == 0 {
		return trace.BadParameter("all weights are 0: give one service a weight")
	}
	return nil
}

// Match returns the route for a request, or nil. path is the path as it was sent, in which only unreserved characters count as unescaped: an escaped
// slash does not separate segments.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	path = NormalizePath(path)
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.match) {
			return r
		}
	}
	return nil
}

// Service returns the configuration of a service, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}

// MaxTimeout returns the longest timeout of the routes. It takes unstated as the timeout of routes that state none.
func (t *Table) MaxTimeout(unstated time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, list := range t.routes {
		for _, r := range list {
			longest = max(longest, cmp.Or(r.Timeout, unstated))
		}
	}
	return longest
}

// GoesTo reports whether a part of the route's requests goes to a service.
func (r *Route) GoesTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// ServiceAt returns the service of the split that u selects. u is in [0, 1); the weights divide this range into one part per service.
func (r *Route) ServiceAt(u float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining, last := u*total, ""
	for _, s := range r.Split {
		if s.Weight == 0 {
			continue
		}
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
		last = s.Service
	}
	return last // the sum of fractions may be less than the total by a rounding error
}
