package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

const (
	// quarantineKey is the prefix of the keys in the host topic under which zones keep the requests that are quarantined, before the zone's name.
	quarantineKey = "quarantine/"
	// quarantineCoordination is the key of the coordinator that writes and announces a zone's list.
	quarantineCoordination = "quarantine"
	// quarantineWriteInterval is the least time between two writes of the list.
	quarantineWriteInterval = 3 * time.Second
	quarantineWriteTimeout  = 2 * time.Second
)

// storedVerdict is a verdict in the store.
type storedVerdict struct {
	Pattern quarantine.Fingerprint `cbor:"1,keyasint"`
	UntilMS int64                  `cbor:"2,keyasint"` // end of the quarantine in Unix milliseconds
	SinceMS int64                  `cbor:"3,keyasint"` // when it was decided, likewise
}

// storedQuarantine remembers what the store holds of this zone's list.
type storedQuarantine struct {
	mu        sync.Mutex
	requests  []byte // the patterns in order; nil if the store has none, or another epoch
	lastWrite time.Time
}

// due reports whether a list has to be written, and notes the time if so.
func (s *storedQuarantine) due(requests []byte, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(requests, s.requests) || now.Sub(s.lastWrite) < quarantineWriteInterval {
		return false
	}
	s.lastWrite = now
	return true
}

// empty reports whether the store has no request in the list, as far as is known.
func (s *storedQuarantine) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests) == 0
}

// patternsOf returns the patterns of a list, in its order.
func patternsOf(list []storedVerdict) (patterns []byte) {
	for _, v := range list {
		patterns = append(patterns, v.Pattern.String()...)
	}
	return patterns
}

func (s *storedQuarantine) set(requests []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = requests
}

// maintainQuarantine announces the quarantined requests again and keeps them in the store, if this host coordinates that in its zone. Hosts that start
// after all hosts have stopped find them there.
func (g *Gateway) maintainQuarantine(ctx context.Context, now time.Time) {
	g.crashGuard.Evict(now)
	verdicts := g.crashGuard.Firm(now)
	if len(verdicts) == 0 && g.storedQuarantine.empty() {
		return
	}
	if !g.peers.Coordinates(g.settings.Zone, quarantineCoordination, now) {
		return
	}
	g.crashGuard.Refresh(now)
	list := []storedVerdict{} // an empty list is written too: otherwise a released request would bind hosts that start later
	for _, v := range verdicts {
		list = append(list, storedVerdict{v.Pattern, v.Until.UnixMilli(), v.DecidedAt.UnixMilli()})
	}
	requests := patternsOf(list)
	if !g.storedQuarantine.due(requests, now) {
		return
	}
	record, err := cbor.Marshal(list)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout)
		defer cancel()
		_, err = g.follower.Append(ctx, g.adapter.HostTopic, quarantineKey+g.settings.Zone, record)
	}
	if err != nil {
		g.log.Warn("quarantine_not_written", "requests", len(list), "error", err)
		return
	}
	g.storedQuarantine.set(requests)
	g.log.Info("quarantine_written", "requests", len(list))
}

// applyStoredQuarantine applies a record of the host topic if it is a list of quarantined requests, and reports whether it is one.
func (g *Gateway) applyStoredQuarantine(r follow.Record, now time.Time) bool {
	if !strings.HasPrefix(r.Key, quarantineKey) {
		return false
	}
	list, err := decodeVerdicts(r.Value)
	if err != nil {
		return true // the handler's validate has reported it
	}
	var verdicts []quarantine.Verdict
	for _, v := range list {
		verdicts = append(verdicts, quarantine.Verdict{Pattern: v.Pattern, Until: time.UnixMilli(v.UntilMS), DecidedAt: time.UnixMilli(v.SinceMS)})
	}
	if r.Key == quarantineKey+g.settings.Zone && r.Offset >= 0 {
		g.storedQuarantine.set(patternsOf(list))
	}
	g.crashGuard.Restore(r.Key, verdicts, now)
	return true
}

func decodeVerdicts(value []byte) (list []storedVerdict, err error) {
	err = cbor.Unmarshal(value, &list)
	return list, err
}

// mayTryQuarantined reports whether this host sends a quarantined request once more: one host of one zone.
func (g *Gateway) mayTryQuarantined(pattern quarantine.Fingerprint) bool {
	key := quarantineCoordination + pattern.String()
	return g.peers.Coordinates(g.peers.HomeZone(key), key, time.Now())
}

