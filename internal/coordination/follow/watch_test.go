package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// Watch waits for a record that the log does not have yet.
func (s *fakeStore) Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep Keep, arriving func() bool) (Answer, error) {
	return s.watch(ctx, topic, from, wait, func(Record) bool { return true }, keep, arriving)
}

// watch waits for a record for which of holds.
func (s *fakeStore) watch(ctx context.Context, topic string, from int64, wait time.Duration, of func(Record) bool, keep Keep, arriving func() bool) (Answer, error) {
	s.mu.Lock()
	s.watchCalls++
	if s.hasty {
		wait = 0
	}
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; pause(ctx, 20*time.Millisecond) {
		s.mu.Lock()
		available := s.outage != nil || int64(len(s.log)) > from && slices.ContainsFunc(s.log[from:], of)
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return Answer{}, ctx.Err()
		case available && !arriving():
			return Answer{}, errors.New("not wanted")
		case available || !time.Now().Before(end):
			return s.Read(ctx, topic, from, keep)
		}
	}
}

// Watch answers like Read.
func (h *simHost) Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep Keep, arriving func() bool) (Answer, error) {
	of := func(r Record) bool { return strings.HasPrefix(r.Key, topic) }
	a, err := h.s.watch(ctx, topic, from, wait, of, keep, func() bool { return !h.cut.Load() && arriving() })
	return h.answer(a, err, topic)
}

// slowLink is a link of 10 Mbit/s, which its transfers share.
type slowLink struct {
	mu    sync.Mutex
	free  time.Time // when the data that was reserved so far has been transferred
	bytes int       // transferred so far
}

func (l *slowLink) transfer(ctx context.Context, size int) error {
	const bytesPerSecond, segment = 10e6 / 8, 16 << 10
	for ; size > 0 && ctx.Err() == nil; size -= segment {
		l.mu.Lock()
		n := min(size, segment)
		l.free = later(l.free, time.Now()).Add(time.Duration(float64(n) / bytesPerSecond * float64(time.Second)))
		wait := time.Until(l.free)
		l.bytes += n
		l.mu.Unlock()
		pause(ctx, wait)
	}
	return ctx.Err()
}

func (l *slowLink) transferred() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// linkedStore is a fakeStore whose answers cross a slow link. The topic "large" has the records with the key "large", the others have the rest.
type linkedStore struct {
	*fakeStore
	link *slowLink
	cut  *atomic.Bool // all calls fail
}

func (s linkedStore) Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error) {
	a, err := s.fakeStore.Read(ctx, topic, from, keep)
	return s.transfer(ctx, topic, a, err)
}

func (s linkedStore) Newest(ctx context.Context, topic string, keep Keep) (Answer, error) {
	a, err := s.fakeStore.Newest(ctx, topic, keep)
	return s.transfer(ctx, topic, a, err)
}

func (s linkedStore) transfer(ctx context.Context, topic string, a Answer, err error) (Answer, error) {
	var records []Record
	size := 1
	for _, r := range a.Records {
		if (r.Key == "large") == (topic == "large") {
			records = append(records, r)
			size += len(r.Value)
		}
	}
	a.Records = records
	if s.cut.Load() {
		return Answer{}, errors.New("cut off")
	}
	return a, errors.Join(err, s.link.transfer(ctx, size))
}

func (s linkedStore) Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep Keep, arriving func() bool) (Answer, error) {
	of := func(r Record) bool { return (r.Key == "large") == (topic == "large") }
	a, err := s.watch(ctx, topic, from, wait, of, keep, func() bool { return !s.cut.Load() && arriving() })
	return s.transfer(ctx, topic, a, err)
}

// linkedHost is a host whose store is reached, and whose state is fetched, over slow links of its own.
type linkedHost struct {
	*host
	large           *fakeHandler
	store, outgoing slowLink
	cut             atomic.Bool // from the store
	arrivedMu       sync.Mutex
	arrived         time.Time // when the large record was applied
	applied         int       // number of records that were applied
	source          *linkedHost
}

func (h *linkedHost) Apply(r Record, recentOutage bool, now time.Time) bool {
	h.arrivedMu.Lock()
	defer h.arrivedMu.Unlock()
	h.applied++
	if h.arrived.IsZero() {
		h.arrived = now
	}
	return h.large.Apply(r, recentOutage, now)
}

