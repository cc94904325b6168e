package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// cluster is a set of routers that are connected by pipes in memory. It runs under synctest, so time is simulated.
type cluster struct {
	mu      sync.Mutex
	hosts   map[string]*testHost
	frozen  map[string]bool
	severed map[connDirection]bool
	drop    func(GrantMessage) bool // reports which messages are lost; set before the traffic that it affects
}

// connDirection names the host that opened a connection and the host that accepted it.
type connDirection struct{ from, to string }

type testHost struct {
	*cluster
	name    string
	table   *endpoints.Table
	serving []string
	changed chan struct{}
	router  *Router
	pipes   []*pipe
}

func (h *testHost) Self() Member    { return Member{Host: h.name} }
func (h *testHost) KnownHosts() int { return len(h.hosts) }
func (h *testHost) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *testHost) Serving() (out []Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range h.serving {
		out = append(out, Member{Host: name})
	}
	return out
}

// pipe is one end of a stream. A frozen host neither sends nor receives.
type pipe struct {
	h         *testHost
	direction connDirection
	in        <-chan GrantMessage
	out       chan<- GrantMessage
	closed    chan struct{}
	once      *sync.Once
}

func (p *pipe) wait() {
	for {
		p.h.mu.Lock()
		frozen := p.h.frozen[p.h.name]
		p.h.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (p *pipe) Send(m *GrantMessage) error {
	p.wait()
	if p.h.drop != nil && p.h.drop(*m) {
		return nil
	}
	select {
	case <-p.closed:
		return io.ErrClosedPipe
	case p.out <- *m:
		return nil
	}
}

func (p *pipe) Recv(m *GrantMessage) error {
	select {
	case <-p.closed:
		return io.EOF
	case *m = <-p.in:
		time.Sleep(time.Millisecond) // latency
		p.wait()
		return nil
	}
}

func (p *pipe) Close() { p.once.Do(func() { close(p.closed) }) }

func (h *testHost) Open(_ context.Context, host string) (GrantStream, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := connDirection{h.name, host}
	if h.severed[r] {
		return nil, io.ErrClosedPipe
	}
	to := h.hosts[host]
	a, b, closed, once := make(chan GrantMessage, 1000), make(chan GrantMessage, 1000), make(chan struct{}), &sync.Once{}
	mine, theirs := &pipe{h, r, a, b, closed, once}, &pipe{to, r, b, a, closed, once}
	h.pipes, to.pipes = append(h.pipes, mine), append(to.pipes, theirs)
	go to.router.ServeGrantStream(context.Background(), h.name, theirs)
	return mine, nil
}

// closeConnections closes all connections of a host.
func (h *testHost) closeConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pipes {
		p.Close()
	}
	h.pipes = nil
}

// sever closes the connections that one host opened to another, and refuses new ones until heal is called.
func (c *cluster) sever(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := connDirection{from, to}
	c.severed[r] = true
	for _, p := range c.hosts[from].pipes {
		if p.direction == r {
			p.Close()
		}
	}
}

// heal allows all connections again and ends all freezes.
func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.severed)
	clear(c.frozen)
}

func (c *cluster) freeze(name string, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen[name] = frozen
}

