package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

func (s *memoryStore) Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep follow.Keep, _ func() bool) (follow.Answer, error) {
	sleep(ctx, wait) // no test watches a change
	return s.Read(ctx, topic, from, keep)
}

// fall returns the store to a copy in which each topic has at most the given number of records.
func (s *memoryStore) fall(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, log := range s.logs {
		s.logs[topic] = log[:min(records, len(log))]
	}
	s.epoch++
}

// TestStoreReturnsFromCopy guards against a configuration that goes back and endpoints that are lost because the store returned from an
// older copy: both stay in force, on a host that starts then as well.
func TestStoreReturnsFromCopy(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	d.configure(t, 4, "/lots/", "/bids/")
	d.store.put(t, "endpoints", "e-2", registry.Entry{Name: "e-2", Started: 1, Service: "lotdesk", Address: "127.0.0.1:2", Zone: "a", Slots: 2})
	g, fresh := newUnstarted(t, d), newUnstarted(t, d)
	is.NoErr(g.follower.Refresh(t.Context()))
	d.store.fall(1)
	for range 2 { // topics that were not due in the read that found the new epoch are read at once
		is.NoErr(g.follower.Refresh(t.Context()))
	}
	is.Equal(g.follower.Epoch(), int64(1))
	server := httptest.NewServer(http.HandlerFunc(g.serveState))
	defer server.Close()
	state, err := fetchState(t.Context(), peers.Host{StateAddress: strings.TrimPrefix(server.URL, "http://")}, "?since=1,1,0&epoch=0", idleTransferTimeout)
	is.NoErr(err)
	is.True(!state.Feeds[0].Changes) // offsets of an earlier epoch
	is.True(fresh.follower.InstallState(state, time.Now()))
	for _, h := range []*Gateway{g, fresh} {
		is.Equal(h.routes.Load().Version, uint64(4))
		is.Equal(h.endpoints.Snapshot().Total, 2)
	}
	d.configure(t, 5, "/lots/")
	is.NoErr(fresh.follower.Refresh(t.Context()))
	is.Equal(fresh.routes.Load().Version, uint64(5))
}

// TestHostListIsWrittenAgain guards against a list of the zone's hosts that stays missing in a store that returned from an older copy, also if
// the write was acknowledged before the return and recorded after it.
func TestHostListIsWrittenAgain(t *testing.T) {
	logger := eventlog.New(io.Discard, log.InfoLevel) // its goroutine never ends
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &deployment{store: &memoryStore{logs: map[string][]follow.Record{}}}
		d.configure(t, 3, "/lots/")
		g := New(&Settings{Host: "host", Zone: "a", CallerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"}, d.adapter(), logger)
		link, err := peerlink.Listen("127.0.0.1:0")
		is.NoErr(err)
		defer link.Close()
		g.link = link
		is.NoErr(g.follower.Refresh(t.Context()))
		go g.maintainHostList(t.Context())
		stored := func() int {
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			return len(d.store.logs["hosts"])
		}
		time.Sleep(2 * hostListStableTime)
		is.Equal(stored(), 1)
		for range 2 {
			d.store.fall(0)
			is.NoErr(g.follower.Refresh(t.Context()))
			is.Equal(stored(), 0)
			hosts, _ := g.peers.ZoneHostList(time.Now())
			g.storedHosts.setWritten(hosts, g.follower.Epoch()-1)
			is.True(!g.storedHosts.equals(hosts))
			time.Sleep(hostListWriteInterval + hostListRewriteSpread + 2*sweepInterval)
			is.Equal(stored(), 1)
		}
	})
}

// overtakenStore is a store in which another host's list is written right after the first one of this host, and reaches this host before the
// store's acknowledgement.
type overtakenStore struct {
	*memoryStore
	g    *Gateway
	list []byte
	once sync.Once
}

func (s *overtakenStore) Append(ctx context.Context, topic, key string, value []byte) (epoch int64, err error) {
	epoch, err = s.memoryStore.Append(ctx, topic, key, value)
	s.once.Do(func() {
		_, err = s.memoryStore.Append(ctx, topic, key, s.list)
		hostListHandler{s.g}.Apply(follow.Record{Key: key, Value: s.list, Offset: 1}, false, time.Now())
	})
	return epoch, err
}

// TestOvertakenHostList guards against a list of the zone's hosts that stays out of date in the store, because the host that maintains it takes
// its own write for the newest one after another host has replaced it.
func TestOvertakenHostList(t *testing.T) {
	logger := eventlog.New(io.Discard, log.InfoLevel) // its goroutine never ends
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &deployment{store: &memoryStore{logs: map[string][]follow.Record{}}}
		d.configure(t, 3, "/lots/")
		list, err := cbor.Marshal([]peers.Host{})
		is.NoErr(err)
		store := &overtakenStore{memoryStore: d.store, list: list}
		adapter := d.adapter()
		adapter.Store = store
		g := New(&Settings{Host: "host", Zone: "a", CallerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"}, adapter, logger)
		store.g = g
		link, err := peerlink.Listen("127.0.0.1:0")
		is.NoErr(err)
		defer link.Close()
		g.link = link
		is.NoErr(g.follower.Refresh(t.Context()))
		go g.maintainHostList(t.Context())
		time.Sleep(2*hostListStableTime + hostListWriteInterval + 2*sweepInterval)
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		records := d.store.logs["hosts"]
		is.Equal(len(records), 3) // this host's, the other one's, and this host's again
		is.Equal(records[2].Value, records[0].Value)
	})
}
