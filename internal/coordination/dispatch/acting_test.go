package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Failures by which executors lose their owner.
const (
	broken  = iota // the open connection breaks and new ones are refused
	refused        // connections are refused from the beginning
	frozen         // the owner neither sends nor receives
	failureKinds
)

// failOwner makes the owner unreachable for the other hosts.
func (c *cluster) failOwner(kind int, names []string) {
	for _, n := range names[1:] {
		switch kind {
		case broken:
			if _, err := c.hosts[n].acquire(time.Millisecond); err == nil {
				panic("granted within less than a round trip")
			}
			c.sever(n, names[0])
		case refused:
			c.sever(n, names[0])
		case frozen:
			c.freeze(names[0], true)
		}
	}
}

// disableActing makes the executors use their own parts at once, without asking the standby to serve as acting owner.
func (c *cluster) disableActing() {
	for _, h := range c.hosts {
		svc := h.router.service("s")
		svc.mu.Lock()
		svc.notOwnerUntil = time.Now().Add(time.Hour)
		svc.mu.Unlock()
	}
}

// burst requests n grants at the same time at a host and counts those that arrive within a deadline, by owner.
func (h *testHost) burst(n int, deadline time.Duration) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	owners := map[string]int{}
	for range n {
		wg.Go(func() {
			if g, err := h.acquire(deadline); err == nil {
				mu.Lock()
				owners[g.Owner]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return owners
}

// TestActingOwner guards against executors that receive only their own part of the slots while the owner is unreachable, although the
// standby could serve as acting owner. It compares with the same cluster without an acting owner.
func TestActingOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.IntRange(0, failureKinds-1).Draw(rt, "kind")
		slots := rapid.IntRange(2, 12).Draw(rt, "slots")
		executor := rapid.IntRange(1, 2).Draw(rt, "executor")
		standbyLost := executor == 2 && rapid.Bool().Draw(rt, "standby lost too")
		var acting, withoutActing map[string]int
		var names []string
		for _, actingDisabled := range []bool{false, true} {
			faketime.Test(t, func(t *testing.T) {
				var c *cluster
				c, names = newCluster(t, endpointsOf(slots, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
				c.failOwner(kind, names)
				if standbyLost {
					c.freeze(names[1], true)
				}
				if actingDisabled {
					c.disableActing()
				}
				got := c.hosts[names[executor]].burst(slots, 2*ackTimeout+20*time.Millisecond)
				if actingDisabled {
					withoutActing = got
				} else {
					acting = got
				}
			})
		}
		part := slots / 3
		if slots%3 > executor {
			part++
		}
		if withoutActing[names[executor]] != part {
			rt.Fatalf("grants without an acting owner: %v, want %d from the executor's part", withoutActing, part)
		}
		switch {
		case standbyLost && acting[names[executor]] != part:
			rt.Fatalf("grants: %v, want %d from the part of %s", acting, part, names[executor])
		case !standbyLost && acting[names[1]] != slots:
			rt.Fatalf("grants: %v, want %d from %s", acting, slots, names[1])
		}
	})
}

// TestActingUrgentFirst guards against grants in the order of hosts instead of classes while the owner is unreachable.
func TestActingUrgentFirst(t *testing.T) {
	type requestSpec struct {
		host  int
		class contract.Class
	}
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.IntRange(0, failureKinds-1).Draw(rt, "kind")
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) requestSpec {
			return requestSpec{rapid.IntRange(1, 2).Draw(t, "host"), contract.Class(rapid.IntRange(0, contract.Classes-1).Draw(t, "class"))}
		}), 1, 12).Draw(rt, "requests")
		var order []contract.Class
		faketime.Test(t, func(t *testing.T) {
			c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
			c.failOwner(kind, names)
			g, err := c.hosts[names[2]].acquire(time.Second)
			if err != nil {
				return
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			for _, r := range requests {
				h := c.hosts[names[r.host]]
				wg.Go(func() {
					g, err := h.router.Acquire(context.Background(), Request{Customer: "a", Service: "s", Class: r.class, Deadline: time.Now().Add(10 * time.Second)})
					if err != nil {
						return
					}
					mu.Lock()
					order = append(order, r.class)
					mu.Unlock()
					h.router.Release(g, Outcome{ServiceTime: time.Millisecond})
				})
			}
			time.Sleep(ackTimeout + 10*time.Millisecond)
			c.hosts[names[2]].router.Release(g, Outcome{ServiceTime: time.Millisecond})
			wg.Wait()
		})
		if len(order) != len(requests) {
			rt.Fatalf("%d of %d requests were granted", len(order), len(requests))
		}
		for i, class := range order[1:] {
			if class < order[i] {
				rt.Fatalf("classes were granted in the order %v", order)
			}
		}
	})
}

