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

// Board keeps what this host knows of endpoints: load reports, its own requests in flight, failure rates and reachability. It is split
// into shards with a lock each, and safe for concurrent use.
type Board struct {
	cfg    Config
	shards [shardCount]boardShard
	silent sync.Map // service name -> time.Time until which its endpoints are not probed, because they report no load
}

type boardShard struct {
	mu    sync.Mutex
	stats map[endpoints.ID]*stat
}

type stat struct {
	load         Load
	loadAt       time.Time
	own          int // requests in flight that this host sent
	since        int // requests that this host sent since loadAt, less those that ended
	failing      float64
	failingAt    time.Time
	suspectUntil time.Time
	suspectFor   time.Duration
	askedAt      time.Time // start of the probe in flight; zero if there is none
	usedAt       time.Time // of the last access, for Forget
}

// NewBoard returns an empty board.
func NewBoard(cfg Config) *Board {
	b := &Board{cfg: cfg}
	for i := range b.shards {
		b.shards[i].stats = map[endpoints.ID]*stat{}
	}
	return b
}

// Config returns the settings of the board.
func (b *Board) Config() *Config { return &b.cfg }

// update calls f with the state of an endpoint, under the lock of its shard. It adds the endpoint if it is not known yet.
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

// faded returns the failure rate, decayed by the time since the last outcome. Without the decay, an endpoint that is avoided for its
// failures would get no requests, and its rate could never fall again.
func (s *stat) faded(now time.Time) float64 {
	return s.failing * math.Exp(-now.Sub(s.failingAt).Seconds()/failureFades.Seconds())
}

// Views returns what this host knows of the endpoints, in their order.
func (b *Board) Views(list []registry.Endpoint, now time.Time) []View {
	views := make([]View, len(list))
	for i, e := range list {
		views[i] = b.View(e, now)
	}
	return views
}

// View returns what this host knows of one endpoint.
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

// Reported records a load report of an endpoint, which also shows that it can be reached. A report without slots means that the
// endpoints of the service report no load.
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

// Silent reports whether the endpoints of a service report no load, so that probing them is of no use.
func (b *Board) Silent(service string, now time.Time) bool {
	until, ok := b.silent.Load(service)
	return ok && now.Before(until.(time.Time))
}

// Asking records the start of a probe. It returns false if a probe of the endpoint is in flight already: a second one would learn the
// same, and probes must not pile up at an endpoint that does not answer.
func (b *Board) Asking(id endpoints.ID, now time.Time) bool {
	free := false
	b.update(id, now, func(s *stat) {
		if free = s.askedAt.IsZero(); free {
			s.askedAt = now
		}
	})
	return free
}

// Asked records the end of a probe.
func (b *Board) Asked(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) { s.askedAt = time.Time{} })
}

// Unreachable records that a probe of an endpoint failed, that no connection to it could be opened, or that another incarnation answered
// at its address. The endpoint is suspect for a while, for twice as long each time until it reports its load again.
func (b *Board) Unreachable(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) {
		s.suspectFor = min(max(suspectFirst, 2*s.suspectFor), suspectLongest)
		s.suspectUntil = now.Add(s.suspectFor)
	})
}

// Sent records that this host sent a request to an endpoint.
func (b *Board) Sent(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) { s.own, s.since = s.own+1, s.since+1 })
}

// Ended records the end of a request of this host, and whether it failed.
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

// Withdrawn records the end of a request that says nothing about the endpoint's failure rate: the caller left, another endpoint answered
// first, or the request was not written.
func (b *Board) Withdrawn(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *stat) { s.own, s.since = s.own-1, s.since-1 })
}

// Forget drops the endpoints that were not used for the given time and have no request of this host in flight.
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
