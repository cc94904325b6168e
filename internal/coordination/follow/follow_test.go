package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// fakeStore is a store in memory that has the same records in each topic.
type fakeStore struct {
	mu          sync.Mutex
	epoch       int64
	log         []Record
	firstOffset int64 // lowest offset that Read accepts
	outage      error // returned by Newest and Read during an outage; nil otherwise
	readCalls   int   // number of calls of Read
	newestCalls int   // number of calls of Newest
	watchCalls  int   // number of calls of Watch
	hasty       bool  // Watch does not wait
}

// put appends a record; an empty value removes the key.
func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Record{Key: key, Offset: int64(len(s.log))}
	if value != "" {
		r.Value = []byte(value)
	}
	s.log = append(s.log, r)
}

func (s *fakeStore) Newest(_ context.Context, _ string, keep Keep) (Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestCalls++
	newest := map[string]Record{}
	for _, r := range s.log {
		newest[r.Key] = r
	}
	var list []Record
	for _, r := range newest {
		if r.Value != nil {
			list = keep.Append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return int(a.Offset - b.Offset) })
	return Answer{Epoch: s.epoch, Records: list, Next: int64(len(s.log))}, s.outage
}

func (s *fakeStore) Read(_ context.Context, _ string, from int64, keep Keep) (Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCalls++
	if s.outage != nil {
		return Answer{Epoch: s.epoch}, s.outage
	}
	if from < s.firstOffset || from > int64(len(s.log)) {
		return Answer{Epoch: s.epoch}, ErrTruncated
	}
	var list []Record
	for _, r := range s.log[from:] {
		list = keep.Append(list, r)
	}
	return Answer{Epoch: s.epoch, Records: list, Next: int64(len(s.log))}, nil
}

// calls returns the number of calls of Read and Newest.
func (s *fakeStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readCalls + s.newestCalls
}

// Append is never called by these tests.
func (s *fakeStore) Append(context.Context, string, string, []byte) (int64, error) {
	return s.epoch, nil
}

// fall returns the store to a copy that lacks its newest records.
func (s *fakeStore) fall(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = s.log[:len(s.log)-records]
	s.firstOffset = min(s.firstOffset, int64(len(s.log)))
	s.epoch++
}

// truncate deletes the log. The newest record of each key remains.
func (s *fakeStore) truncate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstOffset = int64(len(s.log))
}

// fakeHandler keeps the newest value of each key, and the recentOutage argument of the last call of Apply.
type fakeHandler struct {
	values       map[string]string
	recentOutage bool
}

func (f *fakeHandler) Apply(r Record, recentOutage bool, _ time.Time) bool {
	f.recentOutage = recentOutage
	if r.Value == nil {
		_, known := f.values[r.Key]
		delete(f.values, r.Key)
		return known
	}
	changed := f.values[r.Key] != string(r.Value)
	f.values[r.Key] = string(r.Value)
	return changed
}

// Compare orders values as strings.
func (f *fakeHandler) Compare(a, b Record) (order int, renewal bool) {
	return strings.Compare(string(a.Value), string(b.Value)), false
}

func (f *fakeHandler) RetainKeys(keys map[string]bool, _ bool, _ time.Time) {
	for k := range f.values {
		if !keys[k] {
			delete(f.values, k)
		}
	}
}

// host is a follower with its handler, the updates that it sent, and the numbers of calls of OnStoreLost and OnStoreRecovered.
type host struct {
	*Follower
	handler             *fakeHandler
	sent                []Update
	storeLostCalls      int
	storeRecoveredCalls int
	catchUpFailures     int
	epochChanges        []EpochChange
}

func newHost(s Store, maxAge time.Duration) *host {
	h := &host{handler: &fakeHandler{values: map[string]string{}}}
	h.Follower = New(Config{Store: s, Feeds: []Feed{{Topic: "t", Handler: h.handler, RefreshesPerRead: 1}},
		MaxAge:     func() time.Duration { return maxAge },
		SendUpdate: func(u Update) { h.sent = append(h.sent, u) }, OnRefresh: func(RefreshInfo) {},
		OnStoreLost:      func(error) { h.storeLostCalls++ },
		OnStoreRecovered: func(time.Duration) { h.storeRecoveredCalls++ }, OnRefreshFailed: func(time.Time) {},
		OnEpochChange: func(c EpochChange) { h.epochChanges = append(h.epochChanges, c) }})
	return h
}

