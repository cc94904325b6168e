package follow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestRemovedAndWrittenAgainBetweenReads guards against an endpoint that stays missing: a host has read its removal, and another host reads the
// removal and the entry that follows in one read, by which nothing changes there.
func TestRemovedAndWrittenAgainBetweenReads(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("x", "1")
	reader, peer, third := newHost(s, time.Second), newHost(s, time.Second), newHost(s, time.Second)
	for _, h := range []*host{reader, peer, third} {
		is.NoErr(h.Refresh(t.Context()))
	}
	s.put("x", "")
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", "1")
	is.NoErr(reader.Refresh(t.Context()))
	reader.passOn(peer)
	is.Equal(peer.handler.values, map[string]string{"x": "1"})
	reader.passOn(third)
	state, ok := third.StateSince(Position{Offsets: []int64{2}}, time.Now()) // of a host that has read the removal
	is.True(ok)
	is.Equal(len(state.Feeds[0].Records), 1)
}

// TestRemovedBeforeWholeRead guards against an endpoint that stays in use after it has left: a host that was cut off reads the topic as a whole,
// since the store has deleted old records. It has never known the endpoint, so that its update contains no removal.
func TestRemovedBeforeWholeRead(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("kept", "1")
	reader, peer := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(reader.Refresh(t.Context()))
	s.put("x", "1")
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", "")
	s.truncate()
	is.NoErr(reader.Refresh(t.Context()))
	peer.catchUpFrom(reader)
	reader.passOn(peer)
	peer.catchUp(t.Context())
	is.Equal(peer.handler.values, map[string]string{"kept": "1"})
}

// TestChangesKnownFromWholeRead guards against the same through hosts that have got the reader's changes, by its update or from its copy, and
// from which another host fetches what it lacks.
func TestChangesKnownFromWholeRead(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("kept", "1")
	hosts := make([]*host, 5)
	for n := range hosts {
		hosts[n] = newHost(s, time.Second)
	}
	reader, updated, fetched, late, peer := hosts[0], hosts[1], hosts[2], hosts[3], hosts[4]
	for _, h := range hosts[:4] {
		is.NoErr(h.Refresh(t.Context()))
	}
	s.put("x", "1")
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", "")
	s.truncate()
	is.NoErr(reader.Refresh(t.Context()))
	reader.passOn(updated)
	fetched.catchUpFrom(reader)
	late.catchUpFrom(fetched)
	for _, h := range []*host{fetched, late} {
		h.behind = true
		is.True(h.catchUp(t.Context()))
	}
	for _, h := range []*host{reader, updated, fetched, late} {
		for since, whole := range []bool{1: false, 2: true, 3: false} {
			state, ok := h.StateSince(Position{Offsets: []int64{int64(since)}}, time.Now())
			is.True(ok)
			is.True(since == 0 || state.Feeds[0].Changes != whole)
		}
	}
}

// TestWrittenAgainBeforeWholeRead is the same for an endpoint that stays missing, because its entry is nothing new to the reader.
func TestWrittenAgainBeforeWholeRead(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("x", "1")
	reader, peer := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(reader.Refresh(t.Context()))
	s.put("x", "")
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", "1")
	s.truncate()
	is.NoErr(reader.Refresh(t.Context()))
	peer.catchUpFrom(reader)
	reader.passOn(peer)
	peer.catchUp(t.Context())
	is.Equal(peer.handler.values, map[string]string{"x": "1"})
}

// pagedStore answers a read of a whole topic in two pages. between is called once between them.
type pagedStore struct {
	*fakeStore
	between func()
}

func (s *pagedStore) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	if s.between == nil {
		return s.fakeStore.Newest(ctx, topic, keep)
	}
	first, err := s.fakeStore.Newest(ctx, topic, keep)
	s.between()
	s.between = nil
	second, _ := s.fakeStore.Newest(ctx, topic, keep)
	second.Next, second.Torn = first.Next, second.Next > first.Next
	return second, err
}