// view sets the serving hosts in the membership views of the named hosts.
func (c *cluster) view(serving []string, hosts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range hosts {
		h := c.hosts[name]
		h.serving = serving
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// newCluster returns the hosts and their names in rendezvous order: the first one owns service "s".
func newCluster(t *testing.T, list []endpoints.Endpoint, l *limits.ServiceLimits) (*cluster, []string) {
	c := &cluster{hosts: map[string]*testHost{}, frozen: map[string]bool{}, severed: map[connDirection]bool{}}
	names := rendezvous.Rank("s", []string{"h1", "h2", "h3"})
	for _, n := range names {
		c.hosts[n] = &testHost{cluster: c, name: n, table: endpoints.NewTable(), serving: names, changed: make(chan struct{})}
	}
	for _, h := range c.hosts {
		h.table.SetService("s", list)
		h.router = NewRouter(RouterConfig{Membership: h, Endpoints: h.table, MarkLeaving: h.table.MarkLeaving, Dialer: h, Prefetch: DefaultPrefetch})
		h.router.SetLimits(setOf(l))
	}
	time.Sleep(time.Minute) // buckets fill
	synctest.Wait()
	t.Cleanup(func() {
		c.heal()
		for _, h := range c.hosts {
			h.closeConnections()
			h.router.Close()
		}
		time.Sleep(time.Second) // all goroutines end
	})
	return c, names
}

func (h *testHost) acquire(deadline time.Duration) (Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return h.router.Acquire(ctx, Request{Customer: "a", Service: "s", Class: contract.Normal, Deadline: time.Now().Add(deadline)})
}

// granted returns the number of grants in the queue of a host as owner or acting owner.
func (h *testHost) granted() int { return h.router.service("s").ownerQueue.Dump(time.Now()).Granted }

// TestOwnerGrants guards against grants that are lost between hosts, are not released, or remain after the executor disconnected.
func TestOwnerGrants(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		owner, executor := c.hosts[names[0]], c.hosts[names[1]]
		g, err := executor.acquire(time.Second)
		is.NoErr(err)
		is.Equal(g.Owner, owner.name)
		_, err = executor.acquire(100 * time.Millisecond) // the only slot is taken
		is.True(err != nil)
		own := make(chan error)
		go func() { _, err := owner.acquire(time.Second); own <- err }()
		synctest.Wait()
		executor.router.Release(g, Outcome{ServiceTime: time.Millisecond, Leaving: false})
		is.NoErr(<-own)
		is.Equal(owner.granted(), 1)

		go func() { _, err := executor.acquire(10 * time.Second); own <- err }()
		time.Sleep(100 * time.Millisecond)
		executor.closeConnections()
		start := time.Now()
		is.NoErr(<-own)                                  // the executor is the standby and serves as acting owner
		is.Equal(time.Since(start), waitingTickInterval) // the wait for the first rate token
		is.Equal(executor.granted(), 1)
	})
}

// TestNoWait guards against a request with NoWait that waits at an owner on another host, is granted from this host's part after a
// denial by the owner, or receives the slot for which another request waits.
func TestNoWait(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(2, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		owner, executor := c.hosts[names[0]], c.hosts[names[1]]
		first, err := executor.acquire(time.Minute)
		is.NoErr(err)
		acquireNoWait := func() (Grant, error) {
			start := time.Now()
			g, err := executor.router.Acquire(context.Background(), Request{Customer: "a", Service: "s", Class: contract.Urgent, Idempotent: true,
				Attempt: 1, Deadline: start.Add(time.Minute), ExcludedEndpoints: []endpoints.ID{first.Endpoint.ID}, NoWait: true})
			is.Equal(time.Since(start), 2*time.Millisecond) // one round trip
			return g, err
		}
		hedge, err := acquireNoWait()
		is.NoErr(err)
		is.Equal(hedge.Owner, owner.name)
		is.True(hedge.Endpoint.ID != first.Endpoint.ID)
		_, err = acquireNoWait()
		var denied *DeniedError
		is.True(errors.As(err, &denied))
		is.Equal(owner.granted(), 2)

		own := make(chan error)
		go func() { _, err := owner.acquire(time.Minute); own <- err }()
		synctest.Wait()
		executor.router.Release(hedge, Outcome{Result: ResultCancelled})
		is.NoErr(<-own)
		_, err = acquireNoWait()
		is.True(errors.As(err, &denied))
		is.Equal(owner.granted(), 2)
	})
}

// TestExecutorGone guards against grants that remain at an owner after the executor disconnected, and against open grants that are not
// reported to the owner after the executor reconnected.
func TestExecutorGone(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		owner, executor := c.hosts[names[0]], c.hosts[names[1]]
		_, err := executor.acquire(time.Minute)
		is.NoErr(err)
		is.Equal(owner.granted(), 1)
		executor.closeConnections()
		time.Sleep(10 * time.Millisecond)
		is.Equal(owner.granted(), 0)
		time.Sleep(reconnectDelay)
		is.Equal(owner.granted(), 1)
	})
}