// TestOneReaderForAll checks that a host with a later rank makes only its first call to the store while it receives the updates of the
// first-ranked host.
func TestOneReaderForAll(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		first, second := newHost(s, 600*time.Millisecond), newHost(s, 900*time.Millisecond)
		first.cfg.SendUpdate = func(u Update) { second.ApplyUpdate(u, time.Now()) }
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { first.Run(ctx) })
		wg.Go(func() { second.Run(ctx) })
		for i := range 20 {
			time.Sleep(300 * time.Millisecond)
			s.put("k", fmt.Sprint(i))
		}
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
		is.Equal(second.handler.values["k"], "19")
		is.Equal(s.newestCalls, 2)
		is.True(s.readCalls <= 12) // 7 s with a read every 0.6 s
	})
}

// TestReadsWithoutUpdates guards against a stale copy if the first-ranked host cannot reach the store or its peers: a host that receives
// no updates reads the store itself.
func TestReadsWithoutUpdates(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h := newHost(s, 900*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { h.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		s.put("k", "new")
		time.Sleep(900 * time.Millisecond)
		cancel()
		wg.Wait()
		is.Equal(h.handler.values["k"], "new")
	})
}

// TestMissedUpdate guards against missing records after the loss of a datagram: the gap before the next update makes the host read the
// store.
func TestMissedUpdate(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(a.Refresh(t.Context()))
	is.NoErr(b.Refresh(t.Context()))
	s.put("x", "1")
	is.NoErr(a.Refresh(t.Context())) // b does not receive this update
	s.put("y", "2")
	is.NoErr(a.Refresh(t.Context()))
	is.True(b.ApplyUpdate(a.sent[len(a.sent)-1], time.Now()))
	is.True(b.untilRefresh(time.Now()) <= 0)
	is.Equal(len(b.handler.values), 0) // nothing is applied out of order
	is.NoErr(b.Refresh(t.Context()))
	is.Equal(b.handler.values, map[string]string{"x": "1", "y": "2"})
}

// TestOldUpdate guards against an update that arrives late: it must neither lower the age of the copy nor replace newer records.
func TestOldUpdate(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(a.Refresh(t.Context()))
	s.put("x", "1")
	is.NoErr(a.Refresh(t.Context()))
	s.put("x", "2")
	is.NoErr(b.Refresh(t.Context()))
	old := a.sent[len(a.sent)-1]
	old.AgeMS = 60_000
	is.True(!b.ApplyUpdate(old, time.Now()))
	is.Equal(b.handler.values["x"], "2")
}

// TestTruncated guards against a stale copy if the store has deleted the records after the host's offset: the host reads the whole topic
// and removes the keys that no longer exist.
func TestTruncated(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("gone", "1")
	h := newHost(s, time.Second)
	is.NoErr(h.Refresh(t.Context()))
	s.put("gone", "")
	s.put("new", "2")
	s.firstOffset = 3
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values, map[string]string{"new": "2"})
}

// TestUpdateAfterTruncation guards against a read of the whole topic by every host when the store deletes old records: the update of the
// first host that reads it contains all changes, removals included.
func TestUpdateAfterTruncation(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("gone", "1")
	s.put("kept", "1")
	a, b := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(a.Refresh(t.Context()))
	is.NoErr(b.Refresh(t.Context()))
	s.put("gone", "")
	s.put("new", "2")
	s.firstOffset = 4
	is.NoErr(a.Refresh(t.Context()))
	calls := s.newestCalls
	b.ApplyUpdate(a.sent[len(a.sent)-1], time.Now())
	is.Equal(b.handler.values, map[string]string{"kept": "1", "new": "2"})
	is.True(b.untilRefresh(time.Now()) > 0)
	is.Equal(s.newestCalls, calls)
}

