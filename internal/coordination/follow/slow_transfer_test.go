package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// slowTopicStore is a fakeStore whose reads of the topic "large" take slowRead.
type slowTopicStore struct {
	*fakeStore
	slowRead time.Duration
}

func (s slowTopicStore) Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error) {
	if topic == "large" {
		pause(ctx, s.slowRead)
		if ctx.Err() != nil {
			return Answer{}, ctx.Err()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return Answer{Records: slices.Clone(s.log[from:]), Next: int64(len(s.log))}, nil
	}
	return s.fakeStore.Read(ctx, topic, from, keep)
}

// newSlowTopicHost returns a host that follows the topics "t" and "large", and the handler of the latter.
func newSlowTopicHost(s *fakeStore, slowRead time.Duration) (*host, *fakeHandler) {
	h := newHost(slowTopicStore{s, slowRead}, time.Second)
	large := &fakeHandler{values: map[string]string{}}
	h.cfg.Feeds = append(h.cfg.Feeds, Feed{Topic: "large", Handler: large, RefreshesPerRead: 1})
	h.Follower = New(h.cfg)
	return h, large
}

// values returns what the handlers of a host have applied.
func (h *host) values(handlers ...*fakeHandler) (list []map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, handler := range handlers {
		list = append(list, maps.Clone(handler.values))
	}
	return list
}

// TestSlowTopicDelaysNoOther guards against requests to endpoints that have left: a large record of one topic takes seconds to read over a
// slow link, and the changes of the other topics are not read or applied meanwhile.
func TestSlowTopicDelaysNoOther(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h, large := newSlowTopicHost(s, 10*time.Second)
		stop := h.run(t)
		defer stop()
		time.Sleep(2500 * time.Millisecond) // the read of the large topic has begun
		s.put("a", "1")
		time.Sleep(2 * time.Second)
		is.Equal(h.values(h.handler, large), []map[string]string{{"a": "1"}, {}})
		age, _ := h.Age(time.Now())
		is.True(age > 4*time.Second) // the copy is as old as its oldest topic
		h.mu.Lock()
		for _, u := range h.sent[1:] {
			is.True(u.Partial) // the peers' copies are as old as before
		}
		h.mu.Unlock()
		before := s.calls()
		time.Sleep(10 * time.Second)
		is.Equal(h.values(h.handler, large), []map[string]string{{"a": "1"}, {"a": "1"}})
		is.True(s.calls()-before <= 13)
		is.Equal(h.storeLostCalls, 0)
	})
}

// TestLostUpdateOfSlowRefresh guards against a host that takes its copy for complete although it has missed an update that was sent while a
// topic was still being read.
func TestLostUpdateOfSlowRefresh(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		reader, _ := newSlowTopicHost(s, 3300*time.Millisecond)
		late, _ := newSlowTopicHost(s, 0)
		is.NoErr(late.Refresh(t.Context()))
		stop := reader.run(t)
		time.Sleep(500 * time.Millisecond)
		s.put("a", "1")
		time.Sleep(5 * time.Second)
		stop()
		for _, u := range reader.sent {
			if !u.Partial && u.AgeMS >= 3300 { // the slow read has ended
				late.ApplyUpdate(u, time.Now())
				is.True(late.behind)
				return
			}
		}
		is.Fail() // no update after the slow read
	})
}

// TestAgeAfterSlowRead guards against a copy that counts as newer than the last read of one of its topics: a slow read ends while the next refresh
// reads the other topic, or after a read of the other topic has failed.
func TestAgeAfterSlowRead(t *testing.T) {
	for range 20 {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			h, _ := newSlowTopicHost(&fakeStore{}, 3*time.Second) // begins after one second
			stop := h.run(t)
			defer stop()
			time.Sleep(4500 * time.Millisecond)
			age, _ := h.Age(time.Now())
			is.True(age >= 3500*time.Millisecond)
		})
	}
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h, _ := newSlowTopicHost(s, 3*time.Second)
		stop := h.run(t)
		defer stop()
		s.mu.Lock()
		s.outage = errors.New("the topic cannot be read")
		s.mu.Unlock()
		time.Sleep(4500 * time.Millisecond)
		age, _ := h.Age(time.Now())
		is.Equal(age, 4500*time.Millisecond)
	})
}