// TestFrozenOwner guards against requests that wait for an owner that does not respond, and against grants that such an owner issues
// later and that are not released.
func TestFrozenOwner(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(3, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		owner, executor := c.hosts[names[0]], c.hosts[names[1]]
		g, err := executor.acquire(time.Second)
		is.NoErr(err)
		executor.router.Release(g, Outcome{ServiceTime: time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		c.freeze(owner.name, true)
		// The first request waits until ackTimeout, and then for the first rate token of the acting owner; the second for neither.
		for _, within := range []time.Duration{ackTimeout + waitingTickInterval, 0} {
			start := time.Now()
			g, err = executor.acquire(time.Second)
			is.NoErr(err)
			is.Equal(g.Owner, executor.name)
			is.Equal(time.Since(start), within)
			executor.router.Release(g, Outcome{ServiceTime: time.Millisecond})
		}
		c.freeze(owner.name, false)
		time.Sleep(500 * time.Millisecond)
		is.Equal(owner.granted(), 0)
		g, err = executor.acquire(time.Second)
		is.NoErr(err)
		is.Equal(g.Owner, owner.name)
	})
}

// TestOwnerChange guards against a new owner that does not know the open grants, and against requests that continue to wait at the
// previous owner.
func TestOwnerChange(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		next, executor := c.hosts[names[1]], c.hosts[names[2]]
		g, err := executor.acquire(5 * time.Second)
		is.NoErr(err)
		type result struct {
			Grant
			error
		}
		waits := make(chan result, 2)
		for _, h := range []*testHost{executor, c.hosts[names[0]]} { // one from another host and one from the owner itself
			go func() { g, err := h.acquire(5 * time.Second); waits <- result{g, err} }()
		}
		time.Sleep(10 * time.Millisecond)
		c.view(names[1:], names[1:]...)
		time.Sleep(10 * time.Millisecond) // the report of open grants arrives before the request of another executor
		c.view(names[1:], names[0])
		time.Sleep(100 * time.Millisecond)
		is.Equal(next.granted(), 1)
		is.Equal(len(waits), 0)
		executor.router.Release(g, Outcome{ServiceTime: time.Millisecond})
		for range 2 {
			r := <-waits
			is.NoErr(r.error)
			is.Equal(r.Owner, next.name)
			executor.router.Release(r.Grant, Outcome{ServiceTime: time.Millisecond})
			c.hosts[names[0]].router.Release(r.Grant, Outcome{ServiceTime: time.Millisecond})
		}
	})
}

// TestLeavingFromOutcome guards against an owner that grants requests to an endpoint after an executor reported it as leaving.
func TestLeavingFromOutcome(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 2), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		g, err := c.hosts[names[1]].acquire(time.Second)
		is.NoErr(err)
		c.hosts[names[1]].router.Release(g, Outcome{Leaving: true, Result: ResultRefused})
		time.Sleep(10 * time.Millisecond)
		for _, n := range names[:2] {
			is.True(c.hosts[n].table.IsLeaving(g.Endpoint.ID))
			_, err = c.hosts[n].acquire(time.Second)
			var d *DeniedError
			is.True(errors.As(err, &d))
		}
	})
}

// TestRouterChaos guards against requests that never end, and against too many grants, while owners freeze, connections break and
// membership views differ. The bound: the queue of each of the n hosts, as owner or acting owner, grants at most the slots and the
// prefetch, and the parts of the fallback queues add up to the slots.
func TestRouterChaos(t *testing.T) {
	for seed := range uint64(20) {
		faketime.Test(t, func(t *testing.T) {
			const slots, count = 2, 3
			c, names := newCluster(t, endpointsOf(count, slots), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			open := map[endpoints.ID]int{}
			var requests sync.WaitGroup
			for range 400 {
				h := c.hosts[names[rng.IntN(3)]]
				work, deadline := time.Duration(1+rng.IntN(30))*time.Millisecond, time.Duration(1+rng.IntN(400))*time.Millisecond
				requests.Go(func() {
					g, err := h.acquire(deadline)
					if err != nil {
						return
					}
					mu.Lock()
					open[g.Endpoint.ID]++
					if n := open[g.Endpoint.ID]; n > 3*(slots+DefaultPrefetch)+slots {
						t.Errorf("seed %d: %d open grants at one endpoint", seed, n)
					}
					mu.Unlock()
					time.Sleep(work)
					mu.Lock()
					open[g.Endpoint.ID]--
					mu.Unlock()
					h.router.Release(g, Outcome{ServiceTime: work})
				})
				switch who := names[rng.IntN(3)]; rng.IntN(40) {
				case 0:
					c.freeze(who, true)
				case 1:
					for _, n := range names {
						c.freeze(n, false)
					}
				case 2:
					c.hosts[who].closeConnections()
				case 3:
					c.view(slices.DeleteFunc(slices.Clone(names), func(n string) bool { return rng.IntN(3) == 0 }), who)
				}
				time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
			}
			for _, n := range names {
				c.freeze(n, false)
			}
			requests.Wait()
			time.Sleep(300 * time.Millisecond) // less than grantExpiryDelay
			for _, h := range c.hosts {
				svc := h.router.service("s")
				for _, q := range []*Queue{svc.ownerQueue, svc.fallbackQueue} {
					if d := q.Dump(time.Now()); d.Waiting+d.Granted+len(svc.openGrants) > 0 {
						t.Errorf("seed %d: %s still has requests or grants: %+v", seed, h.name, d)
					}
				}
			}
		})
	}
}

// inactive reports which queues of service "s" are inactive.
func (h *testHost) inactive() (owned, fallback bool) {
	svc := h.router.service("s")
	isInactive := func(q *Queue) bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.customers == nil
	}
	return isInactive(svc.ownerQueue), isInactive(svc.fallbackQueue)
}

