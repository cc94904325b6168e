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
		first.crashGuard.Restore([]quarantine.Verdict{{Pattern: culprit, Until: time.Now().Add(8 * time.Minute)}}, time.Now())
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
