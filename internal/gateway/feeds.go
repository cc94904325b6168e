package gateway

import (
	"bytes"
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// feeds returns the topics of the store that this host follows, with the types that apply their records. Only the host topic has
// AllowGaps set, so that missed records are no reason to read the store: hosts also learn of each other by messages.
func (g *Gateway) feeds() []follow.Feed {
	list := []follow.Feed{
		{Topic: g.adapter.EndpointTopic, Handler: endpointHandler{g}, Validate: endpointHandler{g}.validate, Reduce: endpointHandler{g}.reduce,
			RefreshesPerRead: 1},
		{Topic: g.adapter.ContractTopic, Handler: contractHandler{g}, Prepare: contractHandler{g}.prepare, RefreshesPerRead: 1, Watch: true,
			KeepMissing: true},
		{Topic: g.adapter.HostTopic, Handler: hostListHandler{g}, Validate: hostListHandler{g}.validate, Reduce: hostListHandler{g}.reduce,
			RefreshesPerRead: hostRefreshesPerRead, AllowGaps: true},
	}
	for i := range list {
		list[i] = g.guarded(list[i])
	}
	return list
}

// endpointHandler implements follow.Handler for the endpoint topic. It applies the entries to the registry of endpoints.
type endpointHandler struct{ g *Gateway }

// validate says whether an entry counts: programs other than endpoints may write entries too. One whose service no configuration in force names
// counts from the configuration on that names it.
func (h endpointHandler) validate(r follow.Record) follow.Validity {
	e, err := h.g.adapter.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		h.g.invalidEntries.report(h.g, r, err)
		return follow.Invalid
	}
	if t := h.g.routes.Load(); t == nil {
		return follow.Unconfirmed
	} else if t.Service(e.Service) == nil {
		h.g.invalidEntries.report(h.g, r, trace.NotFound("endpoint %s: no service %q in configuration %d", r.Key, e.Service, t.Version))
		return follow.Unconfirmed
	}
	h.g.decodedEntries[r.Key] = decodedEntry{r.Value, e}
	return follow.Valid
}

// reduce implements follow.Feed.Reduce. It reports large entries that cannot be read.
func (h endpointHandler) reduce(r follow.Record) (follow.Record, bool) {
	if h.g.adapter.ReduceEndpoint == nil {
		return r, true
	}
	value, err := h.g.adapter.ReduceEndpoint(r.Key, r.Value)
	if err != nil {
		h.g.invalidEntries.report(h.g, r, err)
		return r, false
	}
	r.Value = value
	return r, true
}

// decodedEntry is a valid record of the endpoint topic that validate has decoded. Apply uses it up, which the follower calls under the same lock.
type decodedEntry struct {
	value []byte
	entry registry.Entry
}

// decode decodes a record, unless validate has done so.
func (h endpointHandler) decode(r follow.Record) (registry.Entry, error) {
	d, ok := h.g.decodedEntries[r.Key]
	delete(h.g.decodedEntries, r.Key)
	if ok && bytes.Equal(d.value, r.Value) {
		return d.entry, nil
	}
	return h.g.adapter.DecodeEndpoint(r.Key, r.Value)
}

// Apply adds, updates or removes the endpoint of a valid record.
// recentOutage says that the store was unavailable so recently that the endpoint may have been unable to renew its entry.
// An entry by which an endpoint leaves changes nothing on a host that learned this from a response, but on its peers.
func (h endpointHandler) Apply(r follow.Record, recentOutage bool, now time.Time) bool {
	g := h.g
	if r.Value == nil {
		return g.logEndpointChange(g.endpoints.Remove(r.Key, recentOutage, now), sourceStore)
	}
	e, err := h.decode(r)
	if err != nil {
		g.invalidEntries.report(g, r, err)
		return false
	}
	renews := g.endpoints.Renews(e)
	change := g.endpoints.Put(e, now)
	if e.WarmUp > 0 {
		g.recordColdEntry(e.Name, now)
	}
	return g.logEndpointChange(change, sourceStore) || !renews
}

// RetainKeys removes the endpoints whose keys are missing after a full read of the topic.
func (h endpointHandler) RetainKeys(keys map[string]bool, recentOutage bool, now time.Time) {
	for _, c := range h.g.endpoints.Retain(keys, recentOutage, now) {
		h.g.logEndpointChange(c, sourceStore)
	}
}