// TestActingKnowsOpenGrants guards against an acting owner that grants slots which open grants of the unreachable owner still use,
// including grants to the acting owner's own host.
func TestActingKnowsOpenGrants(t *testing.T) {
	for _, executor := range []int{1, 2} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
			holder := c.hosts[names[executor]]
			g, err := holder.acquire(time.Minute)
			is.NoErr(err)
			c.failOwner(frozen, names)
			done := make(chan error, 2)
			for _, n := range []string{names[2], names[1]} {
				go func() { _, err := c.hosts[n].acquire(time.Second); done <- err }()
				time.Sleep(2 * ackTimeout)
			}
			is.Equal(len(done), 0)
			holder.router.Release(g, Outcome{ServiceTime: time.Millisecond})
			is.NoErr(<-done)
		})
	}
}

// TestActingOwnerKnowsLaterGrants guards against an acting owner that does not count a grant which its own host received from the owner
// between two connection failures, if another host kept the period as acting owner in progress.
func TestActingOwnerKnowsLaterGrants(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		standby, other := c.hosts[names[1]], c.hosts[names[2]]
		use := func(h *testHost) {
			g, err := h.acquire(time.Second)
			is.NoErr(err)
			is.Equal(g.Owner, standby.name)
			h.router.Release(g, Outcome{ServiceTime: time.Millisecond})
		}
		c.failOwner(refused, names)
		use(standby)
		c.heal()
		c.sever(other.name, names[0])
		for start := time.Now(); time.Since(start) < reconnectDelay+10*time.Millisecond; time.Sleep(20 * time.Millisecond) {
			use(other)
		}
		g, err := standby.acquire(time.Second)
		is.NoErr(err)
		is.Equal(g.Owner, names[0])
		c.sever(standby.name, names[0])
		_, err = standby.acquire(50 * time.Millisecond)
		is.True(err != nil) // the only slot is taken
	})
}

// TestActingHostBecomesOwner guards against an acting owner that loses the positions of waiting requests, or its rate tokens, when the
// membership view changes and it becomes the owner.
func TestActingHostBecomesOwner(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", boundRate, boundBurst, 1000, 1, 1000))
		standby, other := c.hosts[names[1]], c.hosts[names[2]]
		c.failOwner(refused, names)
		for i := range 10 { // after the first token, tokens arrive faster than they are used
			g, err := other.acquire(time.Second)
			is.NoErr(err)
			other.router.Release(g, Outcome{ServiceTime: time.Millisecond})
			time.Sleep(time.Duration(min(40+30*i, 70)) * time.Millisecond)
		}
		g, err := other.acquire(time.Second)
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { g, err := other.acquire(time.Second); other.router.Release(g, Outcome{}); done <- err }()
		time.Sleep(5 * time.Millisecond)
		waiting := standby.waiting()
		is.Equal(len(waiting), 1)
		for _, serving := range [][]string{names[:2], names[1:]} { // first the last host leaves; then it rejoins and the owner leaves
			c.view(serving, names...)
			time.Sleep(5 * time.Millisecond)
			is.Equal(standby.waiting(), waiting)
		}
		other.router.Release(g, Outcome{ServiceTime: time.Millisecond})
		is.NoErr(<-done)
		time.Sleep(5 * time.Millisecond) // until the release arrives
		start := time.Now()
		_, err = standby.acquire(time.Second)
		is.NoErr(err)
		is.Equal(time.Since(start), 0*time.Second)
	})
}

// TestActingLowRate guards against requests that are never granted because the customer's next rate token takes longer than
// actingIdleTimeout: if the acting owner started a new period each time, it would start with an empty bucket each time.
func TestActingLowRate(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate = 2
		c, names := newCluster(t, endpointsOf(3, 1), limitsOf("a", rate, 1, 1000, 1, 1000))
		c.failOwner(refused, names)
		g, err := c.hosts[names[2]].acquire(time.Second)
		is.NoErr(err)
		is.Equal(g.Owner, names[1])
	})
}

// waiting returns the requests that wait in the queue of a host as owner or acting owner.
func (h *testHost) waiting() (keys []Key) {
	q := h.router.service("s").ownerQueue
	q.mu.Lock()
	defer q.mu.Unlock()
	for k, e := range q.entries {
		if e.endpoint == nil {
			keys = append(keys, k)
		}
	}
	return keys
}

