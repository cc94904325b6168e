package placement

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

const shardCount = 16

var shardSeed = maphash.MakeSeed()

// EndpointStats keeps what this host knows of endpoints: load reports, its own requests in flight, failure rates and reachability. It is
// split into shards with a lock each, and safe for concurrent use.
type EndpointStats struct {
	cfg         Config
	shards      [shardCount]statsShard
	noLoadUntil sync.Map     // service name -> time.Time until which its endpoints are not probed, because they report no load
	rejections  sync.Map     // service name -> *serviceRejections
	samplers    sync.Map     // service name -> *serviceSampler
	rooms       sync.Map     // service name -> *serviceRoom
	drops       sync.Map     // service name -> time.Time at which a request was last unanswered until its deadline
	paces       sync.Map     // paceKey -> *meanPace
	cold        sync.Map     // service name -> *coldRejections
	subsetSeed  maphash.Seed // ranks endpoints for this host's subsets, which differ between hosts

	rejectingCount atomic.Int64 // endpoints in rejections
}

// statsShard holds the endpoints whose addresses hash to it.
type statsShard struct {
	mu      sync.Mutex
	entries map[endpoints.ID]*endpointEntry
}

// endpointEntry is what this host knows of one endpoint.
type endpointEntry struct {
	load           Load
	loadReportedAt time.Time
	inFlight       int // requests in flight that this host sent
	silent         int // the part of inFlight that counts as dropped, see RecordSilent
	sentSinceLoad  int // requests that this host sent since loadReportedAt, less those that ended since then
	failureRate    float64
	failureRateAt  time.Time
	suspectUntil   time.Time
	suspectTime    time.Duration // how long the endpoint was made suspect the last time; zero after a load report
	probeStartedAt time.Time     // start of the probe in flight; zero if there is none
	rejectingUntil time.Time     // until when the endpoint wants no requests
	inFlightLimit  int           // bound of inFlight after a rejection; 0 if there is none
	usedAt         time.Time     // of the last access, for EvictUnused
	answeredAt     time.Time     // of the last response, see RecordContact
	contactLostAt  time.Time     // when a connection to it last failed or was ended by it
	pace           pace
	responseRatio  float64 // moving average of what responses take, as a multiple of what was expected; 0 before the first
}

// NewEndpointStats returns statistics without any endpoint.
func NewEndpointStats(cfg Config) *EndpointStats {
	t := &EndpointStats{cfg: cfg, subsetSeed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].entries = map[endpoints.ID]*endpointEntry{}
	}
	return t
}

// Config returns the settings that were passed to NewEndpointStats.
func (t *EndpointStats) Config() *Config { return &t.cfg }

func (t *EndpointStats) shard(id endpoints.ID) *statsShard {
	return &t.shards[maphash.String(shardSeed, id.Address)%shardCount]
}

// update calls f with the entry of an endpoint, under the lock of its shard. It adds the entry if there is none yet.
func (t *EndpointStats) update(id endpoints.ID, now time.Time, f func(*endpointEntry)) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	if s == nil {
		s = &endpointEntry{}
		sh.entries[id] = s
	}
	s.usedAt = now
	f(s)
}

// decayedFailureRate returns the failure rate, decayed by the time since the last outcome. Without the decay, an endpoint that is avoided
// for its failures would get no requests, and its rate could never fall again.
func (s *endpointEntry) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * decay(s.failureRateAt, now, failureDecayTime)
}

// View returns what this host knows of one endpoint.
func (t *EndpointStats) View(e registry.Endpoint, now time.Time) EndpointView {
	v := EndpointView{Endpoint: e, Local: e.Zone == t.cfg.Zone, WarmUpLeft: max(0, e.WarmUpEnd.Sub(now))}
	if t.cfg.RateLimiter != nil {
		v.Limited, v.Permits = t.cfg.RateLimiter.Permits(e.ID, now)
		if until := t.cfg.RateLimiter.ColdUntil(e.ID, now); !until.IsZero() {
			v.Cold, v.WarmUpLeft = true, max(v.WarmUpLeft, until.Sub(now))
		}
	}
	t.update(e.ID, now, func(s *endpointEntry) {
		s.fill(&v, now)
		if s.loadReportedAt.IsZero() {
			v.Pace = s.pace.at(t.meanPace(e.Service, v.Local).get(), now)
		}
	})
	if v.WarmUpLeft > 0 {
		v.FailureRate = max(v.FailureRate, t.coldRejectionRate(e.Service, now))
	}
	return v
}

// fill sets the fields of a view that come from this entry.
func (s *endpointEntry) fill(v *EndpointView, now time.Time) {
	v.Load, v.LoadAge = Load{}, -1
	if !s.loadReportedAt.IsZero() {
		v.Load, v.LoadAge = s.load, now.Sub(s.loadReportedAt)
	}
	v.ProbeInFlight = !s.probeStartedAt.IsZero()
	v.Rejecting, v.InFlightLimit = s.rejecting(now), s.inFlightLimit
	v.Unchecked, v.ContactLost = s.unchecked(contactLifetime, now), s.contactLost()
	v.InFlight, v.SentSinceLoad, v.FailureRate, v.Suspect = s.inFlight-s.silent, s.sentSinceLoad, s.decayedFailureRate(now), now.Before(s.suspectUntil)
}