func (h *linkedHost) RetainKeys(map[string]bool, bool, time.Time) {}

func (h *linkedHost) Compare(a, b Record) (order int, renewal bool) { return h.large.Compare(a, b) }

// startLinkedHosts starts hosts that all have slow links and the given maximum ages; the first of them watch the store.
func startLinkedHosts(t *testing.T, s *fakeStore, watchers int, maxAges ...time.Duration) (hosts []*linkedHost, stop func()) {
	const compression = 10 // of states
	for i, maxAge := range maxAges {
		h := &linkedHost{large: &fakeHandler{values: map[string]string{}}}
		h.host = newHost(linkedStore{s, &h.store, &h.cut}, maxAge)
		h.cfg.Feeds = append(h.cfg.Feeds, Feed{Topic: "large", Handler: h, RefreshesPerRead: 1, Watch: true})
		h.cfg.Watches = func() bool { return i < watchers }
		h.cfg.OnCatchUpFailed = func(error) {}
		h.cfg.SendUpdate = func(u Update) {
			time.AfterFunc(time.Millisecond, func() {
				for _, peer := range hosts {
					for _, feed := range u.Feeds {
						if peer != h && feed.RecordsOmitted {
							peer.arrivedMu.Lock()
							peer.source = h
							peer.arrivedMu.Unlock()
						}
					}
					if peer != h {
						peer.ApplyUpdate(u, time.Now())
					}
				}
			})
		}
		h.cfg.FetchChanges = func(ctx context.Context, since Position) (*State, error) {
			h.arrivedMu.Lock()
			source := h.source
			h.arrivedMu.Unlock()
			if source == nil {
				return nil, errors.New("no source")
			}
			state, ok := source.StateSince(since, time.Now())
			if !ok {
				return nil, errors.New("no copy")
			}
			size := 1
			for _, feed := range state.Feeds {
				for _, r := range feed.Records {
					size += len(r.Value) / compression
				}
			}
			return state, source.outgoing.transfer(ctx, size)
		}
		h.Follower = New(h.cfg)
		hosts = append(hosts, h)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { h.Run(ctx) })
	}
	return hosts, func() {
		cancel()
		wg.Wait()
		time.Sleep(time.Second) // updates under way arrive
	}
}

const largeRecordBytes = 1_280_000 // 1.02 s over a slow link

// TestLargeChangeOverSlowLinks guards against hosts that have a large configuration in force later than 2 s after the store has it, if all links
// are slow and the first host has lost the store: the others began to read it when their copies had reached their maximum ages.
func TestLargeChangeOverSlowLinks(t *testing.T) {
	const deadline = 1500 * time.Millisecond // the rest of the 2 s is for decoding on busy hosts
	for _, cut := range []bool{false, true} {
		for phase := time.Duration(0); phase < 900*time.Millisecond; phase += 50 * time.Millisecond {
			t.Run(fmt.Sprint(cut, phase), func(t *testing.T) {
				faketime.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &fakeStore{}
					hosts, stop := startLinkedHosts(t, s, 2, 650*time.Millisecond, 800*time.Millisecond, 900*time.Millisecond, 1050*time.Millisecond,
						1200*time.Millisecond)
					defer stop()
					time.Sleep(5 * time.Second)
					hosts[0].cut.Store(cut)
					time.Sleep(time.Second + phase)
					s.put("large", string(bytes.Repeat([]byte{'x'}, largeRecordBytes)))
					begin, before := time.Now(), hosts[0].store.transferred()
					time.Sleep(deadline)
					is.True(hosts[0].store.transferred()-before < largeRecordBytes*11/10) // the record crossed the link once
					for i, h := range hosts {
						h.arrivedMu.Lock()
						t.Logf("host %d: %s", i, h.arrived.Sub(begin))
						is.True(!h.arrived.IsZero()) // in force
						h.arrivedMu.Unlock()
					}
				})
			})
		}
	}
}

