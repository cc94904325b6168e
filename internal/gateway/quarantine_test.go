package gateway

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestQuarantineOutlivesHosts guards against a request that ends endpoints again after all hosts have restarted, and after the store has returned from a
// copy that lacks the list.
func TestQuarantineOutlivesHosts(t *testing.T) {
	logger := eventlog.New(io.Discard, log.InfoLevel) // its goroutine never ends
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &deployment{store: &memoryStore{logs: map[string][]follow.Record{}}}
		d.configure(t, 3, "/lots/")
		newGateway := func() *Gateway {
			return New(&Settings{Host: "host", Zone: "a", CallerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"}, d.adapter(), logger)
		}
		d.store.put(t, d.adapter().HostTopic, "other", "not a list of hosts") // what another writer has left
		first := newGateway()
		is.NoErr(first.follower.Refresh(t.Context()))
		culprit := quarantine.NewFingerprint(netip.Addr{}, "GET", "shop.example", "/lots/1", nil)
		first.crashGuard.Restore("test", []quarantine.Verdict{{Pattern: culprit, Until: time.Now().Add(8 * time.Minute)}}, time.Now())
		time.Sleep(coordinatorSettleTime + time.Second)
		first.updateStatus()
		restarted := func() bool {
			g := newGateway()
			is.NoErr(g.follower.Refresh(t.Context()))
			until, quarantined := g.crashGuard.Quarantined(culprit, time.Now())
			return quarantined && time.Until(until) <= 8*time.Minute
		}
		is.True(!restarted())
		first.maintainQuarantine(context.Background(), time.Now())
		is.True(restarted())
		d.store.fall(1)
		is.True(!restarted())
		is.NoErr(first.follower.Refresh(t.Context())) // learns of the new epoch
		time.Sleep(quarantineWriteInterval)
		first.maintainQuarantine(context.Background(), time.Now())
		is.True(restarted())
		time.Sleep(8 * time.Minute)
		is.True(!restarted()) // it has ended
	})
}

// TestReleasedRequestIsForgotten guards against a released request that the store's list goes on to name, so that it binds hosts that start later, and
// against one that stays bound on a host which started before the list was written.
func TestReleasedRequestIsForgotten(t *testing.T) {
	logger := eventlog.New(io.Discard, log.InfoLevel) // its goroutine never ends
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &deployment{store: &memoryStore{logs: map[string][]follow.Record{}}}
		d.configure(t, 3, "/lots/")
		start := func() *Gateway {
			g := New(&Settings{Host: "host", Zone: "a", CallerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"}, d.adapter(), logger)
			is.NoErr(g.follower.Refresh(t.Context()))
			return g
		}
		request := quarantine.NewFingerprint(netip.Addr{}, "GET", "shop.example", "/lots/1", nil)
		bound := func(g *Gateway) bool {
			_, quarantined := g.crashGuard.Quarantined(request, time.Now())
			return quarantined
		}
		maintain := func(g *Gateway) {
			time.Sleep(coordinatorSettleTime + quarantineWriteInterval)
			g.updateStatus()
			g.maintainQuarantine(context.Background(), time.Now())
		}
		first := start()
		first.crashGuard.Restore("test", []quarantine.Verdict{{Pattern: request, Until: time.Now().Add(8 * time.Minute)}}, time.Now())
		maintain(first)
		coordinator, bystander := start(), start() // the host that writes the list next has not written it before
		is.True(bound(coordinator) && bound(bystander))
		time.Sleep(time.Second)
		coordinator.crashGuard.Succeeded(request, time.Now())
		is.True(!bound(coordinator))
		maintain(coordinator)
		is.True(!bound(start()))
		for range hostRefreshesPerRead {
			is.NoErr(bystander.follower.Refresh(t.Context()))
		}
		is.True(!bound(bystander))
	})
}
