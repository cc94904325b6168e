package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// TestNothingIsAssumedOfTheNextProcess guards against anything that a host assumes about an endpoint and that outlives its process: the next process at
// the same address, with the same id, is unknown. docs/design.md section 14 lists what is assumed, and its keys.
func TestNothingIsAssumedOfTheNextProcess(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	g := newUnstarted(t, d)
	is.NoErr(g.follower.Refresh(t.Context()))
	now := time.Now()
	entry := registry.Entry{Name: "e-9", Started: 1, Sequence: 4, Service: "lotdesk", Address: "127.0.0.1:9", Zone: "a", Slots: 2, WarmUp: time.Hour}
	put := func(e registry.Entry) registry.Endpoint {
		g.endpoints.Put(e, now)
		for _, listed := range g.endpoints.Snapshot().Services["lotdesk"] {
			if listed.Name == e.Name {
				return *listed
			}
		}
		t.Fatal("the endpoint is not usable")
		return registry.Endpoint{}
	}
	old := put(entry)
	is.True(old.WarmUpEnd.After(now))

	stats, load := g.endpointStats, placement.Load{Running: 2, Waiting: 3, Slots: 2, Slowness: 9}
	stats.RecordPace(old.Endpoint, 7, now)
	stats.RecordLoad(old.Endpoint, load, now)
	stats.RecordProbe(old.Endpoint, load, now)
	is.True(stats.StartProbe(old.ID, now))
	for range 2 {
		is.True(stats.ReserveSend(old.ID, now))
	}
	stats.RecordEnd(old.ID, true, now)
	stats.RecordUnreachable(old.ID, now)
	g.recordResponse(old.Endpoint, &executor.Response{Leaving: true, RejectedFor: time.Hour, RateLimit: 1, HasRateLimit: true, SentAt: now, ReadAt: now, ConnectedAt: now})
	culprit := quarantine.NewFingerprint(netip.MustParseAddr("10.0.0.1"), "GET", "shop.example", "/lots/1", nil)
	for n, id := range []endpoints.ID{old.ID, {Address: old.ID.Address, Incarnation: "e-9@2"}, {Address: old.ID.Address, Incarnation: "e-9@3"}} {
		_, quarantined := g.crashGuard.Quarantined(culprit, now)
		is.True(!quarantined) // each process that has ended counts
		g.crashGuard.HandleUpdate(&quarantine.Update{Crashes: []quarantine.CrashReport{{Endpoint: id, Requests: []quarantine.Fingerprint{culprit}}}}, fmt.Sprint("host-", n), true, now)
	}
	_, quarantined := g.crashGuard.Quarantined(culprit, now)
	is.True(quarantined)
	view := stats.View(old, now)
	is.True(view.FailureRate > 0 && view.Suspect && view.Rejecting && view.Limited && view.ProbeInFlight && view.InFlight == 1 && view.LoadAge == 0)
	is.True(g.endpoints.Withdrawn(old.ID))

	entry.Started, entry.Sequence, entry.WarmUp = 2, 0, 0
	next := put(entry)
	is.Equal(next.ID.Address, old.ID.Address)
	is.True(next.ID != old.ID)
	unknown := next
	unknown.ID = endpoints.ID{Address: "127.0.0.1:8", Incarnation: "e-8@1"}
	got, want := stats.View(next, now), stats.View(unknown, now)
	want.Endpoint = got.Endpoint
	is.Equal(got, want)
	is.True(!g.endpoints.Withdrawn(next.ID) && !stats.Rejecting(next.ID, now) && !next.WarmUpEnd.After(now))
	_, limited := g.rateLimits.Get(next.ID)
	is.True(!limited)
	usable, _ := stats.WithoutRejecting("lotdesk", g.endpoints.Snapshot().Services["lotdesk"], now)
	is.Equal(len(usable), g.endpoints.Snapshot().Total)
}
