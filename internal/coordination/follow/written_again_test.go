package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestKeyWrittenAgainBeforeFirstRead guards against an evacuation that is ignored for a minute: the key was removed before the store returned from a
// copy, and is written again after the return, before a host has read the topic. It also guards against a removed key that comes back into force
// because the copy lacks its removal.
func TestKeyWrittenAgainBeforeFirstRead(t *testing.T) {
	for _, c := range []struct {
		name  string
		lost  int      // newest records that the copy lacks: of config, x, the removal of x, y
		again []string // keys that are written after the return
		inUse bool
	}{
		{"copy with the removal", 1, []string{"x"}, true},
		{"copy with the removal, other keys first", 1, []string{"y", "config", "x"}, true},
		{"copy without the removal, in its place", 2, []string{"x"}, true},
		{"copy without the removal, later", 2, []string{"y", "x"}, true},
		{"copy with the removal, not written again", 1, []string{"y"}, false},
		{"copy without the removal, not written again", 2, nil, false},
		{"copy without the removal, other keys written", 2, []string{"y", "config"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeStore{}
			follower, taker, starter := newHost(s, time.Second), newHost(s, time.Second), newHost(s, time.Second)
			s.put("config", "1")
			s.put("x", "1")
			for _, h := range []*host{follower, taker} {
				is.NoErr(h.Refresh(t.Context()))
			}
			s.put("x", "")
			s.put("y", "1")
			for _, h := range []*host{follower, taker} {
				is.NoErr(h.Refresh(t.Context()))
			}
			s.fall(c.lost)
			for _, key := range c.again {
				s.put(key, "1")
			}
			is.NoErr(follower.Refresh(t.Context()))
			taker.catchUpFrom(follower)
			follower.passOn(taker)
			taker.catchUp(t.Context())
			state, ok := follower.State(time.Now())
			is.True(ok)
			is.True(starter.InstallState(state, time.Now()))
			for _, h := range []*host{follower, taker, starter} {
				_, inUse := h.handler.values["x"]
				is.Equal(inUse, c.inUse)
			}
		})
	}
}

// TestRemovalOfUnknownKey guards against hosts that disagree on a removed key: one that learned of the key and its removal in one read uses it when the
// store has returned from a copy without the removal.
func TestRemovalOfUnknownKey(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	h := newHost(s, time.Second)
	s.put("config", "1")
	is.NoErr(h.Refresh(t.Context()))
	s.put("x", "1")
	s.put("x", "")
	is.NoErr(h.Refresh(t.Context()))
	s.fall(1)
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, map[string]string{"config": "1"})
}

// splitStore has the records of the second topic of newHostOfTwoTopics in a store of its own.
type splitStore struct {
	*fakeStore
	second *fakeStore
}

func (s *splitStore) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	if topic == "u" {
		return s.second.Newest(ctx, topic, keep)
	}
	return s.fakeStore.Newest(ctx, topic, keep)
}

func (s *splitStore) Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error) {
	if topic == "u" {
		return s.second.Read(ctx, topic, from, keep)
	}
	return s.fakeStore.Read(ctx, topic, from, keep)
}

// TestCopyFromBeforeRemovedKey guards against an evacuation that is ignored for a minute: the store returns from a copy that was made before the zone was
// evacuated for the first time, and the new record has the offset of the old one. How far the other topics have fallen back tells the two apart.
func TestCopyFromBeforeRemovedKey(t *testing.T) {
	for _, c := range []struct {
		lost  int // seconds that the copy lacks, with one record of the endpoints' topic each
		inUse bool
	}{{25, true}, {14, false}, {6, false}} {
		t.Run(fmt.Sprint(c.lost), func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				config, entries := &fakeStore{}, &fakeStore{}
				h := newHostOfTwoTopics(&splitStore{config, entries})
				pass := func(seconds int) {
					for range seconds {
						entries.put("e", fmt.Sprint(len(entries.log)))
						is.NoErr(h.Refresh(t.Context()))
						time.Sleep(time.Second)
					}
				}
				config.put("version", "1")
				pass(10)
				config.put("zone", "1") // 20 s before the return
				pass(10)
				config.put("zone", "") // 10 s before the return
				pass(10)
				entries.fall(c.lost)
				switch {
				case c.lost > 20:
					config.fall(2)
					config.put("zone", "1")
				case c.lost > 10:
					config.fall(1)
				default:
					config.fall(0)
				}
				entries.put("e", "100")
				is.NoErr(h.Refresh(t.Context()))
				_, inUse := h.handler.values["zone"]
				is.Equal(inUse, c.inUse)
			})
		})
	}
}