// TestManyChanges guards against a read by every host when many endpoints start at once: changes that do not fit into one datagram are sent
// in several updates, and a host that misses one of these reads the store.
func TestManyChanges(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b, c := newHost(s, time.Second), newHost(s, time.Second), newHost(s, time.Second)
	for _, h := range []*host{a, b, c} {
		is.NoErr(h.Refresh(t.Context()))
	}
	for i := range 100 {
		s.put(fmt.Sprint(i), string(make([]byte, 1000)))
	}
	is.NoErr(a.Refresh(t.Context()))
	parts := a.sent[1:]
	is.True(len(parts) > 1)
	for n, u := range parts {
		is.Equal(u.Partial, n < len(parts)-1)
		b.ApplyUpdate(u, time.Now())
		if n != 1 {
			c.ApplyUpdate(u, time.Now())
		}
	}
	is.Equal(len(b.handler.values), 100)
	is.True(b.untilRefresh(time.Now()) > 0)
	is.True(c.untilRefresh(time.Now()) <= 0)
}

// TestLargeChange guards against datagrams that are too large: a record that does not fit is left out, and the update says so, so that the
// receiver reads the store.
func TestLargeChange(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(a.Refresh(t.Context()))
	is.NoErr(b.Refresh(t.Context()))
	s.put("x", string(make([]byte, maxUpdateBytes+1)))
	is.NoErr(a.Refresh(t.Context()))
	u := a.sent[len(a.sent)-1]
	is.True(u.Feeds[0].RecordsOmitted)
	is.Equal(len(u.Feeds[0].Records), 0)
	b.ApplyUpdate(u, time.Now())
	is.True(b.untilRefresh(time.Now()) <= 0)
}

// TestStoreOutage checks that the copy survives an outage of the store, that OnStoreLost and OnStoreRecovered are called once each, and
// that the first read after the outage is reported to the handler and to the peers as one after a recent outage.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("x", "1")
	h := newHost(s, time.Second)
	is.NoErr(h.Refresh(t.Context()))
	s.outage = errors.New("503")
	is.True(h.Refresh(t.Context()) != nil)
	is.True(h.Refresh(t.Context()) != nil)
	is.Equal(h.storeLostCalls, 1)
	is.True(h.FailingFor(time.Now().Add(time.Second)) > 0)
	is.Equal(h.handler.values["x"], "1")
	s.outage = nil
	s.put("x", "")
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.storeRecoveredCalls, 1)
	is.True(h.handler.recentOutage)
	is.True(h.sent[len(h.sent)-1].RecentOutage)
	is.Equal(h.FailingFor(time.Now()), time.Duration(0))
}

// TestLocalFailureIsNoOutage guards against requests to a removed endpoint. If a host that alone cannot reach the store took its own
// failure for an outage, it and the receivers of its updates would keep the removed entry too long. While its peers read the store, a
// removal takes effect at once. Found by soak seed 515.
func TestLocalFailureIsNoOutage(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("x", "1")
		peer, h := newHost(s, time.Second), newHost(s, time.Second)
		peer.cfg.SendUpdate = func(u Update) { h.ApplyUpdate(u, time.Now()) }
		is.NoErr(peer.Refresh(t.Context()))
		is.NoErr(h.Refresh(t.Context()))
		for range 4 {
			time.Sleep(600 * time.Millisecond)
			is.NoErr(peer.Refresh(t.Context()))
			s.outage = errors.New("reset")
			is.True(h.Refresh(t.Context()) != nil)
			s.outage = nil
		}
		s.put("x", "")
		is.NoErr(h.Refresh(t.Context()))
		is.True(!h.handler.recentOutage)
		is.True(!h.sent[len(h.sent)-1].RecentOutage)
	})
}

// TestRecoveryAfterLongOutage guards against the early removal of endpoints after a long outage, in which a host seldom retries: the outage
// counts as recent for two seconds from its end, not from the host's last failed read. Hosts that report the outage to each other do not
// prolong this time.
func TestRecoveryAfterLongOutage(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("x", "1")
		h, peer := newHost(s, time.Second), newHost(s, time.Second)
		both := []*host{h, peer}
		for i := range both {
			is.NoErr(both[i].Refresh(t.Context()))
			both[i].cfg.SendUpdate = func(u Update) {
				both[i].sent = append(both[i].sent, u)
				both[1-i].ApplyUpdate(u, time.Now())
			}
		}
		s.outage = errors.New("503")
		is.True(h.Refresh(t.Context()) != nil)
		is.True(peer.Refresh(t.Context()) != nil)
		time.Sleep(3 * time.Second)
		s.outage = nil
		s.put("x", "")
		is.NoErr(h.Refresh(t.Context()))
		is.True(h.handler.recentOutage)
		is.True(peer.handler.recentOutage)
		for n := range 20 { // 6 s
			time.Sleep(300 * time.Millisecond)
			is.NoErr(both[n%2].Refresh(t.Context()))
		}
		is.True(!h.sent[len(h.sent)-1].RecentOutage)
		is.True(!peer.sent[len(peer.sent)-1].RecentOutage)
	})
}

