package gateway

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// putForeign writes records of random bytes to a topic, as another program may.
func (d *deployment) putForeign(topic string, count, bytes int) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	for n := range count {
		value := make([]byte, bytes)
		rand.Read(value)
		log := d.store.logs[topic]
		d.store.logs[topic] = append(log, follow.Record{Key: fmt.Sprint("export-", n), Value: value, Offset: int64(len(log))})
	}
}

// TestStateBesideForeignEntries guards against hosts that exceed their memory when they serve their state, since it has the values of entries that no host
// can use. A host that starts has the endpoints from it.
func TestStateBesideForeignEntries(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	d.putForeign("endpoints", 40, 250_000)
	d.putForeign("hosts", 40, 250_000)
	reader, started := newUnstarted(t, d), newUnstarted(t, d)
	is.NoErr(reader.follower.Refresh(t.Context()))
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		reader.serveState(rec, r)
		served = rec.Body.Len()
		_, _ = w.Write(rec.Body.Bytes()) // fails if the host gives up
	}))
	defer server.Close()
	state, err := fetchState(t.Context(), peers.Host{StateAddress: strings.TrimPrefix(server.URL, "http://")}, "", time.Second)
	is.NoErr(err)
	is.True(served < 100_000)
	is.True(started.follower.InstallState(state, time.Now()))
	is.Equal(started.endpoints.Snapshot().Total, 1)
	is.Equal(started.follower.Unused(), reader.follower.Unused())
}

// TestLargeStateIsRefused guards against hosts that exceed their memory when they decode the state of a host of an earlier version, which has the values of
// all entries. They read the store instead.
func TestLargeStateIsRefused(t *testing.T) {
	is := is.New(t)
	value := make([]byte, 250_000)
	for _, random := range []bool{false, true} { // values that compress well, and some that do not
		if random {
			rand.Read(value)
		}
		var records []follow.Record
		for n := range maxStateBytes/len(value) + 1 {
			records = append(records, follow.Record{Key: fmt.Sprint("export-", n), Value: value, Offset: int64(n)})
		}
		data, err := encodeState(&follow.State{Feeds: []follow.FeedState{{Topic: "endpoints", Next: 1000, Records: records}}})
		is.NoErr(err)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(data) // fails if the host gives up
		}))
		_, err = fetchState(t.Context(), peers.Host{StateAddress: strings.TrimPrefix(server.URL, "http://")}, "", time.Second)
		server.Close()
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "bytes"))
	}
}

// TestUnconfirmedEntriesAreReportedOnce guards against logs and counters that report thousands of entries of another program again with each configuration.
func TestUnconfirmedEntriesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	const entries = 3000
	for n := range entries {
		name := fmt.Sprint("export-", n)
		d.store.put(t, "endpoints", name, registry.Entry{Name: name, Started: 1, Service: "exports", Address: "127.0.0.1:2", Zone: "a", Slots: 1})
	}
	g := newUnstarted(t, d)
	is.NoErr(g.follower.Refresh(t.Context()))
	for version := range uint64(3) {
		d.configure(t, 4+version, "/lots/")
		is.NoErr(g.follower.Refresh(t.Context()))
		is.Equal(g.metrics.Value("entries_invalid_total"), int64(entries))
	}
}
