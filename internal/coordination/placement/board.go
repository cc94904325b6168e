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
	cfg         Config
	shards      [shardCount]boardShard
	noLoadUntil sync.Map // service name -> time.Time until which its endpoints are not probed, because they report no load
}

// boardShard holds the endpoints whose addresses hash to it.
type boardShard struct {
	mu    sync.Mutex
	stats map[endpoints.ID]*endpointStats
}

// endpointStats is what this host knows of one endpoint.
type endpointStats struct {
	load           Load
	loadReportedAt time.Time
	inFlight       int // requests in flight that this host sent
	sentSinceLoad  int // requests that this host sent since loadReportedAt, less those that ended
	failureRate    float64
	failureRateAt  time.Time
	suspectUntil   time.Time
	suspectTime    time.Duration // how long the endpoint was made suspect the last time; zero after a load report
	probeStartedAt time.Time     // start of the probe in flight; zero if there is none
	usedAt         time.Time     // of the last access, for Forget
}

// NewBoard returns an empty board.
func NewBoard(cfg Config) *Board {
	b := &Board{cfg: cfg}
	for i := range b.shards {
		b.shards[i].stats = map[endpoints.ID]*endpointStats{}
	}
	return b
}

// Config returns the settings of the board.
func (b *Board) Config() *Config { return &b.cfg }

// update calls f with the state of an endpoint, under the lock of its shard. It adds the endpoint if it is not known yet.
func (b *Board) update(id endpoints.ID, now time.Time, f func(*endpointStats)) {
	sh := &b.shards[maphash.String(shardSeed, id.Address)%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.stats[id]
	if s == nil {
		s = &endpointStats{}
		sh.stats[id] = s
	}
	s.usedAt = now
	f(s)
}

// decayedFailureRate returns the failure rate, decayed by the time since the last outcome. Without the decay, an endpoint that is avoided
// for its failures would get no requests, and its rate could never fall again.
func (s *endpointStats) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp(-now.Sub(s.failureRateAt).Seconds()/failureDecayTime.Seconds())
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
	v := View{Endpoint: e, Local: e.Zone == b.cfg.Zone, LoadAge: -1, WarmUpLeft: max(0, e.WarmUntil.Sub(now))}
	b.update(e.ID, now, func(s *endpointStats) {
		if !s.loadReportedAt.IsZero() {
			v.Load, v.LoadAge = s.load, now.Sub(s.loadReportedAt)
		}
		v.ProbeInFlight = !s.probeStartedAt.IsZero()
		v.Own, v.SentSinceLoad, v.Failing, v.Suspect = s.inFlight, s.sentSinceLoad, s.decayedFailureRate(now), now.Before(s.suspectUntil)
	})
	return v
}

// RecordLoad records a load report of an endpoint, which also shows that it can be reached. A report without slots means that the
// endpoints of the service report no load.
func (b *Board) RecordLoad(e endpoints.Endpoint, l Load, now time.Time) {
	if l.Slots == 0 {
		b.noLoadUntil.Store(e.Service, now.Add(noLoadLifetime))
		return
	}
	b.update(e.ID, now, func(s *endpointStats) {
		s.load, s.loadReportedAt, s.sentSinceLoad = l, now, 0
		s.suspectUntil, s.suspectTime = time.Time{}, 0
	})
}

// ReportsNoLoad reports whether the endpoints of a service report no load, so that probing them is of no use.
func (b *Board) ReportsNoLoad(service string, now time.Time) bool {
	until, ok := b.noLoadUntil.Load(service)
	return ok && now.Before(until.(time.Time))
}

// StartProbe records the start of a probe. It returns false if a probe of the endpoint is in flight already: a second one would learn the
// same, and probes must not pile up at an endpoint that does not answer.
func (b *Board) StartProbe(id endpoints.ID, now time.Time) bool {
	started := false
	b.update(id, now, func(s *endpointStats) {
		if started = s.probeStartedAt.IsZero(); started {
			s.probeStartedAt = now
		}
	})
	return started
}

// EndProbe records the end of a probe.
func (b *Board) EndProbe(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *endpointStats) { s.probeStartedAt = time.Time{} })
}

// RecordUnreachable records that a probe of an endpoint failed, that no connection to it could be opened, or that another incarnation
// answered at its address. The endpoint is suspect for a while, for twice as long each time until it reports its load again.
func (b *Board) RecordUnreachable(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *endpointStats) {
		s.suspectTime = min(max(minSuspectTime, 2*s.suspectTime), maxSuspectTime)
		s.suspectUntil = now.Add(s.suspectTime)
	})
}

// RecordSend records that this host sent a request to an endpoint.
func (b *Board) RecordSend(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *endpointStats) { s.inFlight, s.sentSinceLoad = s.inFlight+1, s.sentSinceLoad+1 })
}

// RecordEnd records the end of a request of this host, and whether it failed.
func (b *Board) RecordEnd(id endpoints.ID, failed bool, now time.Time) {
	b.update(id, now, func(s *endpointStats) {
		s.inFlight, s.sentSinceLoad = s.inFlight-1, s.sentSinceLoad-1
		sample := 0.0
		if failed {
			sample = 1
		}
		s.failureRate = s.decayedFailureRate(now) + failureWeight*(sample-s.decayedFailureRate(now))
		s.failureRateAt = now
	})
}

// RecordEndWithoutOutcome records the end of a request that does not count in the endpoint's failure rate: the caller left, another
// endpoint answered first, or the request was not written.
func (b *Board) RecordEndWithoutOutcome(id endpoints.ID, now time.Time) {
	b.update(id, now, func(s *endpointStats) { s.inFlight, s.sentSinceLoad = s.inFlight-1, s.sentSinceLoad-1 })
}

// Forget drops the endpoints that were not used for the given time and have no request of this host in flight.
func (b *Board) Forget(unused time.Duration, now time.Time) {
	for i := range b.shards {
		sh := &b.shards[i]
		sh.mu.Lock()
		for id, s := range sh.stats {
			if s.inFlight == 0 && now.Sub(s.usedAt) > unused {
				delete(sh.stats, id)
			}
		}
		sh.mu.Unlock()
	}
}
