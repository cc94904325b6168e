package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// staleStore answers reads of a whole topic from an earlier view.
type staleStore struct {
	*fakeStore
	view *fakeStore // nil for the current one
}

func (s *staleStore) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	if s.view != nil {
		return s.view.Newest(ctx, topic, keep)
	}
	return s.fakeStore.Newest(ctx, topic, keep)
}

// TestStaleWholeRead guards against endpoints that disappear for good: a read of the whole topic that is older than this host's copy
// removes nothing, here or on the peers, and the next read is a whole one again, so that nothing stays unread.
func TestStaleWholeRead(t *testing.T) {
	is := is.New(t)
	s := &staleStore{fakeStore: &fakeStore{}}
	s.put("x", "1")
	view := &fakeStore{log: s.log[:1:1]}
	h, peer := newHost(s, time.Second), newHost(s, time.Second)
	s.put("y", "2")
	is.NoErr(h.Refresh(t.Context()))
	is.NoErr(peer.Refresh(t.Context()))
	both := map[string]string{"x": "1", "y": "2"}
	s.view, s.firstOffset = view, 3
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, both)
	peer.ApplyUpdate(h.sent[len(h.sent)-1], time.Now())
	is.Equal(peer.handler.values, both)
	s.view, s.firstOffset = nil, 0
	s.put("z", "3")
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, map[string]string{"x": "1", "y": "2", "z": "3"})
	is.Equal(s.newestCalls, 3) // the first reads and the one after the stale read
}

// TestRemovalUnknownToReader guards against an endpoint that stays in use on a host after it has left: the reader, which was cut off for a
// while, learns of the endpoint and its removal in one read, and the removal is nothing new to it.
func TestRemovalUnknownToReader(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	reader, peer := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(reader.Refresh(t.Context()))
	s.put("x", "1")
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", "")
	is.NoErr(reader.Refresh(t.Context()))
	peer.ApplyUpdate(reader.sent[len(reader.sent)-1], time.Now())
	is.Equal(peer.handler.values, map[string]string{})
}

// TestReusedOffsets guards against records that are never read, because a store that returned from a copy gave out the offsets of lost
// records again, and against hosts that take a peer's update of the earlier epoch.
func TestReusedOffsets(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("kept", "1")
	s.put("lost", "1")
	h, peer, old := newHost(s, time.Second), newHost(s, time.Second), newHost(s, time.Second)
	for _, each := range []*host{h, peer, old} {
		is.NoErr(each.Refresh(t.Context()))
	}
	s.put("lost", "2")
	is.NoErr(old.Refresh(t.Context()))
	late := old.sent[len(old.sent)-1]
	s.fall(2)
	s.put("new", "1")
	s.put("newer", "1")
	is.NoErr(h.Refresh(t.Context()))
	want := map[string]string{"kept": "1", "lost": "1", "new": "1", "newer": "1"}
	is.Equal(h.handler.values, want)
	is.Equal(h.epochChanges, []EpochChange{{Old: 0, New: 1, HadCopy: true, Kept: 2}})
	peer.catchUpFrom(h)
	peer.ApplyUpdate(h.sent[len(h.sent)-1], time.Now())
	is.True(peer.catchUp(t.Context()))
	is.True(!peer.ApplyUpdate(late, time.Now().Add(time.Second)))
	is.Equal(peer.handler.values, want)
}

// TestEpochLoadsNoStore guards against a burst of reads by all hosts of a large zone after a change of the epoch: the host that finds it reads
// the topic, and the others fetch that host's copy.
func TestEpochLoadsNoStore(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		s.put("lost", "1")
		reader := newHost(s, 600*time.Millisecond)
		hosts := []*host{reader}
		for range 60 {
			h := newHost(s, 1500*time.Millisecond)
			h.catchUpFrom(reader)
			hosts = append(hosts, h)
		}
		reader.cfg.SendUpdate = func(u Update) {
			for _, h := range hosts[1:] {
				h.ApplyUpdate(u, time.Now())
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, h := range hosts {
			is.NoErr(h.Refresh(ctx))
			wg.Go(func() { h.Run(ctx) })
		}
		time.Sleep(500 * time.Millisecond)
		s.fall(1)
		s.put("new", "1")
		before := s.calls()
		time.Sleep(3 * time.Second)
		calls := s.calls() - before
		cancel()
		wg.Wait()
		for _, h := range hosts {
			is.Equal(h.Epoch(), int64(1))
			is.Equal(h.handler.values, map[string]string{"a": "1", "new": "1"}) // the store lacks the other key after the grace period
		}
		is.True(calls <= 7) // the reader's own: one every 0.6 s, and one of the whole topic
	})
}
