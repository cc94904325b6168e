package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestLeavingKnownToReaderOnly guards against hosts that go on using an endpoint that leaves: the host that reads the store for all has marked it
// as leaving by one of its responses, so that its entry changes nothing there. The peers need it nevertheless. An entry that cannot be read is
// not the endpoint's, and of no use to them.
func TestLeavingKnownToReaderOnly(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	reader := newUnstarted(t, d)
	is.NoErr(reader.follower.Refresh(t.Context()))
	id := reader.endpoints.Snapshot().Services["lotdesk"][0].ID
	entry := registry.Entry{Name: "e-1", Started: 1, Sequence: 1, Service: "lotdesk", Address: d.upstream.Listener.Addr().String(), Zone: "a", Slots: 2}
	apply := func() bool {
		entry.Sequence++
		value, err := json.Marshal(entry)
		is.NoErr(err)
		return endpointHandler{reader}.Apply(follow.Record{Key: entry.Name, Value: value, Offset: entry.Sequence}, false, time.Now())
	}
	is.True(!apply()) // only renews the entry
	is.True(reader.endpoints.MarkLeaving(id, true, time.Now()) != nil)
	is.True(!apply())
	entry.Leaving = true
	is.True(apply())
	is.True(!apply())
	is.True(!endpointHandler{reader}.Apply(follow.Record{Key: entry.Name, Value: []byte("{"), Offset: 9}, false, time.Now()))
}

// TestEntriesOfOtherWriters guards against entries of other writers by which an endpoint is added, ended, hidden or moved to another service, by
// which later entries of the endpoint itself are ignored, and against logs that such entries fill. An entry whose service is configured later is
// valid from then on.
func TestEntriesOfOtherWriters(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	g := newUnstarted(t, d)
	own := registry.Entry{Name: "e-1", Started: 1, Sequence: 1, Service: "lotdesk", Address: "127.0.0.1:2", Zone: "a", Slots: 2}
	d.store.put(t, "endpoints", "e-1", own)
	is.NoErr(g.follower.Refresh(t.Context()))
	usable := func(service, address string) bool {
		list := g.endpoints.Snapshot().Services[service]
		return len(list) == 1 && list[0].Address == address && g.endpoints.Snapshot().Total == 1
	}
	is.True(usable("lotdesk", own.Address))
	foreign := own
	foreign.Sequence, foreign.Service = 1_000_000, "pledges"
	for range 3 {
		d.store.put(t, "endpoints", "e-1", "no entry")
		d.store.put(t, "endpoints", "e-1", foreign)
		is.NoErr(g.follower.Refresh(t.Context()))
		is.True(usable("lotdesk", own.Address))
	}
	is.Equal(g.metrics.Value("entries_invalid_total"), int64(6)) // alternating ones are reported again
	own.Sequence, own.Address = 2, "127.0.0.1:3"
	d.store.put(t, "endpoints", "e-1", own)
	is.NoErr(g.follower.Refresh(t.Context()))
	is.True(usable("lotdesk", own.Address))

	d.store.put(t, "endpoints", "e-1", foreign)
	is.NoErr(g.follower.Refresh(t.Context()))
	d.store.put(t, "contract", "config", routing.Config{Version: 4, Services: []routing.Service{{Name: "lotdesk"}, {Name: "pledges"}},
		Routes: []routing.Route{{Name: "r", Host: "shop.example", Prefix: "/", MaxAttempts: 1, Split: []routing.WeightedService{{Service: "pledges", Weight: 1}}}}})
	is.NoErr(g.follower.Refresh(t.Context()))
	is.True(usable("pledges", foreign.Address))
	own.Sequence = 3
	d.store.put(t, "endpoints", "e-1", own)
	is.NoErr(g.follower.Refresh(t.Context()))
	is.True(usable("lotdesk", own.Address)) // the high sequence number of a valid entry does not keep it out either
	_, err := g.store.Append(t.Context(), "endpoints", "e-1", nil)
	is.NoErr(err)
	is.NoErr(g.follower.Refresh(t.Context()))
	is.Equal(g.endpoints.Snapshot().Total, 0)
}