// TestWatchCosts checks that watching takes one call in watchTime, and that a store which refuses watches, or answers them at once, does not get
// more of them than reads.
func TestWatchCosts(t *testing.T) {
	for name, c := range map[string]struct {
		hasty, refuses bool
		least, most    int // calls in a minute
	}{"calm": {least: 6, most: 7}, "refuses": {refuses: true, most: 1}, "answers at once": {hasty: true, least: 30, most: 61}} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{hasty: c.hasty}
				_, stop := startLinkedHosts(t, s, 1, time.Second)
				defer stop()
				time.Sleep(500 * time.Millisecond)
				s.mu.Lock()
				before := s.watchCalls
				if c.refuses {
					s.outage = errors.New("refused")
				}
				s.mu.Unlock()
				time.Sleep(time.Minute)
				s.mu.Lock()
				calls := s.watchCalls - before
				s.mu.Unlock()
				is.True(calls >= c.least && calls <= c.most)
			})
		})
	}
}

// TestWatchJoinsChanges guards against a deployment that fetches and decodes each of many configurations that are written in quick succession.
func TestWatchJoinsChanges(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		hosts, stop := startLinkedHosts(t, s, 1, time.Second, 1200*time.Millisecond)
		defer stop()
		time.Sleep(2 * time.Second)
		for i := range 100 {
			s.put("large", fmt.Sprint(i))
			time.Sleep(100 * time.Millisecond)
		}
		hosts[1].arrivedMu.Lock()
		defer hosts[1].arrivedMu.Unlock()
		is.True(hosts[1].applied <= 21) // one refresh and one watch a second
	})
}

// TestWatchDelaysNoRefresh guards against requests to endpoints that have left: a change of a watched topic puts off the read of the other topics.
func TestWatchDelaysNoRefresh(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "large": 4 * largeRecordBytes} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{}
				hosts, stop := startLinkedHosts(t, s, 1, time.Second)
				defer stop()
				time.Sleep(3300 * time.Millisecond)
				s.put("a", "1")
				time.Sleep(500 * time.Millisecond)
				s.put("large", string(bytes.Repeat([]byte{'x'}, size)))
				time.Sleep(500 * time.Millisecond)
				is.Equal(hosts[0].values(hosts[0].handler), []map[string]string{{"a": "1"}})
			})
		})
	}
}

// TestWatchAcrossEpochs guards against records of one epoch that are applied in another: the store returns from an older copy while it is
// watched.
func TestWatchAcrossEpochs(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h := newHost(s, time.Second)
		h.cfg.Feeds[0].Watch, h.cfg.Watches = true, func() bool { return true }
		h.Follower = New(h.cfg)
		stop := h.run(t)
		defer stop()
		for i := range 5 {
			s.put("a", fmt.Sprint(i))
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(h.values(h.handler), []map[string]string{{"a": "4"}}) // by the watch
		s.fall(3)
		for i := range 9 {
			s.put("b", fmt.Sprint(i))
		}
		time.Sleep(1500 * time.Millisecond)
		is.Equal(h.Epoch(), int64(1))
		is.Equal(h.values(h.handler), []map[string]string{{"a": "4", "b": "8"}})
		is.Equal(h.storeLostCalls, 0)
	})
}

// endlessStore is a store whose responses to watches begin when a record is there and never end.
type endlessStore struct{ *fakeStore }

func (s endlessStore) Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep Keep, arriving func() bool) (Answer, error) {
	return s.watch(ctx, topic, from, wait, func(Record) bool { return true }, keep, func() bool {
		if arriving() {
			<-ctx.Done()
		}
		return false
	})
}

// TestEndlessWatch guards against a host that never learns of a change because the store's response to a watch begins with it and never ends.
// Refreshes do not read what a watch is reading.
func TestEndlessWatch(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		h := newHost(s, time.Second)
		h.cfg.Store = endlessStore{s}
		h.cfg.Feeds[0].Watch, h.cfg.Watches = true, func() bool { return true }
		h.Follower = New(h.cfg)
		stop := h.run(t)
		defer stop()
		time.Sleep(3300 * time.Millisecond) // between two refreshes
		s.put("a", "1")
		time.Sleep(maxReadTime + 3*time.Second)
		is.Equal(h.values(h.handler), []map[string]string{{"a": "1"}})
	})
}
