package follow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// fleetHost is a host whose MaxAge and ReadDelay come from its table of peers.
type fleetHost struct {
	*host
	store *refusingStore
	table *peers.Table
	self  peers.Host
}

// fleet is a deployment in memory. Heartbeats and updates between its hosts arrive at once.
type fleet struct {
	hosts map[string]*fleetHost // by peer address
}

// newFleet returns hosts that follow a store, in zones of equal size.
func newFleet(s *fakeStore, zones, perZone int) *fleet {
	f := &fleet{hosts: map[string]*fleetHost{}}
	for n := range zones * perZone {
		zone := fmt.Sprintf("zone-%d", n%zones)
		self := peers.Host{Name: fmt.Sprintf("host-%d", n), Zone: zone, Started: 1, PeerAddress: fmt.Sprintf("host-%d:1", n)}
		h := &fleetHost{store: &refusingStore{fakeStore: s}, table: peers.NewTable(peers.DefaultConfig(self)), self: self}
		h.host = newHost(h.store, 0)
		h.cfg.MaxAge = func() time.Duration { return h.table.MaxAge(time.Now()) }
		h.cfg.ReadDelay = func() time.Duration { return h.table.ReadDelay(time.Now()) }
		h.cfg.SendUpdate = func(u Update) {
			for _, to := range append(h.table.ZonePeers(), h.table.Relays(time.Now())...) {
				go f.deliver(f.hosts[to.PeerAddress], u, h.self.Zone)
			}
		}
		h.cfg.OnStoreLost = func(error) {
			if h.table.IsFirstReader(time.Now()) {
				go f.sendHeartbeat(h)
			}
		}
		f.hosts[self.PeerAddress] = h
	}
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			h.table.Add(other.self, time.Now())
		}
	}
	return f
}

// deliver applies an update at a host, which passes on one from another zone to its own.
func (f *fleet) deliver(h *fleetHost, u Update, fromZone string) {
	if h.ApplyUpdate(u, time.Now()) && fromZone != h.self.Zone {
		for _, to := range h.table.ZonePeers() {
			f.hosts[to.PeerAddress].ApplyUpdate(u, time.Now())
		}
	}
}

// setOutage begins an outage of the store, or ends it if err is nil.
func (s *fakeStore) setOutage(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = err
}

// refusingStore is a store that refuses one host.
type refusingStore struct {
	*fakeStore
	refuses atomic.Bool
}

func (s *refusingStore) Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error) {
	if s.refuses.Load() {
		return Answer{}, errors.New("429")
	}
	return s.fakeStore.Read(ctx, topic, from, keep)
}

// sendHeartbeat delivers a heartbeat of a host to all hosts of its zone.
func (f *fleet) sendHeartbeat(h *fleetHost) {
	status := peers.Status{Ready: true, HasStoreCopy: true, StoreFailing: h.StoreLost()}
	for _, to := range h.table.ZonePeers() {
		f.hosts[to.PeerAddress].table.RecordMessage(h.self, status, time.Now())
	}
}

// run runs all hosts until the returned function is called.
func (f *fleet) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, h := range f.hosts {
		is.New(t).NoErr(h.Refresh(ctx))
		f.sendHeartbeat(h)
	}
	for _, h := range f.hosts {
		running.Go(func() { h.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				f.sendHeartbeat(h)
				pause(ctx, h.table.HeartbeatInterval())
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// newest returns the value of the key that the copies of all hosts hold, or an empty string if they differ.
func (f *fleet) newest(key string) string {
	values := map[string]bool{}
	for _, h := range f.hosts {
		h.mu.Lock()
		values[string(h.Follower.newest[0][key].Value)] = true
		h.mu.Unlock()
	}
	if len(values) > 1 {
		return ""
	}
	return slices.Collect(maps.Keys(values))[0]
}

// TestOutageCallsOfManyHosts guards against calls in proportion to the hosts during an outage of the store for all of them. An outage of 8 s
// may take half of the calls that a day may take, 600 with 122 hosts and 1,500 with 312. All hosts know a change within the 2 s after which
// the first ones retry.
func TestOutageCallsOfManyHosts(t *testing.T) {
	for _, c := range []struct{ zones, perZone, maxCalls int }{{3, 5, 150}, {4, 30, 300}, {5, 62, 750}} {
		t.Run(fmt.Sprint(c.zones*c.perZone), func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{}
				s.put("k", "before")
				f := newFleet(s, c.zones, c.perZone)
				defer f.run(t)()
				time.Sleep(2 * time.Second)
				s.setOutage(errors.New("503"))
				before := s.calls()
				time.Sleep(8 * time.Second)
				calls := s.calls() - before
				t.Logf("%d hosts: %d calls in 8 s", len(f.hosts), calls)
				is.True(calls <= c.maxCalls)
				s.setOutage(nil)
				s.put("k", "after")
				time.Sleep(2*time.Second + 100*time.Millisecond)
				is.Equal(f.newest("k"), "after")
			})
		})
	}
}

// TestRefusedReadersAreReplaced guards against hosts that wait for others: the store refuses the two first-ranked hosts of each zone and
// serves the rest, which learn of a change within 2 s.
func TestRefusedReadersAreReplaced(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("k", "before")
		f := newFleet(s, 3, 20)
		defer f.run(t)()
		time.Sleep(2 * time.Second)
		for _, h := range f.hosts {
			h.store.refuses.Store(h.table.IsFirstReader(time.Now()))
		}
		for n := range 5 {
			value := fmt.Sprint(n)
			s.put("k", value)
			time.Sleep(2*time.Second + 100*time.Millisecond)
			is.Equal(f.newest("k"), value)
		}
	})
}