// ReserveSlot records that this host is about to send a request to the endpoint of a view. It returns false, and records nothing, if the
// endpoint has no free slot any more, because another request of this host has taken the slot since the view was made, if the endpoint
// has rejected a request with a delay, or if its rate limit leaves no permit.
func (t *EndpointStats) ReserveSlot(v *EndpointView, now time.Time) bool {
	reserved := false
	t.update(v.ID, now, func(s *endpointEntry) {
		current := *v
		s.fill(&current, now)
		requests, slots := current.occupancy()
		if reserved = requests < slots && s.mayReceive(now) && t.takePermit(v.ID, now); reserved {
			s.recordSend()
		}
	})
	return reserved
}

// RecordLoad records a load report of an endpoint, which also shows that it can be reached. A report without slots means that the
// endpoints of the service report no load.
func (t *EndpointStats) RecordLoad(e endpoints.Endpoint, l Load, now time.Time) {
	if l.Slots == 0 {
		t.noLoadUntil.Store(e.Service, now.Add(noLoadLifetime))
		return
	}
	t.update(e.ID, now, func(s *endpointEntry) {
		s.load, s.loadReportedAt, s.sentSinceLoad = l, now, 0
		s.suspectUntil, s.suspectTime = time.Time{}, 0
	})
	t.sampler(e.Service).recordReport(e.ID, t.cfg.MaxLoadAge, now)
}

// ReportsNoLoad reports whether the endpoints of a service report no load, so that probing them is of no use.
func (t *EndpointStats) ReportsNoLoad(service string, now time.Time) bool {
	until, ok := t.noLoadUntil.Load(service)
	return ok && now.Before(until.(time.Time))
}

// StartProbe records the start of a probe. It returns false if a probe of the endpoint is in flight already: a second one would learn the
// same, and probes must not pile up at an endpoint that does not answer. It also returns false while the endpoint wants no requests, and if its
// rate limit leaves no permit.
func (t *EndpointStats) StartProbe(id endpoints.ID, now time.Time) bool {
	started := false
	t.update(id, now, func(s *endpointEntry) {
		if started = s.probeStartedAt.IsZero() && !s.rejecting(now) && t.takeForCheck(id, now); started {
			s.probeStartedAt = now
		}
	})
	return started
}

// EndProbe records the end of a probe.
func (t *EndpointStats) EndProbe(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.probeStartedAt = time.Time{} })
}

// RecordUnreachable records that a probe of an endpoint failed, that no connection to it could be opened, or that another incarnation
// answered at its address. The endpoint is suspect for a while, for twice as long each time until it reports its load again.
func (t *EndpointStats) RecordUnreachable(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) {
		s.suspectTime = min(max(minSuspectTime, 2*s.suspectTime), maxSuspectTime)
		s.suspectUntil, s.contactLostAt = now.Add(s.suspectTime), now
	})
}

// ReserveSend records that this host is about to send a request to an endpoint, whether or not it has a free slot. It returns false, and
// records nothing, if the endpoint has rejected a request with a delay and may not get this one, or if its rate limit leaves no permit.
func (t *EndpointStats) ReserveSend(id endpoints.ID, now time.Time) bool {
	reserved := false
	t.update(id, now, func(s *endpointEntry) {
		if reserved = s.mayReceive(now) && t.takePermit(id, now); reserved {
			s.recordSend()
		}
	})
	return reserved
}

// takePermit uses up a permit if the endpoint has a rate limit. It returns false if there is none.
func (t *EndpointStats) takePermit(id endpoints.ID, now time.Time) bool {
	return t.cfg.RateLimiter == nil || t.cfg.RateLimiter.Take(id, now)
}

// takeForCheck uses up a permit for a load probe if the endpoint has a limit that counts probes. It returns false if there is none.
func (t *EndpointStats) takeForCheck(id endpoints.ID, now time.Time) bool {
	return t.cfg.RateLimiter == nil || t.cfg.RateLimiter.TakeForCheck(id, now)
}

func (s *endpointEntry) recordSend() { s.inFlight, s.sentSinceLoad = s.inFlight+1, s.sentSinceLoad+1 }

// RecordEnd records the end of a request of this host, and whether it failed.
func (t *EndpointStats) RecordEnd(id endpoints.ID, failed bool, now time.Time) {
	t.update(id, now, func(s *endpointEntry) {
		s.inFlight, s.sentSinceLoad = s.inFlight-1, s.sentSinceLoad-1
		if !failed {
			s.recover(now)
		}
		s.addOutcome(failed, now)
	})
}

// RecordCut records that an answer ended early after RecordEnd had counted it as a success.
func (t *EndpointStats) RecordCut(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.addOutcome(true, now) })
}

// addOutcome adds an outcome to the failure rate.
func (s *endpointEntry) addOutcome(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureRate = s.decayedFailureRate(now) + failureWeight*(sample-s.decayedFailureRate(now))
	s.failureRateAt = later(s.failureRateAt, now)
}

// RecordEndWithoutOutcome records the end of a request that does not count in the endpoint's failure rate: the caller left, another
// endpoint answered first, or the request was not written.
func (t *EndpointStats) RecordEndWithoutOutcome(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.inFlight, s.sentSinceLoad = s.inFlight-1, s.sentSinceLoad-1 })
}

// EvictUnused removes the endpoints that were not used for the given time and have no request of this host in flight.
func (t *EndpointStats) EvictUnused(unused time.Duration, now time.Time) {
	t.evictRejections(now)
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for id, s := range sh.entries {
			if s.inFlight == 0 && now.Sub(s.usedAt) > unused && !s.rejecting(now) {
				delete(sh.entries, id)
			}
		}
		sh.mu.Unlock()
	}
}
