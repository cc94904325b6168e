package follow

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeByTopic has a store for each topic.
type storeByTopic struct {
	*fakeStore
	topics map[string]Store
}

func (s *storeByTopic) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	return s.topics[topic].Newest(ctx, topic, keep)
}

func (s *storeByTopic) Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error) {
	return s.topics[topic].Read(ctx, topic, from, keep)
}

// names is a handler of a feed whose values the records of another feed may name.
type names struct{ fakeHandler }

// validating returns a host with two feeds of a store. The values of "entries" are valid if they begin with a value of "names" and a colon, and
// invalid if they begin with a question mark.
func validating(entries, named *fakeStore) (*host, *names) {
	n := &names{fakeHandler{values: map[string]string{}}}
	h := newHost(&storeByTopic{entries, map[string]Store{"entries": entries, "names": named}}, time.Second)
	validate := func(r Record) Validity {
		name, _, _ := strings.Cut(string(r.Value), ":")
		for _, known := range n.values {
			if known == name {
				return Valid
			}
		}
		if name == "?" {
			return Invalid
		}
		return Unconfirmed
	}
	cfg := h.cfg
	cfg.Feeds = []Feed{{Topic: "entries", Handler: h.handler, Validate: validate, RefreshesPerRead: 1}, {Topic: "names", Handler: n, RefreshesPerRead: 1}}
	h.Follower = New(cfg)
	return h, n
}

// TestInvalidRecords guards against records of other writers that end, hide or replace the valid record of their key, on the host that reads
// them and on those that copy its state or get its updates, and against a host whose key is taken for removed because a peer knows only an
// invalid record of it.
func TestInvalidRecords(t *testing.T) {
	is := is.New(t)
	entries, named := &fakeStore{}, &fakeStore{}
	named.put("n", "desk")
	entries.put("e", "desk:1")
	reader, _ := validating(entries, named)
	is.NoErr(reader.Refresh(t.Context())) // the names are read after the entries
	is.Equal(reader.handler.values, map[string]string{"e": "desk:1"})

	peer, _ := validating(entries, named)
	is.NoErr(peer.Refresh(t.Context()))
	reader.cfg.SendUpdate = func(u Update) { peer.ApplyUpdate(u, time.Now()) }
	entries.put("e", "desk:2")
	entries.put("e", "?")
	entries.put("e", "later:9")
	entries.put("e", "?")
	is.NoErr(reader.Refresh(t.Context()))
	for _, h := range []*host{reader, peer} {
		is.Equal(h.handler.values, map[string]string{"e": "desk:2"}) // the valid record of the read counts, the others do not
	}
	copied, copiedNames := validating(entries, named)
	s, ok := reader.State(time.Now())
	is.True(ok && copied.InstallState(s, time.Now()))
	is.Equal(copied.handler.values, map[string]string{"e": "desk:2"})

	started, _ := validating(entries, named)
	is.NoErr(started.Refresh(t.Context())) // the store shows it only the last record
	is.Equal(started.handler.values, map[string]string{})
	entries.put("y", "desk:7")
	is.NoErr(started.Refresh(t.Context()))
	s, ok = started.State(time.Now())
	is.True(ok)
	is.NoErr(peer.installChanges(s, time.Now()))
	is.Equal(peer.handler.values, map[string]string{"e": "desk:2", "y": "desk:7"})
	entries.put("y", "")

	named.put("m", "later") // now "later:9" is valid, and the newest valid record
	is.NoErr(reader.Refresh(t.Context()))
	is.NoErr(copied.Refresh(t.Context()))
	is.Equal(copiedNames.values["m"], "later")
	is.Equal(reader.handler.values, map[string]string{"e": "later:9"})
	is.Equal(copied.handler.values, map[string]string{"e": "later:9"})
	entries.put("e", "desk:3")
	is.NoErr(reader.Refresh(t.Context()))
	is.Equal(reader.handler.values, map[string]string{"e": "desk:3"})
	entries.put("e", "")
	entries.put("e", "?")
	is.NoErr(reader.Refresh(t.Context()))
	is.Equal(reader.handler.values, map[string]string{}) // a removal counts also if another writer's record follows it
}