// TestUnusedQueuesBecomeInactive guards against active queues for services that a host does not own and for which it received no
// requests, against an owner's queue that remains active after the owner changed, and against one that discards its state while it has
// an open grant.
func TestUnusedQueuesBecomeInactive(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 2), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		for _, h := range c.hosts {
			owned, fallback := h.inactive()
			is.True(owned && fallback)
		}
		owner, executor := c.hosts[names[0]], c.hosts[names[1]]
		g, err := executor.acquire(time.Minute)
		is.NoErr(err)
		owned, _ := owner.inactive()
		is.True(!owned)
		c.view(names[1:], names...)
		time.Sleep(3 * idleCheckInterval)
		_, fallback := executor.inactive()
		is.True(fallback)
		is.Equal(owner.granted(), 1) // the former owner counts it until it ends
		is.Equal(executor.granted(), 1)
		owned, _ = owner.inactive()
		is.True(!owned)
		executor.router.Release(g, Outcome{Result: ResultCompleted})
		time.Sleep(3 * idleCheckInterval)
		owned, _ = owner.inactive()
		is.True(owned)
		is.Equal(executor.granted(), 0)
		owned, _ = executor.inactive()
		is.True(!owned) // it is the owner now
	})
}

// TestProbes guards against an endpoint that remains ejected because no request may be used as a trial, and against more probes than
// the budget allows.
func TestProbes(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(2, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		owner := c.hosts[names[0]]
		var probes atomic.Int64
		owner.router.cfg.Probe = func(context.Context, endpoints.Endpoint) error { probes.Add(1); return nil }
		strict, wide := limitsOf("a", unlimited, unlimited, 1000, 1, 1000), limitsOf("b", unlimited, unlimited, 1000, 1, 1000)
		strict.Probes = limits.ProbeBudget{PerHost: 0.5, Total: 0.6} // among 3 hosts: 0.2/s
		wide.Probes = strict.Probes                                  // limits.Derive gives the strictest budget to all customers
		owner.router.SetLimits(setOf(strict, wide))
		bad := ""
		for i := 0; i < 100 && owner.router.service("s").ownerQueue.Dump(time.Now()).ejected() == 0; i++ {
			g, err := owner.acquire(time.Second)
			is.NoErr(err)
			if bad == "" {
				bad = g.Endpoint.Address
			}
			o := Outcome{Result: ResultCompleted, ServiceTime: time.Millisecond}
			if g.Endpoint.Address == bad {
				o.Result = ResultServerError
			}
			owner.router.Release(g, o)
		}
		is.Equal(owner.router.service("s").ownerQueue.Dump(time.Now()).ejected(), 1)
		time.Sleep(10 * time.Second)
		is.True(probes.Load() <= 2) // 0.2/s from an empty bucket
		time.Sleep(10 * time.Second)
		is.Equal(owner.router.service("s").ownerQueue.Dump(time.Now()).ejected(), 0) // three probes succeeded
		is.Equal(probes.Load(), int64(trialsToReadmit))
	})
}

func (d QueueDump) ejected() (n int) {
	for _, e := range d.Endpoints {
		if e.Ejected {
			n++
		}
	}
	return n
}
