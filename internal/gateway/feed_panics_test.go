package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// newFragile returns a gateway whose decoders panic at records with the key "odd".
func newFragile(t *testing.T, d *deployment) *Gateway {
	g := newUnstarted(t, d)
	decodeEndpoint, decodeContract := g.adapter.DecodeEndpoint, g.adapter.DecodeContract
	g.adapter.DecodeEndpoint = func(key string, value []byte) (registry.Entry, error) {
		if key == "odd" {
			panic("an odd entry")
		}
		return decodeEndpoint(key, value)
	}
	g.adapter.DecodeContract = func(key string, value []byte) (*routing.Config, error) {
		if key == "odd" {
			panic("an odd configuration")
		}
		return decodeContract(key, value)
	}
	g.adapter.DecodeEvacuation = func(key string) (string, bool) {
		if key == "odd zone" {
			panic("an odd zone")
		}
		return "", false
	}
	return g
}

// TestPanicOfOneRecord guards against one record that ends all hosts which read it, or keeps them from following the others, because its decoding panics:
// in a read of the store, in a peer's update and in a peer's whole copy.
func TestPanicOfOneRecord(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	g, peer, late := newFragile(t, d), newFragile(t, d), newFragile(t, d)
	is.NoErr(peer.follower.Refresh(t.Context()))
	for n := range 3 {
		for _, key := range []string{"odd", "odd zone"} {
			d.store.put(t, "contract", key, n)
			d.store.put(t, "endpoints", key, n)
		}
		d.configure(t, uint64(2+n), "/lots/")
		name := fmt.Sprint("later-", n)
		d.store.put(t, "endpoints", name, registry.Entry{Name: name, Started: 1, Sequence: 1, Service: "lotdesk", Address: "127.0.0.1:2", Zone: "a", Slots: 2})
		is.NoErr(g.follower.Refresh(t.Context()))
		is.Equal(g.endpoints.Snapshot().Total, 2+n)
		is.Equal(g.routes.Load().Version, uint64(2+n))
	}
	is.True(g.metrics.Value("panics_total") > 0)

	state, ok := g.follower.StateSince(follow.Position{}, time.Now())
	is.True(ok)
	is.True(late.follower.InstallState(state, time.Now()))
	is.Equal(late.endpoints.Snapshot().Total, 4)

	update := follow.Update{Feeds: []follow.FeedUpdate{{Topic: "endpoints", From: 1, Next: 8}}}
	for _, f := range state.Feeds {
		if f.Topic == "endpoints" {
			update.Feeds[0].Next, update.Feeds[0].Records = f.Next, append(f.Records, follow.Record{Key: "odd", Value: []byte("0"), Offset: f.Next - 1})
		}
	}
	is.True(peer.follower.ApplyUpdate(update, time.Now()))
	is.Equal(peer.endpoints.Snapshot().Total, 4)
}

// TestPanicOfOneMessage guards against one message of another host that ends the process because its handling panics.
func TestPanicOfOneMessage(t *testing.T) {
	is := is.New(t)
	g := newUnstarted(t, deploy(t))
	g.link = nil // the answer cannot be sent
	g.receiveMessage(&peerlink.Message{From: peers.Host{Name: "other", Zone: "b", PeerAddress: "127.0.0.1:9"}, RequestHosts: true})
	is.Equal(g.metrics.Value("panics_total"), int64(1))
}
