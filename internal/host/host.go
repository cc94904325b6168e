package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/looplab/fsm"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/errtext"
	"github.com/arbutusspan/arbutusspan/internal/transport/framing"
	"github.com/arbutusspan/arbutusspan/internal/transport/frontend"
	"github.com/arbutusspan/arbutusspan/internal/transport/lingering"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
	"github.com/arbutusspan/arbutusspan/internal/transport/upstreamconn"
)

// Host is one running entry host.
type Host struct {
	settings    *Settings
	log         *log.Logger
	lifecycle   *fsm.FSM
	table       *endpoints.Table    // upstream endpoints
	follower    *configlog.Follower // contracts in force
	refusals    *refusals.Store
	metrics     *metrics.Registry
	started     time.Time
	customers   atomic.Pointer[frontend.Customers] // customers with their contracts in force
	pool        *upstreamconn.Pool                 // connections to upstreams
	keys        *keys.Table                        // idempotency keys of this host
	executor    *executor.Executor
	relayServer *wire.RelayServer // serves keyed requests that other entry hosts relay
	hostList    *platform.HostList
	callers     *http.Server    // on the caller port
	closing     lingering.Group // connections of callers that were closed
	operators   *http.Server    // on the operator port
	dispatch    *dispatchState
	member      membershipState
	drain       drainState
}

// Limits of the HTTP servers for callers and operators, of the stored refusals and of the requests for the host list.
const (
	readHeaderTimeout = 5 * time.Second  // limits clients that send headers slowly
	readTimeout       = 15 * time.Second // limits clients that send bodies slowly
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 16 << 10
	maxStoredRefusals = 16_384 // the newest ones, for operators

	// Each host fetches the host list once per hostListInterval if there are up to hostListFullRateHosts hosts. With more hosts, each
	// fetches it less often: what one host learns of leaving upstreams and of other hosts reaches all others by the membership
	// protocol. New endpoints, however, are learned only from the list itself, so no host waits longer than hostListMaxInterval.
	hostListInterval      = time.Second
	hostListFullRateHosts = 15
	hostListMaxInterval   = 3 * time.Second
	// hostListJitter is the fraction by which hosts randomly shorten a longer interval, so that they do not all fetch at the same time.
	hostListJitter = 0.1
)

// New returns a host with all its components. It starts nothing; Run does.
func New(s *Settings, logger *log.Logger) *Host {
	upstreams := upstreamconn.DefaultConfig()
	upstreams.Host = s.Host
	h := &Host{settings: s, log: logger, lifecycle: newLifecycle(logger), table: endpoints.NewTable(),
		refusals: refusals.NewStore(maxStoredRefusals), pool: upstreamconn.NewPool(upstreams),
		hostList: platform.NewHostList(s.HostListURL), metrics: metrics.New(), started: time.Now(),
		member: newMembershipState(time.Now()), drain: drainState{stopNow: make(chan struct{})}}
	h.table.OnLeaving(h.disseminateMark)
	h.hostList.OnInvalid = func(n int, first error) {
		h.log.Warn("host_list", "left_out", n, "error", errtext.Bound(first))
	}
	h.customers.Store(&frontend.Customers{})
	h.dispatch = newDispatch(s, h.table, h.pool, logger, h.dispatchMembers, h.peerAddress, func(host string) { h.member.node.Probe(host) })
	h.member.peers = h.dispatch.peers
	contracts := platform.NewLog(s.LogURL, configlog.Stream)
	h.registerTrafficMetrics(contracts)
	h.follower = newFollower(s, contracts, logger, configPeers{live: h.livePeers, call: h.dispatch.peers.Call}, h.applyState)
	h.executor = h.newExecutor(h.dispatch.granter, wire.RelayClient{Caller: relayCaller{h.dispatch.peers}})
	h.callers = newServer(h.trackRequests(frontend.New(frontend.Config{Host: s.Host, Customers: h.customers.Load,
		Executor: h.executor, Directory: h, Refusals: h.refusals, Admit: h.admit, MayBeCut: h.mayBeCut, Metrics: h.metrics})))
	h.callers.ConnContext = framing.ConnContext
	h.drain.requests, h.drain.cutRequests = context.WithCancelCause(context.Background())
	h.callers.BaseContext = func(net.Listener) context.Context { return h.drain.requests }
	view := operatorView{h}
	operators := admin.New(admin.Config{Operators: s.Operators, Follower: h.follower, LocalHost: view, PeerHosts: view, Metrics: h.metrics,
		Upstreams: h.upstreams, Members: h.members, Ready: func() bool { return h.lifecycle.Is(StateServing) }})
	h.operators = newServer(operators.Handler())
	h.registerPeerMethods(operators)
	return h
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Run serves until the context ends, then drains and stops.
func (h *Host) Run(ctx context.Context) error {
	callers, err := h.listen(h.settings.CallerPort)
	if err != nil {
		return err
	}
	operators, err := h.listen(h.settings.OperatorPort)
	if err != nil {
		return err
	}
	peers, err := h.listen(h.settings.PeerPort)
	if err != nil {
		return err
	}
	if err := h.listenGossip(); err != nil {
		return err
	}
	h.registerGauges()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return h.member.node.Run(running) })
	g.Go(func() error { h.logMembership(running); return nil })
	g.Go(func() error { return h.dispatch.run(running, peers) })
	g.Go(func() error { h.follower.Run(running); return nil })
	g.Go(func() error { h.followHostList(running); return nil })
	g.Go(func() error { h.sweep(running); return nil })
	g.Go(func() error { h.reportContact(running); return nil })
	g.Go(func() error { return ignoreClosed(h.callers.Serve(framing.NewListener(h.closing.Listener(callers)))) })
	g.Go(func() error { return ignoreClosed(h.operators.Serve(operators)) })
	if err := h.lifecycle.Event(running, eventListen); err != nil {
		return trace.Wrap(err)
	}
	h.catchUp(ctx)
	h.startServing(ctx)
	<-ctx.Done()
	err = h.stop()
	stop()
	err = errors.Join(err, g.Wait(), h.lifecycle.Event(context.Background(), eventStop))
	return trace.Wrap(err)
}

func (h *Host) listen(port int) (net.Listener, error) {
	address := net.JoinHostPort(h.settings.Address, strconv.Itoa(port))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s; stop the process that uses it or change the settings", address)
	}
	return l, nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// applyState derives customers and limits from a new state in force and puts them into use.
func (h *Host) applyState(s *configlog.State) {
	set := limits.Derive(s.Contracts())
	customers := &frontend.Customers{ByName: map[string]*frontend.Customer{}}
	for _, c := range s.Contracts() {
		customers.ByName[c.Customer] = &frontend.Customer{Contract: c, Revision: s.Entries[c.Customer].Revision, Limits: set}
	}
	h.customers.Store(customers)
	h.dispatch.setLimits(set)
	h.member.node.SetPosition(s.Position)
	h.log.Info("configuration", "next_offset", s.Position, "customers", len(customers.ByName))
}

// dump returns the state of the whole process without secrets, for operators.
func (h *Host) dump() any {
	return map[string]any{"status": operatorView{h}.Status(), "services": h.upstreams(), "dispatch": h.dispatch.dump(),
		"membership": h.members()}
}
