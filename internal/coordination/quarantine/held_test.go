package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// unansweredHosts are guards of hosts that no endpoint answers.
type unansweredHosts []*Guard

func newUnansweredHosts(n int) unansweredHosts {
	hosts := make(unansweredHosts, n)
	for i := range hosts {
		hosts[i] = newGuard()
		hosts[i].cfg.OthersAnswer = func(context.Context, endpoints.Endpoint) bool { return false }
	}
	return hosts
}

// share sends the updates of each host to the others. It returns the number of updates.
func (u unansweredHosts) share() (n int) {
	for i, from := range u {
		update := from.ZoneUpdate(time.Now())
		for j, to := range u {
			if i != j && !update.Empty() {
				to.HandleUpdate(update, "h", true, time.Now())
				n++
			}
		}
	}
	return n
}

// listed lists the next processes of endpoints.
func (u unansweredHosts) listed(names ...string) {
	for _, g := range u {
		for _, name := range names {
			g.Listed(endpoints.ID{Address: name, Incarnation: name + " next"}, time.Now())
		}
	}
}

// brokeNext reports at a host that the connection of a request to the next process of an endpoint broke.
func (u unansweredHosts) brokeNext(host int, name, request string) {
	id := endpoints.ID{Address: name, Incarnation: name + " next"}
	u[host].ConnectionBroke(context.Background(), endpoints.Endpoint{ID: id}, fingerprint(request))
}

// TestEndsWithoutAnyAnswer guards against a request that is never stopped because all endpoints of its service have ended under it, seen by several hosts,
// and against proper requests that are condemned because they came while all endpoints restarted, or because their host had lost its own way to them.
func TestEndsWithoutAnyAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		next func(u unansweredHosts) // after three ends, of which one host has seen two and another host one
		want bool
	}{
		{"the same processes go on", func(unansweredHosts) {}, false},
		{"the same processes end again", func(u unansweredHosts) {
			for _, name := range []string{"e1", "e2", "e3"} {
				u[0].Answered(endpoint(name), time.Now(), time.Now()) // over a new connection
				u[0].broke(name, "a")
			}
		}, false},
		{"all restart", func(u unansweredHosts) { u.listed("e1", "e2", "e3") }, false},
		{"all restart, one ends again", func(u unansweredHosts) {
			u.listed("e1", "e2", "e3")
			u.share()
			u.brokeNext(2, "e1", "a")
		}, true},
		{"one ends again, the others restart later", func(u unansweredHosts) {
			u.listed("e1")
			u.brokeNext(2, "e1", "a")
			u.listed("e2", "e3")
		}, true},
		{"all restart, one ends again under another request", func(u unansweredHosts) {
			u.listed("e1", "e2", "e3")
			u.brokeNext(2, "e1", "b")
		}, false},
		{"all restart, the request is answered before one ends again", func(u unansweredHosts) {
			u.listed("e1", "e2", "e3")
			u.share()
			u[2].Succeeded(fingerprint("a"), time.Now())
			u.share()
			time.Sleep(time.Second)
			u.brokeNext(0, "e1", "a")
		}, false},
		{"two restart, one ends again", func(u unansweredHosts) {
			u.listed("e1", "e2")
			u.brokeNext(0, "e1", "a")
		}, false},
		{"they answer, then restart", func(u unansweredHosts) {
			for _, name := range []string{"e1", "e2", "e3"} {
				for _, g := range u {
					g.Answered(endpoint(name), time.Now().Add(-time.Minute), time.Now())
				}
			}
			u.listed("e1", "e2", "e3")
			u.brokeNext(0, "e1", "a")
		}, false},
		{"all restart late", func(u unansweredHosts) {
			time.Sleep(heldTime)
			u.listed("e1", "e2", "e3")
			u.brokeNext(0, "e1", "a")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := newUnansweredHosts(3)
				u[0].broke("e1", "a")
				u[0].broke("e2", "a")
				u[1].broke("e3", "a")
				is.Equal(u.share(), 0) // nothing is sent before it is proven
				time.Sleep(time.Second)
				c.next(u)
				for range 3 {
					u.share()
				}
				for _, g := range u {
					is.Equal(len(g.quarantined("a")) > 0, c.want)
				}
			})
		})
	}
}

// TestHeldEndsAreBounded guards against state and messages that grow with the ends and requests that are held back, and against ends that are never dropped.
func TestHeldEndsAreBounded(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := newUnansweredHosts(2)
		for i := range maxHeld + 10 {
			name := fmt.Sprint("e", i)
			for r := range maxRequestsPerHeld + 2 {
				u[0].broke(name, fmt.Sprint("r", i, ".", r))
			}
			u.listed(name)
			update := u[0].ZoneUpdate(time.Now())
			is.NoErr(update.Check())
			is.True(len(update.Held) <= MaxHeld)
			u[1].HandleUpdate(update, "h", true, time.Now())
			time.Sleep(time.Millisecond)
		}
		for _, g := range u {
			is.Equal(len(g.held), maxHeld)
			for _, h := range g.held {
				is.True(len(h.requests) <= maxRequestsPerHeld)
			}
			is.Equal(len(g.crashes), 0)
		}
		time.Sleep(evidenceLifetime)
		u[0].broke("unproven", "a")
		for _, g := range u {
			g.Evict(time.Now())
		}
		is.True(u[0].Active() && !u[1].Active())
		time.Sleep(heldTime + time.Millisecond)
		u[0].Evict(time.Now())
		is.True(!u[0].Active())
	})
}
