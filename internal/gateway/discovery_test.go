package gateway

import (
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// TestHostsMeetAfterLostRequests guards against two hosts of a zone that never learn of each other, because what they asked the seed at their start was
// lost and the store's list of hosts does not name them.
func TestHostsMeetAfterLostRequests(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	d.store.unwritable = d.adapter().HostTopic
	seed := fmt.Sprintf("127.%d.%d.%d:18084", 64+os.Getpid()%128, os.Getpid()/128%256, nextHost.Load()+3)
	inZone := func(zone string) func(*Settings) {
		return func(s *Settings) { s.Zone, s.Seeds = zone, []string{seed} }
	}
	first, second := d.startWith(t, inZone("b")), d.startWith(t, inZone("b"))
	waitFor(t, "copies of the store", func() bool { return first.gateway.hasStoreCopy.Load() && second.gateway.hasStoreCopy.Load() })
	is.Equal(first.gateway.peers.HostCount(), 1) // the seed does not run yet
	is.Equal(second.gateway.peers.HostCount(), 1)
	third := d.startWith(t, inZone("a"))
	is.Equal(third.settings.StateAddress, seed)
	meet := func(a, b *testHost) bool {
		live := a.gateway.peers.LiveZonePeers(time.Now())
		return len(live) == 1 && live[0] == b.settings.Host
	}
	start := time.Now()
	for !meet(first, second) || !meet(second, first) {
		if time.Since(start) > 20*time.Second {
			t.Fatalf("after %v the hosts of a zone know %v and %v", time.Since(start), first.gateway.peers.KnownHosts(), second.gateway.peers.KnownHosts())
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("met after %v", time.Since(start))
}

// TestSilentHostIsNotAddedAgain guards against a host that has ended, which others still list: it would count in Quorum among those that are not heard from.
// It gets a message, so that a host that was cut off is found again.
func TestSilentHostIsNotAddedAgain(t *testing.T) {
	is := is.New(t)
	g := newUnstarted(t, deploy(t))
	const address = "127.0.0.1:18093"
	silent, err := peerlink.Listen(address)
	is.NoErr(err)
	heard := make(chan string, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- silent.Receive(func(m *peerlink.Message) { heard <- m.From.Name }, func(_ netip.AddrPort, err error) { t.Error(err) })
	}()
	h := peers.Host{Name: "silent", Zone: "a", Started: 5, PeerAddress: address}
	now := time.Now()
	g.handleHosts([]peers.Host{h}, "other", now)
	is.Equal(g.peers.HostCount(), 2)
	now = now.Add(time.Hour)
	is.Equal(g.peers.RemoveSilent(now), []string{"silent"})
	g.handleHosts([]peers.Host{h}, "other", now)
	is.Equal(g.peers.HostCount(), 1)
	select {
	case name := <-heard:
		is.Equal(name, "host")
	case <-time.After(10 * time.Second):
		t.Error("the host got no message")
	}
	silent.Close()
	is.NoErr(<-ended)
}
