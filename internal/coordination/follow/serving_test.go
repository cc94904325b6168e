package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPeerServesWithoutSeldomReadTopic guards against hosts that stay with an older configuration after the store returned from a copy: the store has
// answered one host only, and not yet for a topic that hosts read seldom, and that host sent the others nothing.
func TestPeerServesWithoutSeldomReadTopic(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("config", "1")
	partial := &topicStore{s, ""}
	newPair := func(s Store) *host {
		h := newHostOfTwoTopics(s)
		cfg := h.cfg
		cfg.Feeds[1].AllowGaps = true
		h.Follower = New(cfg)
		return h
	}
	peer, cut := newPair(partial), newPair(s)
	is.NoErr(peer.Refresh(t.Context()))
	is.NoErr(cut.Refresh(t.Context()))
	s.put("config", "2")
	s.epoch++
	partial.unanswered = "u"
	is.True(peer.Refresh(t.Context()) != nil)
	is.True(!peer.Complete())
	cut.catchUpFrom(peer)
	cut.ApplyUpdate(Update{Epoch: 1}, time.Now())
	before := s.calls()
	is.True(!cut.catchUp(t.Context())) // the other topic is missing
	is.Equal(cut.handler.values, map[string]string{"config": "2"})
	is.Equal(s.calls(), before)
	is.True(cut.untilRefresh(time.Now()) <= 0)
}