// TestRecordWrittenDuringWholeRead guards against hosts that go on using an endpoint that leaves: its entry is written while a host reads the
// pages of the whole topic, so that the host has it already when it reads the records from the end of the first page on for all. The same holds
// for an entry that renews that one.
func TestRecordWrittenDuringWholeRead(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		is := is.New(t)
		s := &fakeStore{}
		s.put("x", "1")
		peer, reader := newHost(s, time.Second), newHost(&pagedStore{s, func() { s.put("x", "2") }}, time.Second)
		is.NoErr(peer.Refresh(t.Context()))
		is.NoErr(reader.Refresh(t.Context()))
		is.Equal(reader.handler.values["x"], "2")
		if renewed {
			s.put("x", "2")
		}
		is.NoErr(reader.Refresh(t.Context()))
		reader.passOn(peer)
		is.Equal(peer.handler.values["x"], "2")
	}
}

// TestRecordMissingInOlderWholeRead guards against an endpoint that runs and disappears: a host has its entry from a page that was read after the end
// of its copy, and a read of the whole topic that ends there does not have it.
func TestRecordMissingInOlderWholeRead(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	reader := newHost(&pagedStore{s, func() { s.put("x", "1") }}, time.Second)
	is.NoErr(reader.Refresh(t.Context()))
	state, ok := reader.State(time.Now())
	is.True(ok)
	is.Equal(state.Feeds[0].Next, int64(0))
	h := newHost(&staleStore{s, &fakeStore{}}, time.Second)
	is.True(h.InstallState(state, time.Now()))
	s.truncate()
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, map[string]string{"x": "1"})
	is.Equal(len(h.sent[0].Feeds[0].Records), 0)
}

// topicStore does not answer reads of one topic.
type topicStore struct {
	*fakeStore
	unanswered string
}

func (s *topicStore) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	if topic == s.unanswered {
		return Answer{}, errors.New("no answer")
	}
	return s.fakeStore.Newest(ctx, topic, keep)
}

func (s *topicStore) Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error) {
	if topic == s.unanswered {
		return Answer{}, errors.New("no answer")
	}
	return s.fakeStore.Read(ctx, topic, from, keep)
}

// newHostOfTwoTopics returns a host that has a second topic with the same records.
func newHostOfTwoTopics(s Store) *host {
	h := newHost(s, time.Second)
	cfg := h.cfg
	cfg.Feeds = append(cfg.Feeds, Feed{Topic: "u", Handler: &fakeHandler{values: map[string]string{}}, RefreshesPerRead: 1})
	h.Follower = New(cfg)
	return h
}

// TestOlderStateAfterPartialRead guards against records that a starting host leaves out of its updates: it has read one topic, and then installs
// a peer's older state because the store did not answer for the other one.
func TestOlderStateAfterPartialRead(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("x", "1")
	partial := &topicStore{s, "u"}
	peer, started := newHostOfTwoTopics(s), newHostOfTwoTopics(partial)
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", "2")
	is.True(started.Refresh(t.Context()) != nil)
	state, ok := peer.State(time.Now())
	is.True(ok)
	is.True(started.InstallState(state, time.Now()))
	partial.unanswered = ""
	is.NoErr(started.Refresh(t.Context()))
	peer.catchUpFrom(started)
	started.passOn(peer)
	peer.catchUp(t.Context())
	is.Equal(peer.handler.values["x"], "2")
}

// TestNewerStateAfterPartialRead guards against records that a starting host never uses: it has read one topic, and then installs a peer's state
// of a later epoch of the store, whose offsets were given out before. Keys that the peer lacks are gone after the grace period.
func TestNewerStateAfterPartialRead(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("x", "1")
		s.put("gone", "1")
		s.put("x", "2")
		partial := &topicStore{s, "u"}
		peer, started := newHostOfTwoTopics(s), newHostOfTwoTopics(partial)
		is.True(started.Refresh(t.Context()) != nil)
		s.fall(2)
		is.NoErr(peer.Refresh(t.Context()))
		state, ok := peer.State(time.Now())
		is.True(ok)
		is.True(started.InstallState(state, time.Now()))
		is.Equal(started.handler.values, map[string]string{"x": "2", "gone": "1"})
		s.put("x", "3")
		partial.unanswered = ""
		is.NoErr(started.Refresh(t.Context()))
		is.Equal(started.handler.values["x"], "3")
		time.Sleep(renewalGracePeriod)
		is.NoErr(started.Refresh(t.Context()))
		is.NoErr(started.Refresh(t.Context()))
		is.Equal(started.handler.values, map[string]string{"x": "3"})
	})
}