// Compare orders two entries of an endpoint by the start of its process and by their sequence numbers. An entry that cannot be decoded has no
// order.
func (h endpointHandler) Compare(a, b follow.Record) (order int, renewal bool) {
	first, err := h.g.adapter.DecodeEndpoint(a.Key, a.Value)
	if err != nil {
		return 0, false
	}
	second, err := h.g.adapter.DecodeEndpoint(b.Key, b.Value)
	if err != nil {
		return 0, false
	}
	return first.Compare(second), first.Renews(second)
}

// Sources of changes of endpoints.
const (
	sourceStore    = "store"  // an entry, which this host has read or a peer has sent
	sourceResponse = "answer" // a response of the endpoint to this host
	sourcePeer     = "peer"   // a message of a host that received such a response
)

// logEndpointChange logs a change of an endpoint and reports whether there was one; c is nil if nothing changed. It closes the idle
// connections to an endpoint that is no longer usable.
func (g *Gateway) logEndpointChange(c *registry.Change, source string) bool {
	if c == nil {
		return false
	}
	if g.endpoints.Withdrawn(c.ID) {
		g.pool.CloseEndpoint(c.ID)
	} else if c.State == registry.StateUsable {
		g.crashGuard.Listed(c.ID, time.Now())
	}
	g.log.Info("endpoint", "name", c.Name, "service", c.Service, "address", c.Address, "state", c.State, "source", source, "version", g.endpoints.Version())
	return true
}

// logSkip logs a record of the store that is not used, because it may be from the copy from which the store returned.
func (g *Gateway) logSkip(s follow.Skip) {
	g.metrics.Add("store_records_skipped_total", 1)
	g.log.Warn("store_record_skipped", "topic", s.Topic, "key", loggedKey(s.Key), "offset", s.Offset, "copy_end", s.CopyEnd,
		"removed_in", s.RemovedIn, "removed_at", s.RemovedAt)
}

// beginStoreEpoch logs that the store has returned from an older copy of itself, and forgets what this host has stored.
func (g *Gateway) beginStoreEpoch(c follow.EpochChange) {
	g.storedHosts.reset(c.New)
	g.storedQuarantine.set(nil)
	if !c.HadCopy {
		return
	}
	source := "store"
	if c.FromPeer {
		source = "message"
	}
	g.metrics.Add("store_epochs_total", 1)
	g.log.Warn("store_epoch", "old", c.Old, "new", c.New, "source", source, "kept_records", c.Kept,
		"kept_version", g.version(), "kept_endpoints", g.endpoints.Snapshot().Total)
}

// updateStatus sets the status that this host's messages to other hosts carry.
func (g *Gateway) updateStatus() {
	leaving := g.draining.Load()
	_, old := g.peers.Self()
	coordinates := !leaving && g.mayCoordinate()
	g.peers.SetStatus(peers.Status{Version: g.version(), Ready: g.routes.Load() != nil && !leaving, Leaving: leaving, HasStoreCopy: g.hasStoreCopy.Load(),
		Rate: int(math.Round(g.requestRate())), StoreFailing: g.storeLost.Load(),
		CutOff: g.ways.AnyCut(), Coordinates: coordinates, Quotas: g.peers.HasQuorum(time.Now())})
	if !coordinates && old.Coordinates && g.quota != nil {
		g.quota.EndCoordination(time.Now())
	}
}

// coordinatorSettleTime is how long after its start a host does not coordinate. Until then it may not know the other hosts of its zone.
const coordinatorSettleTime = 2 * time.Second

// rateTimeConstant is the time constant of the moving average of the request rate.
const rateTimeConstant = 2 * time.Second

// rateMeter is an exponentially weighted moving average of the request rate.
type rateMeter struct {
	mu         sync.Mutex
	perSecond  float64   // requests per second
	lastCount  int64     // request count at the last update
	lastUpdate time.Time // of the last update; zero before the first call
}

