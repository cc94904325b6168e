package follow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limited returns a host as validating does, which keeps few unused records.
func limited(entries, named *fakeStore, maxUnusedBytes int) (*host, *names) {
	h, n := validating(entries, named)
	cfg := h.cfg
	cfg.MaxUnusedBytes = maxUnusedBytes
	h.Follower = New(cfg)
	return h, n
}

// stateBytes returns the size of the records of a host's state.
func stateBytes(t *testing.T, h *host) (sum int) {
	t.Helper()
	s, ok := h.State(time.Now())
	is.New(t).True(ok)
	for _, fs := range s.Feeds {
		sum += recordBytes(fs.Records)
	}
	return sum
}

// TestInvalidValuesAreDropped guards against hosts that run out of memory because they keep and serve the values of records that no host can use. A removed
// key is forgotten, and a valid record of a key counts at once.
func TestInvalidValuesAreDropped(t *testing.T) {
	is := is.New(t)
	entries, named := &fakeStore{}, &fakeStore{}
	named.put("n", "desk")
	for n := range 100 {
		entries.put(fmt.Sprint("x", n), "?:"+strings.Repeat("x", 100_000))
	}
	reader, _ := validating(entries, named)
	is.NoErr(reader.Refresh(t.Context()))
	is.True(stateBytes(t, reader) < 10_000)
	is.Equal(reader.Unused().Keys, 100)
	copied, _ := validating(entries, named)
	s, _ := reader.State(time.Now())
	is.True(copied.InstallState(s, time.Now()))
	for _, h := range []*host{reader, copied} {
		entries.put("x0", "desk:1")
		entries.put("x1", "")
		is.NoErr(h.Refresh(t.Context()))
		is.Equal(h.handler.values, map[string]string{"x0": "desk:1"})
		is.Equal(h.Unused().Keys, 98)
		is.True(stateBytes(t, h) < 10_000)
	}
	for n := range 100 { // in the log
		entries.put(fmt.Sprint("y", n), "?:"+strings.Repeat("y", 100_000))
	}
	is.NoErr(reader.Refresh(t.Context()))
	is.Equal(reader.Unused().Keys, 98)
	is.True(stateBytes(t, reader) < 10_000)
}

// TestUnconfirmedAmongOthers guards against hosts that lose an endpoint which is registered before the configuration with its service, among thousands of
// entries of another program, on the host that reads them and on one that copies its state.
func TestUnconfirmedAmongOthers(t *testing.T) {
	is := is.New(t)
	entries, named := &fakeStore{}, &fakeStore{}
	for n := range 3000 {
		entries.put(fmt.Sprint("x", n), "other:"+strings.Repeat("x", 200))
	}
	entries.put("e", "desk:1")
	for n := range 3000 {
		entries.put(fmt.Sprint("y", n), "other:"+strings.Repeat("y", 200))
	}
	reader, _ := validating(entries, named)
	is.NoErr(reader.Refresh(t.Context()))
	copied, _ := validating(entries, named)
	s, _ := reader.State(time.Now())
	is.True(copied.InstallState(s, time.Now()))
	named.put("n", "desk")
	for _, h := range []*host{reader, copied} {
		is.NoErr(h.Refresh(t.Context()))
		is.Equal(h.handler.values, map[string]string{"e": "desk:1"})
	}
}

// TestUnconfirmedBeyondLimit guards against hosts that keep any number of unconfirmed records. Such a record counts from its owner's next one on.
func TestUnconfirmedBeyondLimit(t *testing.T) {
	is := is.New(t)
	const limit = 100_000
	entries, named := &fakeStore{}, &fakeStore{}
	for n := range 1000 {
		entries.put(fmt.Sprint("x", n), "other:"+strings.Repeat("x", 1000))
	}
	entries.put("e", "desk:1")
	reader, _ := limited(entries, named, limit)
	is.NoErr(reader.Refresh(t.Context()))
	for n := range 1000 {
		entries.put(fmt.Sprint("y", n), "other:"+strings.Repeat("y", 1000))
	}
	is.NoErr(reader.Refresh(t.Context()))
	is.True(reader.Unused().Bytes <= 2*limit)
	is.True(stateBytes(t, reader) <= 2*limit)
	named.put("n", "desk")
	is.NoErr(reader.Refresh(t.Context()))
	entries.put("e", "desk:2")
	is.NoErr(reader.Refresh(t.Context()))
	is.Equal(reader.handler.values, map[string]string{"e": "desk:2"})
}

// TestEndpointsStayBeyondLimit guards against hosts that drop an endpoint because the peer whose state they copy knows only an unreadable record of it, and
// has no room for all such keys. What the store itself no longer lists is removed.
func TestEndpointsStayBeyondLimit(t *testing.T) {
	is := is.New(t)
	const limit = 10_000
	entries, named := &fakeStore{}, &fakeStore{}
	named.put("n", "desk")
	entries.put("e", "desk:1")
	entries.put("left", "desk:1")
	peer, _ := limited(entries, named, limit)
	is.NoErr(peer.Refresh(t.Context()))
	entries.put("e", "?")
	for n := range 1000 {
		entries.put(fmt.Sprint("x", n), "?")
	}
	started, _ := limited(entries, named, limit)
	is.NoErr(started.Refresh(t.Context()))
	is.True(started.Unused().KeysOmitted)
	is.True(started.Unused().Bytes <= limit)
	copied, _ := limited(entries, named, limit)
	s, _ := started.State(time.Now())
	is.True(copied.InstallState(s, time.Now()))
	is.True(copied.Unused().KeysOmitted)

	entries.put("new", "desk:1")
	is.NoErr(started.Refresh(t.Context()))
	s, _ = started.State(time.Now())
	is.NoErr(peer.installChanges(s, time.Now()))
	is.Equal(peer.handler.values, map[string]string{"e": "desk:1", "left": "desk:1", "new": "desk:1"})

	entries.put("left", "")
	entries.truncate()
	is.NoErr(peer.Refresh(t.Context()))
	is.Equal(peer.handler.values, map[string]string{"e": "desk:1", "new": "desk:1"})
}

// TestForeignRemovalsAreBounded guards against hosts that remember each key that another program has written and removed, and against an endpoint that is used
// again since it was forgotten beside them that it had left.
func TestForeignRemovalsAreBounded(t *testing.T) {
	is := is.New(t)
	entries, named := &fakeStore{}, &fakeStore{}
	named.put("n", "desk")
	entries.put("e", "desk:1")
	entries.put("left", "desk:1")
	h, _ := validating(entries, named)
	is.NoErr(h.Refresh(t.Context()))
	for n := range 10_000 {
		entries.put(fmt.Sprint("x", n), "?")
		entries.put(fmt.Sprint("x", n), "")
	}
	entries.put("left", "")
	is.NoErr(h.Refresh(t.Context()))
	is.True(len(h.departed[0]) <= maxUnknownDepartures+1)
	entries.fall(1) // the store returns from a copy in which the endpoint has not left
	entries.epoch, named.epoch = 1, 1
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, map[string]string{"e": "desk:1"})
}