// TestLostFirstPart guards against a host that takes its copy for current although it missed a part of an update: the other part covers another
// topic from the end of the host's copy on.
func TestLostFirstPart(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	reader, peer := newHostOfTwoTopics(s), newHostOfTwoTopics(s)
	is.NoErr(reader.Refresh(t.Context()))
	is.NoErr(peer.Refresh(t.Context()))
	s.put("x", string(make([]byte, maxUpdateBytes-1)))
	is.NoErr(reader.Refresh(t.Context()))
	parts := reader.sent[1:]
	is.Equal(len(parts), 2)
	peer.ApplyUpdate(parts[1], time.Now())
	is.True(peer.untilRefresh(time.Now()) <= 0)
	is.NoErr(peer.Refresh(t.Context()))
	is.Equal(peer.handler.values, reader.handler.values)
	for _, u := range parts { // late
		peer.ApplyUpdate(u, time.Now())
	}
	is.True(peer.untilRefresh(time.Now()) > 0)
}

// TestRecordInSeveralParts guards against hosts that go on using an endpoint that leaves: two entries of it are in one read, whose first part ends
// between them. A host that gets only this part then takes the update of a host that has read the first entry. Another host has read the first
// entry itself and gets only the second part.
func TestRecordInSeveralParts(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("x", "1")
	first, second, peer, later := newHost(s, time.Second), newHost(s, time.Second), newHost(s, time.Second), newHost(s, time.Second)
	for _, h := range []*host{first, second, peer, later} {
		is.NoErr(h.Refresh(t.Context()))
	}
	s.put("x", "2")
	is.NoErr(second.Refresh(t.Context()))
	s.put("a", string(make([]byte, maxUpdateBytes*2/3)))
	is.NoErr(later.Refresh(t.Context()))
	s.put("b", string(make([]byte, maxUpdateBytes*2/3)))
	s.put("x", "2")
	is.NoErr(first.Refresh(t.Context()))
	is.Equal(len(first.sent), 3) // the first read's and two parts
	peer.ApplyUpdate(first.sent[1], time.Now())
	is.NoErr(second.Refresh(t.Context()))
	for _, u := range second.sent[len(second.sent)-2:] {
		peer.ApplyUpdate(u, time.Now())
	}
	is.Equal(peer.handler.values["x"], "2")
	is.Equal(len(peer.handler.values), 3)

	s.put("x", "3")
	s.put("c", string(make([]byte, maxUpdateBytes*2/3)))
	is.NoErr(later.Refresh(t.Context()))
	s.put("d", string(make([]byte, maxUpdateBytes*2/3)))
	s.put("x", "4")
	is.NoErr(first.Refresh(t.Context()))
	later.ApplyUpdate(first.sent[len(first.sent)-1], time.Now())
	is.Equal(later.handler.values["x"], "4")
	is.Equal(len(later.handler.values), 5)
}

// TestLargeRecordInSeveralParts checks that a record that is needed in a part in which it does not fit is announced.
func TestLargeRecordInSeveralParts(t *testing.T) {
	is := is.New(t)
	value := make([]byte, maxUpdateBytes*2/3)
	updates := split([]FeedUpdate{{Topic: "t", From: 1, Next: 5, Records: []Record{{Key: "x", Value: value, Offset: 4}, {Key: "a", Value: value, Offset: 2},
		{Key: "b", Offset: 3}}, starts: []int64{1, 2, 3}}, {Topic: "u", From: 1, Next: 5, Records: []Record{{Key: "x", Offset: 2}}, starts: []int64{2}}})
	is.Equal(len(updates), 2)
	is.Equal(len(updates[0].Feeds[0].Records), 1)
	is.Equal(updates[0].Feeds[0].Next, int64(2))
	is.Equal(updates[1].Feeds[0], FeedUpdate{Topic: "t", From: 2, Next: 5, RecordsOmitted: true})
	is.Equal(len(updates[1].Feeds[1].Records), 1)
}

// TestRemovalsInOtherOrder guards against removals that a host claims to remember but has dropped, because they were not in the order of their
// offsets.
func TestRemovalsInOtherOrder(t *testing.T) {
	is := is.New(t)
	var r removals
	r.add("first", 0)
	r.add("late", maxRemovals+10)
	for n := range maxRemovals {
		r.add(fmt.Sprint(n), int64(n))
	}
	is.True(!r.complete(maxRemovals + 10))
	is.True(r.complete(maxRemovals + 11))
}