// TestPeerReplacesSlowRead guards against a host that gets a large change late because it has begun to read it from the store, while a peer
// has it and sends it compressed.
func TestPeerReplacesSlowRead(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h, large := newSlowTopicHost(s, 10*time.Second)
		h.cfg.FetchChanges = func(ctx context.Context, _ Position) (*State, error) {
			pause(ctx, 300*time.Millisecond)
			records := []Record{{Key: "a", Value: []byte("1")}}
			return &State{AgeMS: 300, Feeds: []FeedState{{Topic: "t", Next: 1, Records: records}, {Topic: "large", Next: 1, Records: records}}}, nil
		}
		h.cfg.OnCatchUpFailed = func(error) { h.catchUpFailures++ }
		stop := h.run(t)
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		s.put("a", "1")
		h.ApplyUpdate(Update{Feeds: []FeedUpdate{{Topic: "large", From: 0, Next: 1, RecordsOmitted: true}}}, time.Now())
		time.Sleep(400 * time.Millisecond)
		is.Equal(h.values(h.handler, large), []map[string]string{{"a": "1"}, {"a": "1"}})
		before := s.calls()
		time.Sleep(1500 * time.Millisecond)
		is.Equal(h.catchUpFailures, 0)
		is.Equal(h.storeLostCalls, 0)
		is.True(s.calls()-before <= 4) // the read that a peer's state has replaced has ended, and the topic is read again
	})
}

// TestSlowPeerDelaysNoRead guards against a host that stays behind while its peer's link is squeezed: the transfer makes progress, but takes
// far longer than a read of the store.
func TestSlowPeerDelaysNoRead(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h := newHost(s, time.Second)
		h.cfg.FetchChanges = func(ctx context.Context, _ Position) (*State, error) {
			pause(ctx, 20*time.Second)
			return nil, errors.New("the transfer ended early")
		}
		h.cfg.OnCatchUpFailed = func(error) { h.catchUpFailures++ }
		stop := h.run(t)
		defer stop()
		s.put("a", "1")
		h.ApplyUpdate(Update{Feeds: []FeedUpdate{{Topic: "t", From: 0, Next: 1, RecordsOmitted: true}}}, time.Now().Add(time.Millisecond))
		time.Sleep(2 * time.Second)
		is.Equal(h.values(h.handler), []map[string]string{{"a": "1"}})
		is.True(s.calls() <= 3) // the first read, that beside the transfer, and the next one
	})
}

// TestOlderWholeRead guards against endpoints that come back after they have left: a slow read of a whole topic ends after later records have
// arrived from a peer.
func TestOlderWholeRead(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		h := newHost(s, time.Second)
		is.NoErr(h.Refresh(t.Context()))
		s.put("b", "1")
		s.firstOffset = 2 // the store has deleted older records
		answer, err := s.Newest(t.Context(), "t", nil)
		is.NoErr(err)
		h.cfg.Store = slowNewestStore{s, func() (Answer, error) {
			pause(t.Context(), 5*time.Second)
			return answer, nil
		}}
		ended := make(chan error, 1)
		go func() { ended <- h.Refresh(t.Context()) }()
		time.Sleep(time.Second)
		h.ApplyUpdate(Update{Feeds: []FeedUpdate{{Topic: "t", From: 1, Next: 3,
			Records: []Record{{Key: "b", Value: []byte("1"), Offset: 1}, {Key: "a", Offset: 2}}}}}, time.Now())
		is.NoErr(<-ended)
		is.Equal(h.values(h.handler), []map[string]string{{"b": "1"}})
		state, _ := h.State(time.Now())
		is.Equal(len(state.Feeds[0].Records), 1)
	})
}

// slowNewestStore is a fakeStore with another Newest.
type slowNewestStore struct {
	*fakeStore
	newest func() (Answer, error)
}

func (s slowNewestStore) Newest(context.Context, string, Keep) (Answer, error) { return s.newest() }