// closesUnanswered reports whether an endpoint closes connections without a response to a health check.
func (g *Gateway) closesUnanswered(ctx context.Context, e endpoints.Endpoint) bool {
	path := g.healthPath(e.Service)
	return path != "" && g.pool.ClosesUnanswered(ctx, e, path)
}

// askedOthers is the number of endpoints that othersAnswer asks at a time, and maxAskedOthers that of all.
const (
	askedOthers    = 3
	maxAskedOthers = 9
)

// probePause is the pause before others are asked again that are being probed.
const probePause = 10 * time.Millisecond

// othersAnswer reports whether another endpoint of a service answers this host now. It is true if the service has no other one that may be asked.
func (g *Gateway) othersAnswer(ctx context.Context, e endpoints.Endpoint) bool {
	path, list := g.healthPath(e.Service), g.endpoints.Snapshot().Services[e.Service]
	if path == "" {
		return true
	}
	var others []*registry.Endpoint
	for n, start := 0, rand.IntN(max(1, len(list))); n < len(list) && len(others) < maxAskedOthers; n++ {
		if other := list[(start+n)%len(list)]; other.Address != e.Address {
			others = append(others, other)
		}
	}
	for {
		asked, probing := false, false
		for part := range slices.Chunk(others, askedOthers) {
			answers, allowed := g.anyAnswers(ctx, part, path)
			if answers {
				return true
			}
			asked = asked || allowed
		}
		for _, other := range others {
			probing = probing || g.endpointStats.View(*other, time.Now()).ProbeInFlight
		}
		if asked || !probing {
			return !asked
		}
		select { // a probe of another one decides, which may take as long as it likes
		case <-time.After(probePause):
		case <-ctx.Done():
			return false
		}
	}
}

// anyAnswers reports whether one of the endpoints answers a probe of its load. asked is false if none may be probed now.
func (g *Gateway) anyAnswers(ctx context.Context, list []*registry.Endpoint, path string) (answers, asked bool) {
	results := make(chan bool, len(list))
	pending := 0
	for _, e := range list {
		if !g.endpointStats.StartProbe(e.ID, time.Now()) {
			continue
		}
		pending++
		go func() {
			_, err := g.pool.ProbeLoad(ctx, e.Endpoint, path)
			g.endpointStats.EndProbe(e.ID, time.Now())
			results <- err == nil
		}()
	}
	asked = pending > 0
	for range pending {
		if <-results {
			return true, true
		}
	}
	return false, asked
}

// logUndecided logs that it is not known whether an endpoint has ended under a request.
func (g *Gateway) logUndecided(id endpoints.ID, request quarantine.Fingerprint) {
	g.metrics.Add("endpoint_ends_undecided_total", 1)
	g.log.Info("endpoint_end_undecided", "name", registry.EndpointName(id), "address", id.Address, "requests", request.String())
}

// logHeldEnd logs that an endpoint has ended while no other one answered the host that noticed it.
func (g *Gateway) logHeldEnd(c quarantine.Crash, source string) {
	g.metrics.Add("endpoint_ends_held_total", 1)
	g.log.Info("endpoint_end_held", "name", registry.EndpointName(c.Endpoint), "address", c.Endpoint.Address, "requests", fingerprints(c.Requests), "source", source,
		"age_ms", ms(time.Since(c.At)))
}

// logCrash logs that an endpoint has ended under requests, or that it has answered since.
func (g *Gateway) logCrash(c quarantine.Crash, source string) {
	g.metrics.Add("endpoint_crashes_total", 1)
	g.log.Info("endpoint_crash", "name", registry.EndpointName(c.Endpoint), "address", c.Endpoint.Address, "requests", fingerprints(c.Requests), "alive", c.Alive,
		"source", source, "age_ms", ms(time.Since(c.At)))
}

// maxLoggedFingerprints is the number of requests that a line of the log names.
const maxLoggedFingerprints = 8

func fingerprints(list []quarantine.Fingerprint) string {
	var names []string
	for _, f := range list[:min(maxLoggedFingerprints, len(list))] {
		names = append(names, f.String())
	}
	return strings.Join(names, ",")
}

// logVerdict logs that requests are quarantined or no longer are.
func (g *Gateway) logVerdict(v quarantine.Verdict, evidence int, source string) {
	state := "quarantined"
	if !time.Now().Before(v.Until) {
		state = "released"
	}
	g.metrics.Add("quarantine_"+state+"_total", 1)
	g.log.Info("quarantine", "request", v.Pattern, "state", state, "endpoints", evidence, "for_ms", max(0, ms(time.Until(v.Until))),
		"decided_ms_ago", ms(time.Since(v.DecidedAt)), "source", source)
}
