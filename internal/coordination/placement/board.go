package placement

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

const shardCount = 16

var shardSeed = maphash.MakeSeed()

// Board keeps what this host has learned of endpoints, in shards under their own locks.
type Board struct {
	cfg    Config
	shards [shardCount]boardShard
	silent sync.Map // service name -> time.Time until which it is not asked
}

type boardShard struct {
	mu    sync.Mutex
	stats map[endpoints.ID]*stat
}

type stat struct {
	load         Load
	loadAt       time.Time
	own          int
	since        int // sends less ends since the load was told
	failing      float64
	failingAt    time.Time
	suspectUntil time.Time
	suspectFor   time.Duration
	askedAt      time.Time // of a question without an answer yet; zero if there is none
	usedAt       time.Time
}

// NewBoard returns an empty board.
func NewBoard(cfg Config) *Board {
	b := &Board{cfg: cfg}
	for i := range b.shards {
		b.shards[i].stats = map[endpoints.ID]*stat{}
	}
	return b
}

// Config returns the board's figures.
func (b *Board) Config() *Config { return &b.cfg }

func (b *Board) update(id endpoints.ID, now time.Time, f func(*stat)) {
	sh := &b.shards[maphash.String(shardSeed, id.Address)%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.stats[id]
	if s == nil {
		s = &stat{}
		sh.stats[id] = s
	}
	s.usedAt = now
	f(s)
}

// faded returns the failure rate, which fades while there are no outcomes: an endpoint that is avoided could never show that it is well.
func (s *stat) faded(now time.Time) float64 {
	return s.failing * math.Exp(-now.Sub(s.failingAt).Seconds()/failureFades.Seconds())
}

// Views returns what is known of the endpoints.
func (b *Board) Views(list []registry.Endpoint, now time.Time) []View {
	views := make([]View, len(list))
	for i, e := range list {
		views[i] = b.View(e, now)
	}
	return views
}

// View returns what is known of one endpoint.
func (b *Board) View(e registry.Endpoint, now time.Time) View {
	v := View{Endpoint: e, Local: e.Zone == b.cfg.Zone, LoadAge: -1, WarmLeft: max(0, e.WarmUntil.Sub(now))}
	b.update(e.ID, now, func(s *stat) {
		if !s.loadAt.IsZero() {
			v.Load, v.LoadAge = s.load, now.Sub(s.loadAt)
		}
		v.Asked = !s.askedAt.IsZero()
		v.Own, v.Since, v.Failing, v.Suspect = s.own, s.since, s.faded(now), now.Before(s.suspectUntil)
	})
	return v
}

// Reported notes what an endpoint said of its load.
func (b *Board) Reported(e endpoints.Endpoint, l Load, now time.Time) {
	if l.Slots == 0 {
		b.silent.Store(e.Service, now.Add(silentServiceLife))
		return
	}
	b.update(e.ID, now, func(s *stat) {
		s.load, s.loadAt, s.since = l, now, 0
		s.suspectUntil, s.suspectFor = time.Time{}, 0
	})
}

// Silent reports whether the endpoints of a service tell no load, so that asking them is of no use.
func (b *Board) Silent(service string, now time.Time) bool {
	until, ok := b.silent.Load(service)
	return ok && now.Before(until.(time.Time))
}

// Asking notes a question. It fails if another one is on its way: a second question would learn the same, and an endpoint that does not
// answer must not collect questions.
func (b *Board) Asking(id endpoints.ID, now time.Time) bool {
	free := false
	b.update(id, now, func(s *stat) {
		if free = s.askedAt.IsZero(); free {
			s.askedAt = now
		}
	})
	return free
}

// Asked notes the end of a question.
func (b *Board) Asked(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) { s.askedAt = time.Time{} })
}

// Unreachable notes that an endpoint did not answer a question or could not be connected to.
func (b *Board) Unreachable(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) {
		s.suspectFor = min(max(suspectFirst, 2*s.suspectFor), suspectLongest)
		s.suspectUntil = now.Add(s.suspectFor)
	})
}

// Sent notes that a request of this host was sent.
func (b *Board) Sent(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) { s.own, s.since = s.own+1, s.since+1 })
}

// Ended notes the end of a request of this host.
func (b *Board) Ended(id endpoints.ID, failed bool, now time.Time) {
	b.update(id, now, func(s *stat) {
		s.own, s.since = s.own-1, s.since-1
		sample := 0.0
		if failed {
			sample = 1
		}
		s.failing = s.faded(now) + failureMemory*(sample-s.faded(now))
		s.failingAt = now
	})
}

// Withdrawn notes the end of a request that says nothing of the endpoint: the caller left, or another endpoint answered first.
func (b *Board) Withdrawn(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) { s.own, s.since = s.own-1, s.since-1 })
}

// Forget drops what is known of endpoints that were not used for the given time.
func (b *Board) Forget(unused time.Duration, now time.Time) {
	for i := range b.shards {
		sh := &b.shards[i]
		sh.mu.Lock()
		for id, s := range sh.stats {
			if s.own == 0 && now.Sub(s.usedAt) > unused {
				delete(sh.stats, id)
			}
		}
		sh.mu.Unlock()
	}
}