// TestRetriesSlowDown guards against too many calls to a store that refuses them, and against too long pauses: a pause is at most three
// times the host's MaxAge.
func TestRetriesSlowDown(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{outage: errors.New("429")}
		h := newHost(s, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		h.Run(ctx)
		is.True(s.newestCalls <= 13)
		is.True(s.newestCalls >= 10)
	})
}

// TestOneCallPerRetry guards against many calls to the store during an outage in a large deployment: each retry reads only one topic
// until the store answers again, and then all of them.
func TestOneCallPerRetry(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	h := newHost(s, time.Second)
	second := &fakeHandler{values: map[string]string{}}
	h.Follower = New(Config{Store: s, Feeds: []Feed{{Topic: "t", Handler: h.handler}, {Topic: "u", Handler: second}}, MaxAge: h.cfg.MaxAge,
		SendUpdate: h.cfg.SendUpdate, OnRefresh: h.cfg.OnRefresh, OnStoreLost: h.cfg.OnStoreLost, OnStoreRecovered: h.cfg.OnStoreRecovered,
		OnRefreshFailed: h.cfg.OnRefreshFailed})
	is.NoErr(h.Refresh(t.Context()))
	s.outage = errors.New("503")
	is.True(h.Refresh(t.Context()) != nil)
	before := s.readCalls
	for range 5 {
		is.True(h.Refresh(t.Context()) != nil)
	}
	is.Equal(s.readCalls-before, 5)
	s.outage = nil
	s.put("x", "1")
	is.NoErr(h.Refresh(t.Context()))
	is.Equal(h.handler.values["x"], "1")
	is.Equal(second.values["x"], "1")
}

// TestInstallState checks that a host that installs a peer's state has the peer's copy without a call to the store, and continues reading
// at the peer's offset.
func TestInstallState(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	s.put("a", "1")
	s.put("b", "2")
	old, fresh := newHost(s, time.Second), newHost(s, time.Second)
	is.NoErr(old.Refresh(t.Context()))
	s.put("b", "")
	s.put("c", "3")
	is.NoErr(old.Refresh(t.Context()))
	state, ok := old.State(time.Now())
	is.True(ok)
	calls := s.readCalls + s.newestCalls
	is.True(fresh.InstallState(state, time.Now()))
	is.Equal(fresh.handler.values, map[string]string{"a": "1", "c": "3"})
	is.Equal(s.readCalls+s.newestCalls, calls)
	s.put("d", "4")
	is.NoErr(fresh.Refresh(t.Context()))
	is.Equal(s.newestCalls, 1)
	is.Equal(fresh.handler.values["d"], "4")
	is.True(!fresh.InstallState(state, time.Now())) // its copy is newer
	_, ok = newHost(s, time.Second).State(time.Now())
	is.True(!ok)
}

// TestAllowGaps guards against a read by every host because of a gap in a topic whose records the hosts also learn in other ways.
func TestAllowGaps(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b := newHost(s, time.Second), newHost(s, time.Second)
	b.cfg.Feeds[0].AllowGaps = true
	is.NoErr(a.Refresh(t.Context()))
	is.NoErr(b.Refresh(t.Context()))
	s.put("x", "1")
	is.NoErr(a.Refresh(t.Context())) // b does not receive this update
	s.put("y", "2")
	is.NoErr(a.Refresh(t.Context()))
	is.True(b.ApplyUpdate(a.sent[len(a.sent)-1], time.Now()))
	is.Equal(b.handler.values, map[string]string{"y": "2"})
	is.True(b.untilRefresh(time.Now()) > 0)
}