// requestRate returns the average number of requests per second that this host received recently.
func (g *Gateway) requestRate() float64 {
	m := &g.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	now, count := time.Now(), g.received.Load()
	elapsed := now.Sub(m.lastUpdate)
	if m.lastUpdate.IsZero() || elapsed < minRateInterval {
		if m.lastUpdate.IsZero() {
			m.lastUpdate = now
		}
		return m.perSecond
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	m.perSecond += weight * (float64(count-m.lastCount)/elapsed.Seconds() - m.perSecond)
	m.lastCount, m.lastUpdate = count, now
	return m.perSecond
}

// minRateInterval is the shortest time between two updates of the average. Over a shorter time a single request would count as a burst.
const minRateInterval = 100 * time.Millisecond

// recordResponse records what an endpoint says about itself in a response to a request or a load probe. It is called before the response is
// passed on.
func (g *Gateway) recordResponse(e endpoints.Endpoint, r *executor.Response) {
	if r.Replaced {
		return // another endpoint may have sent the response
	}
	if r.RejectedFor > 0 || r.MalformedDelay != "" {
		g.recordRejection(e, r)
	}
	g.ways.Answered(e.Service, e.ID, r.ReadAt)
	g.crashGuard.Answered(e.ID, r.ConnectedAt, r.SentAt)
	g.recordRateLimit(e, r)
	g.recordContact(e, r)
	if !r.Leaving {
		return
	}
	if g.logEndpointChange(g.endpoints.MarkLeaving(e.ID, true, time.Now()), sourceResponse) {
		g.requestHeartbeat()
	}
}

// recordRejection records that an endpoint rejected a request and wants no further ones for a while.
func (g *Gateway) recordRejection(e endpoints.Endpoint, r *executor.Response) {
	name := registry.EndpointName(e.ID)
	g.metrics.Add("rejections_with_delay_total", 1)
	if r.MalformedDelay != "" {
		g.log.Warn("rejection_delay_unreadable", "name", name, "service", e.Service, "value", r.MalformedDelay[:min(maxLoggedHeader, len(r.MalformedDelay))])
		return
	}
	used, isNew := g.endpointStats.RecordRejection(e, r.RejectedFor, time.Now())
	if used < r.RejectedFor {
		g.log.Warn("rejection_delay_too_long", "name", name, "service", e.Service, "stated_ms", ms(r.RejectedFor), "used_ms", ms(used))
	}
	if isNew {
		g.log.Info("endpoint", "name", name, "service", e.Service, "address", e.Address, "state", "rejecting", "source", sourceResponse, "for_ms", ms(used))
	}
}

// maxLoggedHeader is the maximum number of bytes of an unreadable header value that are logged.
const maxLoggedHeader = 40

// countingStore counts the calls to a store by method and result.
type countingStore struct {
	follow.Store
	metrics *metrics.Registry
	health  *storeHealth
}

// count counts a call. ErrTruncated counts as success, because the store has answered.
func (s countingStore) count(method string, err error) {
	result := "ok"
	if err != nil && !errors.Is(err, follow.ErrTruncated) {
		result = "failed"
	}
	s.metrics.Add("store_"+method+"_"+result+"_total", 1)
	s.health.record(err, time.Now())
}

// Newest implements follow.Store.
func (s countingStore) Newest(ctx context.Context, topic string, keep follow.Keep) (follow.Answer, error) {
	answer, err := s.Store.Newest(ctx, topic, keep)
	s.count("newest", err)
	return answer, err
}

// Read implements follow.Store.
func (s countingStore) Read(ctx context.Context, topic string, from int64, keep follow.Keep) (follow.Answer, error) {
	answer, err := s.Store.Read(ctx, topic, from, keep)
	s.count("read", err)
	return answer, err
}

// Watch implements follow.Store. A watch that ends because its answer is not wanted counts as success, because the store has answered.
func (s countingStore) Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep follow.Keep, arriving func() bool) (follow.Answer, error) {
	wanted := true
	answer, err := s.Store.Watch(ctx, topic, from, wait, keep, func() bool {
		wanted = arriving()
		return wanted
	})
	if wanted {
		s.count("watch", err)
	} else {
		s.count("watch", nil)
	}
	return answer, err
}

// Append implements follow.Store.
func (s countingStore) Append(ctx context.Context, topic, key string, value []byte) (epoch int64, err error) {
	epoch, err = s.Store.Append(ctx, topic, key, value)
	s.count("append", err)
	return epoch, err
}
