package follow

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reducing returns a host as limited does. Records of more than 100 bytes are invalid if they begin with a question mark, and are cut otherwise.
func reducing(entries, named *fakeStore, maxUnusedBytes int) *host {
	h, _ := limited(entries, named, maxUnusedBytes)
	cfg := h.cfg
	cfg.Feeds[0].Reduce = func(r Record) (Record, bool) {
		if len(r.Value) > 100 && r.Value[0] != '?' {
			r.Value = r.Value[:100]
		}
		return r, len(r.Value) <= 100
	}
	h.Follower = New(cfg)
	return h
}

// TestStartBesideManyRecords guards against hosts that never have a copy, or lack endpoints, because a topic has more records of other programs than they
// keep: invalid ones, large and small, and unconfirmed ones. The configuration arrives while the topic is read, or has been there before.
func TestStartBesideManyRecords(t *testing.T) {
	const limit = 20_000
	for name, value := range map[string]string{"large": "?" + strings.Repeat("x", 10_000), "small": "?", "unconfirmed": "other:1",
		"large unconfirmed": "other:" + strings.Repeat("x", 10_000)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entries, named := &fakeStore{}, &fakeStore{}
			for n := range 500 {
				entries.put(fmt.Sprint("x", n), value)
				entries.put(fmt.Sprint("e", n), "desk:1")
			}
			named.put("n", "desk")
			h := reducing(entries, named, limit)
			is.NoErr(h.Refresh(t.Context()))
			is.Equal(len(h.handler.values), 500)
			is.True(h.Unused().Bytes <= 2*limit)
			is.Equal(h.storeLostCalls, 0)
			is.True(h.Unused().KeysOmitted)

			// A later read of the whole topic keeps the endpoints that it lists, and removes others.
			entries.put("e0", "?")
			entries.put("e1", "")
			entries.put("e2", "?"+strings.Repeat("x", 10_000))
			entries.truncate()
			is.NoErr(h.Refresh(t.Context()))
			is.Equal(len(h.handler.values), 499)
			is.Equal(h.handler.values["e1"], "")

			for n := range 500 { // in the log
				entries.put(fmt.Sprint("y", n), value)
			}
			entries.put("new", "desk:1")
			is.NoErr(h.Refresh(t.Context()))
			is.Equal(len(h.handler.values), 500)
			is.True(h.Unused().Bytes <= 2*limit)
		})
	}
}

// recordwiseStore passes on the newest records one by one until the read is ended.
type recordwiseStore struct {
	*fakeStore
	reads []int // records of each read of the entries
}

func (s *recordwiseStore) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	all, _ := s.fakeStore.Newest(ctx, topic, nil)
	a := Answer{Next: all.Next}
	for n, r := range all.Records {
		if ctx.Err() != nil {
			s.reads = append(s.reads, n)
			return Answer{}, ctx.Err()
		}
		a.Records = keep.Append(a.Records, r)
	}
	s.reads = append(s.reads, len(all.Records))
	return a, nil
}

// TestReadWaitsForConfiguration guards against starting hosts that read all of a large topic before they notice that they need the configuration first.
func TestReadWaitsForConfiguration(t *testing.T) {
	is := is.New(t)
	entries, named := &recordwiseStore{fakeStore: &fakeStore{}}, &fakeStore{}
	for n := range 2000 {
		entries.put(fmt.Sprint("x", n), "?")
	}
	entries.put("e", "desk:1")
	named.put("n", "desk")
	h := reducing(entries.fakeStore, named, 20_000)
	cfg := h.cfg
	cfg.Store = &storeByTopic{entries.fakeStore, map[string]Store{"entries": entries, "names": named}}
	h.Follower = New(cfg)
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, map[string]string{"e": "desk:1"})
	is.Equal(len(entries.reads), 2)
	is.True(entries.reads[0] < 200)
	is.Equal(entries.reads[1], 2001)
}

// stallingStore does not answer reads of whole topics until they are ended.
type stallingStore struct{ *fakeStore }

func (s stallingStore) Newest(ctx context.Context, _ string, _ Keep) (Answer, error) {
	<-ctx.Done()
	return Answer{}, ctx.Err()
}

// TestInstalledStateEndsReads guards against starting hosts whose reads of the store go on after they have a peer's copy, and against hosts that never read
// a topic again whose read was ended so.
func TestInstalledStateEndsReads(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("a", "1")
	peer, started := newHost(s, time.Second), newHost(stallingStore{s}, time.Second)
	is.NoErr(peer.Refresh(t.Context()))
	read := make(chan error, 1)
	go func() { read <- started.Refresh(t.Context()) }()
	for !started.Receiving() {
		time.Sleep(time.Millisecond)
	}
	state, ok := peer.State(time.Now())
	is.True(ok && started.InstallState(state, time.Now()))
	is.NoErr(<-read)
	s.put("a", "2")
	is.NoErr(started.Refresh(t.Context()))
	is.Equal(started.handler.values, map[string]string{"a": "2"})
	is.Equal(started.storeLostCalls, 0)
}
