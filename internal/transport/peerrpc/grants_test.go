package peerrpc

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// soleOwnerView is a membership view of the host that it names. host-b is the only serving member, so it owns all services.
type soleOwnerView string

func (s soleOwnerView) Self() dispatch.Member    { return dispatch.Member{Host: string(s)} }
func (soleOwnerView) Serving() []dispatch.Member { return []dispatch.Member{{Host: "host-b"}} }
func (soleOwnerView) KnownHosts() int            { return 2 }
func (soleOwnerView) Changed() <-chan struct{}   { return nil }
func router(host string) *dispatch.Router        { return routerTo(host, nil) }
func tableOf(n int) (table *endpoints.Table) {
	table = endpoints.NewTable()
	table.SetService("s", listOf(n))
	return
}
func listOf(slots int) (l []endpoints.Endpoint) {
	return []endpoints.Endpoint{{ID: endpoints.ID{Address: "10.0.0.1:80", Incarnation: "a"}, Service: "s", Slots: slots}}
}

func routerTo(host string, dialer dispatch.StreamDialer) *dispatch.Router {
	rt := dispatch.NewRouter(dispatch.RouterConfig{Membership: soleOwnerView(host), Endpoints: tableOf(1000), Dialer: dialer, Prefetch: 1})
	rt.SetLimits(limits.Set{{Customer: "a", Service: "s"}: {Customer: "a", Name: "s", Rate: 1e9, Burst: 1e9, Concurrent: 1000, QueueLength: 1000}})
	return rt
}

// TestGrants guards against encoding or protocol errors between a requesting host and an owner over a real connection.
func TestGrants(t *testing.T) {
	is := is.New(t)
	owner := router("host-b")
	defer owner.Close()
	address, _ := serve(t, "127.0.0.1:0", func(s *Server) { s.HandleStream(GrantHandler(owner)) })
	executor := routerTo("host-a", Grants{peersTo(t, testSecret, address)})
	defer executor.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request := dispatch.Request{ID: "r", Customer: "a", Service: "s", Deadline: time.Now().Add(10 * time.Second)}
	remote := 0
	for range 100 {
		g, err := executor.Acquire(ctx, request)
		is.NoErr(err)
		if g.Owner == "host-b" {
			remote++
		}
		executor.Release(g, dispatch.Outcome{ServiceTime: time.Millisecond})
	}
	is.True(remote > 0) // not all 100, because on a busy machine an acknowledgement may be late, which is no fault
	for owner.Dump().Services[0].Queue.Granted > 0 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkGrant measures one Acquire and Release at the host's own queue and, over loopback, at another host's queue.
func BenchmarkGrant(b *testing.B) {
	owner := router("host-b")
	defer owner.Close()
	address, _ := serve(b, "127.0.0.1:0", func(s *Server) { s.HandleStream(GrantHandler(owner)) })
	executor := routerTo("host-a", Grants{peersTo(b, testSecret, address)})
	defer executor.Close()
	request := dispatch.Request{ID: "r", Customer: "a", Service: "s", Deadline: time.Now().Add(time.Minute)}
	for name, rt := range map[string]*dispatch.Router{"own": owner, "remote": executor} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g, err := rt.Acquire(context.Background(), request)
				if err != nil || g.Owner != "host-b" {
					b.Fatal(g, err)
				}
				rt.Release(g, dispatch.Outcome{ServiceTime: time.Millisecond})
			}
		})
	}
}
