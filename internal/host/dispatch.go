package host

import (
	"context"
	"net"

	"github.com/charmbracelet/log"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/policies"
	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerrpc"
	"github.com/arbutusspan/arbutusspan/internal/transport/upstreamconn"
)

// PolicyQueue is the dispatch policy of docs/design.md, section 5.2: a queue for each service. The other policies exist for experiments.
const PolicyQueue = "queue"

// memberView returns the serving members, the number of known members, and a channel that is closed or receives a value when the
// membership changes.
type memberView func() (serving []dispatch.Member, known int, changed <-chan struct{})

// dispatchMembership implements dispatch.Membership with a memberView.
type dispatchMembership struct {
	self dispatch.Member
	view memberView
}

func (m dispatchMembership) Self() dispatch.Member { return m.self }

func (m dispatchMembership) Serving() []dispatch.Member {
	serving, _, _ := m.view()
	return serving
}

func (m dispatchMembership) KnownHosts() int {
	_, known, _ := m.view()
	return known
}

func (m dispatchMembership) Changed() <-chan struct{} {
	_, _, changed := m.view()
	return changed
}

// dispatchState holds the dispatch components of a Host and its connections to other hosts.
type dispatchState struct {
	granter dispatch.Granter
	router  *dispatch.Router // nil unless the policy is PolicyQueue
	peers   *peerrpc.Peers
	server  *peerrpc.Server
	policy  *policies.Policy // nil if the policy is PolicyQueue
}

// newDispatch returns the dispatch components for the configured policy. address returns the IP:port of a host's peer port.
// onUnresponsive is called for a host that may have failed.
func newDispatch(s *Settings, table *endpoints.Table, pool *upstreamconn.Pool, logger *log.Logger, view memberView, address func(host string) string, onUnresponsive func(host string)) *dispatchState {
	secret := []byte(s.ClusterSecret)
	d := &dispatchState{peers: peerrpc.NewPeers(s.Host, secret, address),
		server: peerrpc.NewServer(s.Host, secret, func(err error) { logger.Warn("peer_connection", "error", err) })}
	if s.DispatchPolicy != "" && s.DispatchPolicy != PolicyQueue {
		logger.Warn("dispatch_policy", "policy", s.DispatchPolicy, "remedy", "this policy enforces no limits; use it for experiments only")
		policy, err := policies.New(s.DispatchPolicy, policies.Deps{Self: s.Host, Probe: pool.Probe,
			Hosts: func() (hosts []string) {
				serving, _, _ := view()
				for _, m := range serving {
					hosts = append(hosts, m.Host)
				}
				return hosts
			},
			CallHost: d.peers.Call, Decode: wire.Unmarshal})
		if err != nil {
			panic(err) // Settings.Validate checked the name
		}
		d.policy, d.granter = policy, balancer.NewGranter(table, policy.Picker)
		for method, handler := range policy.RPCHandlers {
			d.server.Handle(method, handler)
		}
		return d
	}
	d.router = dispatch.NewRouter(dispatch.RouterConfig{Membership: dispatchMembership{dispatch.Member{Host: s.Host, Zone: s.Zone}, view},
		Endpoints: table, MarkLeaving: table.MarkLeaving, Dialer: peerrpc.Grants{Peers: d.peers}, Prefetch: s.Prefetch(),
		OnUnresponsive: onUnresponsive,
		OnTooManyHosts: func(service string, known int) {
			logger.Warn("probe_budget", "service", service, "hosts", known, "remedy", "raise entry_hosts_max in the contracts of the service")
		},
		Probe: func(ctx context.Context, e endpoints.Endpoint) error {
			_, err := pool.Probe(ctx, e)
			return err
		}})
	d.granter = d.router
	d.server.HandleStream(peerrpc.GrantHandler(d.router))
	return d
}

// setLimits applies the limits of a new configuration.
func (d *dispatchState) setLimits(set limits.Set) {
	if d.router != nil {
		d.router.SetLimits(set)
	}
}

// ejected returns the endpoints that the queues of this host have ejected.
func (d *dispatchState) ejected() map[endpoints.ID]bool {
	out := map[endpoints.ID]bool{}
	if d.router == nil {
		return out
	}
	for _, s := range d.router.Dump().Services {
		if s.Queue == nil {
			continue
		}
		for _, e := range s.Queue.Endpoints {
			if e.Ejected {
				out[e.ID] = true
			}
		}
	}
	return out
}

// dump returns the state of the queues for the state dump, or nil if the policy is not PolicyQueue.
func (d *dispatchState) dump() any {
	if d.router == nil {
		return nil
	}
	return d.router.Dump()
}

// run serves calls from other hosts on l until the context ends.
func (d *dispatchState) run(ctx context.Context, l net.Listener) error {
	if d.policy != nil && d.policy.Run != nil {
		go d.policy.Run(ctx)
	}
	err := d.server.Serve(ctx, l)
	if d.router != nil {
		d.router.Close()
	}
	d.peers.Close()
	return err
}