// TestWaitingAtFrozenOwner guards against a request that remains in the queue of a frozen owner because its executor sends no further
// request that would reveal the failure, against a check that mistakes a normal wait for a failure, and against late grants that are
// not released.
func TestWaitingAtFrozenOwner(t *testing.T) {
	for _, freeze := range []bool{false, true} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, names := newCluster(t, endpointsOf(1, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
			owner, h := c.hosts[names[0]], c.hosts[names[2]]
			held, err := owner.acquire(time.Minute)
			is.NoErr(err)
			done := make(chan Grant, 1)
			go func() { g, _ := h.acquire(10 * time.Second); done <- g }()
			time.Sleep(time.Second)
			waiting := owner.waiting()
			is.Equal(len(waiting), 1)
			if !freeze {
				time.Sleep(time.Second)
				is.Equal(owner.waiting(), waiting)
				owner.router.Release(held, Outcome{ServiceTime: time.Millisecond})
				is.Equal((<-done).Owner, owner.name)
				return
			}
			c.freeze(owner.name, true)
			time.Sleep(silenceTimeout + ackTimeout + 10*time.Millisecond)
			is.Equal(len(done), 1)
			g := <-done
			is.Equal(g.Owner, names[1])
			owner.router.Release(held, Outcome{ServiceTime: time.Millisecond}) // the frozen owner grants the old request
			is.Equal(owner.granted(), 1)
			c.freeze(owner.name, false)
			time.Sleep(10 * time.Millisecond)
			is.Equal(owner.granted(), 0)
			h.router.Release(g, Outcome{ServiceTime: time.Millisecond})
		})
	}
}

// TestLateAcknowledgement guards against a request that is sent to the standby because a reachable owner acknowledged it late. The
// executor has to use its own part for such a request, because a second owner would serve at the same time as the first one.
func TestLateAcknowledgement(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(3, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		h := c.hosts[names[2]]
		part := h.table.Snapshot("s").Endpoints[2].ID // assigned to the part of the third host
		c.drop = func(m GrantMessage) bool { return m.Kind == KindQueued }
		request := func(excluded ...endpoints.ID) Grant {
			g, err := h.router.Acquire(t.Context(), Request{Customer: "a", Service: "s", Class: contract.Normal, ExcludedEndpoints: excluded, Deadline: time.Now().Add(time.Second)})
			is.NoErr(err)
			return g
		}
		var others []endpoints.ID
		for _, e := range endpointsOf(3, 1) {
			if e.ID != part {
				others = append(others, e.ID)
			}
		}
		is.Equal(request(others...).Owner, names[0]) // uses the slot of that endpoint
		done := make(chan Grant, 1)
		go func() { done <- request(others...) }()
		for range 20 { // the owner keeps responding to other requests
			h.router.Release(request(), Outcome{ServiceTime: time.Millisecond})
			time.Sleep(2 * time.Millisecond)
		}
		is.Equal((<-done).Owner, h.name)
		is.True(c.hosts[names[1]].router.service("s").acting.until.IsZero()) // the standby never became acting owner
	})
}

