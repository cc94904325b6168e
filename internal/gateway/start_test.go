package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

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
