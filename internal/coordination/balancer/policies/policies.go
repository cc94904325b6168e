// Package policies creates the dispatch policies of package balancer by name. The policies enforce no limits and serve only
// for experiments.
package policies

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/leastoutstanding"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/loadexchange"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/loadreport"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/prequal"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/random"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/twochoices"
)

// Deps holds what policies need of the host that runs them.
type Deps struct {
	Self  string // name of this host
	Probe prequal.Probe
	// Hosts returns the names of the serving hosts.
	Hosts func() []string
	// CallHost calls an RPC method of another host.
	CallHost func(ctx context.Context, host, method string, in, out any) error
	// Decode decodes the body of an RPC.
	Decode func(body []byte, v any) error
}

// Policy is a Picker with the RPC handlers and the background task that it needs.
type Policy struct {
	Picker balancer.Picker
	// RPCHandlers serve RPCs of other hosts, by method.
	RPCHandlers map[string]func(ctx context.Context, from string, body []byte) (any, error)
	// Run is the background task. It returns when ctx is done. It may be nil.
	Run func(ctx context.Context)
}

// methodLoadExchange is the RPC method by which hosts send each other their counts.
const methodLoadExchange = "load_exchange"

// constructors maps the names of policies to their constructors.
var constructors = map[string]func(Deps) *Policy{
	"random":           func(Deps) *Policy { return &Policy{Picker: random.Picker{}} },
	"leastoutstanding": func(Deps) *Policy { return &Policy{Picker: &leastoutstanding.Picker{}} },
	"twochoices":       func(Deps) *Policy { return &Policy{Picker: &twochoices.Picker{}} },
	"loadreport":       func(Deps) *Policy { return &Policy{Picker: loadreport.New()} },
	"prequal":          func(d Deps) *Policy { return &Policy{Picker: prequal.New(d.Probe)} },
	"loadexchange":     newLoadExchange,
}

// Names returns the sorted names of all policies.
func Names() []string { return slices.Sorted(maps.Keys(constructors)) }

// New returns the policy with the given name.
func New(name string, d Deps) (*Policy, error) {
	construct := constructors[name]
	if construct == nil {
		return nil, trace.BadParameter("dispatch_policy is %q: use queue, or for experiments %s", name, strings.Join(Names(), ", "))
	}
	return construct(d), nil
}

func newLoadExchange(d Deps) *Policy {
	p := loadexchange.New()
	handle := func(_ context.Context, from string, body []byte) (any, error) {
		var counts []loadexchange.Count
		if err := d.Decode(body, &counts); err != nil {
			return nil, err
		}
		p.Receive(time.Now(), from, counts)
		return nil, nil
	}
	send := func(ctx context.Context, counts []loadexchange.Count) {
		for _, host := range d.Hosts() {
			if host == d.Self {
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, loadexchange.Interval*5)
				defer cancel()
				// The error is ignored because the next interval sends newer counts.
				_ = d.CallHost(ctx, host, methodLoadExchange, counts, nil)
			}()
		}
	}
	return &Policy{Picker: p, RPCHandlers: map[string]func(context.Context, string, []byte) (any, error){methodLoadExchange: handle},
		Run: func(ctx context.Context) { p.Run(ctx, send) }}
}