// TestActingRenewal guards against an acting owner that serves for longer than maxActingTime in one membership view, and against one
// that is not allowed to serve again in a new view.
func TestActingRenewal(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, names := newCluster(t, endpointsOf(3, 1), limitsOf("a", unlimited, unlimited, 1000, 1, 1000))
		h := c.hosts[names[2]]
		grantingHost := func() string {
			g, err := h.acquire(200 * time.Millisecond)
			is.NoErr(err)
			h.router.Release(g, Outcome{ServiceTime: time.Millisecond})
			return g.Owner
		}
		c.sever(h.name, names[0])
		for range 2 {
			for start := time.Now(); time.Since(start) < maxActingTime-20*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				if who := grantingHost(); who != names[1] {
					t.Fatal(time.Since(start), who)
				}
			}
			time.Sleep(50 * time.Millisecond)
			for range 100 {
				is.Equal(grantingHost(), h.name)
				time.Sleep(50 * time.Millisecond)
			}
			c.view(names[:2], names...) // names[2] is neither the owner nor the standby
			time.Sleep(10 * time.Millisecond)
			c.view(names, names...)
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// step is one step of a schedule of failures.
type step struct {
	kind  int
	host  int
	pause time.Duration
}

// Kinds of steps. The last two change the membership views of all hosts at the same time.
const (
	stepFreeze = iota
	stepSever
	stepHeal
	stepThird // the last host in the ranking leaves or rejoins, which only resets the time of the acting owner
	stepOwner // the owner leaves or rejoins
	stepKinds
)

func (s step) String() string {
	return fmt.Sprintf("kind %d host %d, then %s", s.kind, s.host, s.pause)
}

// counts holds the numbers of grants in a run.
type counts struct {
	mu        sync.Mutex
	owner     string         // at the beginning
	owned     map[string]int // grants by host, as owner or acting owner
	fallback  int            // grants from fallback queues
	views     int            // number of changes of the membership view
	ownerGone bool           // the owner left at some time
	took      time.Duration
	problems  []string
}

const (
	boundRate  = 20
	boundBurst = 5
)

// runActing runs a schedule while more requests arrive than the rate admits.
func runActing(t *testing.T, steps []step) *counts {
	y := &counts{owned: map[string]int{}}
	c, names := newCluster(t, endpointsOf(3, 4), limitsOf("a", boundRate, boundBurst, 1000, 1, 1000))
	y.owner = names[0]
	start := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range names {
		h := c.hosts[n]
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				wg.Go(func() { h.load(y, contract.Class(i%contract.Classes), time.Duration(20+i*37%400)*time.Millisecond) })
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	third, owner := true, true
	for _, s := range steps {
		switch s.kind {
		case stepFreeze:
			c.freeze(names[s.host], true)
		case stepSever:
			c.sever(names[(s.host+1)%3], names[s.host])
		case stepHeal:
			c.heal()
		case stepThird:
			third = !third
		case stepOwner:
			owner, y.ownerGone = !owner, true
		}
		if s.kind >= stepThird {
			y.views++
			serving := names[1:2]
			if owner {
				serving = names[:2]
			}
			if third {
				serving = append(serving[:len(serving):len(serving)], names[2])
			}
			c.view(serving, names...)
		}
		time.Sleep(s.pause)
	}
	stop()
	wg.Wait()
	y.took = time.Since(start)

	// After recovery the original owner grants all requests again, and no requests or grants are left at the other hosts.
	c.heal()
	c.view(names, names...)
	time.Sleep(time.Second)
	for _, n := range names {
		h := c.hosts[n]
		g, err := h.acquire(time.Second)
		if err != nil || g.Owner != names[0] {
			y.addProblem("after recovery %s received error %v and owner %q, want a grant from %s", n, err, g.Owner, names[0])
		}
		h.router.Release(g, Outcome{ServiceTime: time.Millisecond})
	}
	time.Sleep(100 * time.Millisecond)
	for _, n := range names {
		svc := c.hosts[n].router.service("s")
		for _, q := range []*Queue{svc.ownerQueue, svc.fallbackQueue} {
			if d := q.Dump(time.Now()); d.Waiting+d.Granted+len(svc.openGrants) > 0 {
				y.addProblem("%s still has %d requests waiting, %d granted, and %d open grants as executor", n, d.Waiting, d.Granted, len(svc.openGrants))
			}
		}
	}
	return y
}

func (y *counts) addProblem(format string, args ...any) {
	y.problems = append(y.problems, fmt.Sprintf(format, args...))
}

// load sends one request and counts its grant.
func (h *testHost) load(y *counts, class contract.Class, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	g, err := h.router.Acquire(ctx, Request{Customer: "a", Service: "s", Class: class, Deadline: time.Now().Add(deadline)})
	if err != nil {
		return
	}
	svc := h.router.service("s")
	svc.mu.Lock()
	fallback := svc.openGrants[g.ID].owners[0].queue == svc.fallbackQueue
	svc.mu.Unlock()
	y.mu.Lock()
	if fallback {
		y.fallback++
	} else {
		y.owned[g.Owner]++
	}
	y.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	h.router.Release(g, Outcome{ServiceTime: 5 * time.Millisecond})
}

// TestActingBound guards against an acting owner that admits more requests than docs/GUARANTEES.md states, and against lasting effects
// of a former owner that returns. It runs schedules of freezes, connection failures in one direction and changes of the membership
// view.
func TestActingBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.SampledFrom([]int{stepFreeze, stepFreeze, stepSever, stepSever, stepHeal, stepThird, stepOwner}).Draw(t, "kind"),
				rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "host"), time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * 75 * time.Millisecond}
		}), 1, 8).Draw(rt, "steps")
		var y *counts
		faketime.Test(t, func(t *testing.T) { y = runActing(t, steps) })
		checkActing(rt, y)
	})
}

func checkActing(rt *rapid.T, y *counts) {
	all, seconds := 0, y.took.Seconds()
	for _, n := range y.owned {
		all += n
	}
	acting := boundRate * maxActingTime.Seconds() * float64(1+y.views)
	if bound := boundRate*seconds + boundBurst + acting; float64(all) > bound {
		rt.Fatalf("owners admitted %d in %.1f s, more than %.1f", all, seconds, bound)
	}
	if bound := boundRate*seconds + boundBurst; float64(y.fallback) > bound {
		rt.Fatalf("parts admitted %d in %.1f s, more than %.1f", y.fallback, seconds, bound)
	}
	if !y.ownerGone {
		// The owner never changed, so the other hosts admitted requests only as acting owners.
		others := all - y.owned[y.owner]
		if float64(others) > acting {
			rt.Fatalf("acting owners admitted %d, more than %.1f", others, acting)
		}
	}
	if len(y.problems) > 0 {
		rt.Fatal(strings.Join(y.problems, "\n"))
	}
}
