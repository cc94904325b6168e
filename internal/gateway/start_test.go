package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// TestStartAlwaysAsksSeeds guards against a host that starts without asking the seeds, so that no host knows it: its wait for a peer may be over before
// the first request, because it is short or because the process stands still.
func TestStartAlwaysAsksSeeds(t *testing.T) {
	is := is.New(t)
	g := newUnstarted(t, deploy(t))
	g.settings.PeerAddress, g.settings.Seeds = "127.0.0.1:18094", []string{"127.0.0.2:18084"}
	seed, err := peerlink.Listen("127.0.0.2:18094")
	is.NoErr(err)
	asked := make(chan bool, 100)
	ended := make(chan error, 1)
	go func() {
		ended <- seed.Receive(func(m *peerlink.Message) { asked <- m.RequestHosts }, func(_ netip.AddrPort, err error) { t.Error(err) })
	}()
	is.True(!g.fetchCopyFromPeer(t.Context(), 0))
	select {
	case requests := <-asked:
		is.True(requests)
	case <-time.After(5 * time.Second):
		t.Error("the host did not ask the seed")
	}
	seed.Close()
	is.NoErr(<-ended)
}

// stalledStore does not answer reads of whole topics.
type stalledStore struct{ *memoryStore }

func (s stalledStore) Newest(ctx context.Context, _ string, _ follow.Keep) (follow.Answer, error) {
	<-ctx.Done()
	return follow.Answer{}, ctx.Err()
}

// TestPeerCopyEndsSlowRead guards against starting hosts that go on reading a large topic over a slow link although a peer has a copy of what they need.
func TestPeerCopyEndsSlowRead(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	peer := newUnstarted(t, d)
	server := httptest.NewServer(http.HandlerFunc(peer.serveState))
	defer server.Close()
	adapter := d.adapter()
	adapter.Store = stalledStore{d.store}
	g := New(&Settings{Host: "host", Zone: "a", CallerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"}, adapter, eventlog.New(io.Discard, log.InfoLevel))
	g.link = newUnstarted(t, d).link
	read := make(chan error, 1)
	go func() { read <- g.readStore(t.Context()) }()
	g.peers.RecordMessage(peers.Host{Name: "peer", Zone: "b", StateAddress: strings.TrimPrefix(server.URL, "http://")}, peers.Status{HasStoreCopy: true}, time.Now())
	time.Sleep(2 * slowReadTime) // the peer has no copy yet, and refuses
	is.NoErr(peer.follower.Refresh(t.Context()))
	g.peers.RecordMessage(peers.Host{Name: "peer", Zone: "b", StateAddress: strings.TrimPrefix(server.URL, "http://")}, peers.Status{HasStoreCopy: true}, time.Now())
	is.NoErr(<-read)
	is.Equal(g.version(), uint64(3))
	d.configure(t, 4, "/lots/")
	is.NoErr(g.follower.Refresh(t.Context())) // the log is still read
	is.Equal(g.version(), uint64(4))
}
