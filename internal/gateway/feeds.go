package gateway

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

func (g *Gateway) feeds() []follow.Feed {
	return []follow.Feed{
		{Topic: g.adapter.EndpointTopic, Fold: endpointFold{g}, Every: 1},
		{Topic: g.adapter.ContractTopic, Fold: contractFold{g}, Every: 1},
		{Topic: g.adapter.HostTopic, Fold: hostFold{g}, Every: hostFeedEvery, Additive: true},
	}
}

// contractFold keeps the newest configuration in force. It never goes back.
type contractFold struct{ g *Gateway }

func (f contractFold) Apply(r follow.Record, _ bool, _ time.Time) bool {
	g := f.g
	if r.Value == nil {
		return false
	}
	cfg, err := g.adapter.DecodeContract(r.Key, r.Value)
	if err != nil {
		g.log.Warn("configuration_unreadable", "key", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	if cfg == nil {
		return false
	}
	current := g.routes.Load()
	if current != nil && cfg.Version <= current.Version {
		return false
	}
	table, err := routing.New(*cfg)
	if err != nil {
		g.log.Warn("configuration_faulty", "version", cfg.Version, "offset", r.Offset, "error", err)
		if table == nil || table.Routes() == 0 {
			return false
		}
	}
	g.routes.Store(table)
	g.updateStatus()
	g.log.Info("configuration", "version", cfg.Version, "routes", table.Routes(), "offset", r.Offset)
	return true
}

func (f contractFold) Complete(map[string]bool, bool, time.Time) {}

// endpointFold keeps the registry current. An entry that cannot be read names no endpoint.
type endpointFold struct{ g *Gateway }

func (f endpointFold) Apply(r follow.Record, disturbed bool, now time.Time) bool {
	g := f.g
	if r.Value == nil {
		return g.logEndpoint(g.endpoints.Remove(r.Key, disturbed, now))
	}
	e, err := g.adapter.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		g.log.Warn("entry_unreadable", "key", r.Key, "offset", r.Offset, "error", err)
		return g.logEndpoint(g.endpoints.Remove(r.Key, false, now))
	}
	return g.logEndpoint(g.endpoints.Put(e, now))
}

func (f endpointFold) Complete(keys map[string]bool, disturbed bool, now time.Time) {
	for _, c := range f.g.endpoints.Retain(keys, disturbed, now) {
		f.g.logEndpoint(c)
	}
}

// logEndpoint logs a change and reports whether there is one.
func (g *Gateway) logEndpoint(c *registry.Change) bool {
	if c == nil {
		return false
	}
	g.log.Info("endpoint", "name", c.Name, "service", c.Service, "address", c.Address, "state", c.What, "version", g.endpoints.Snapshot().Version)
	return true
}

// hostFold learns of hosts from the lists that each availability zone keeps in the store.
type hostFold struct{ g *Gateway }

func (f hostFold) Apply(r follow.Record, _ bool, now time.Time) bool {
	if r.Value == nil {
		return false
	}
	var hosts []peers.Host
	if err := cbor.Unmarshal(r.Value, &hosts); err != nil {
		f.g.log.Warn("hosts_unreadable", "key", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	if r.Key == f.g.settings.Zone {
		f.g.roster.set(hosts)
	}
	for _, h := range hosts {
		f.g.introduced(h, "store", now)
	}
	return true
}

func (f hostFold) Complete(map[string]bool, bool, time.Time) {}

// introduced takes in a host that another one or the store names.
func (g *Gateway) introduced(h peers.Host, source string, now time.Time) {
	if g.peers.Put(h, now) {
		g.log.Info("host", "name", h.Name, "zone", h.Zone, "callers", h.Callers, "source", source)
	}
}

func (g *Gateway) updateStatus() {
	leaving := g.draining.Load()
	g.peers.SetStatus(peers.Status{Ready: g.routes.Load() != nil && !leaving, Leaving: leaving, Informed: g.informed.Load(), Rate: int(math.Round(g.rate()))})
}

// rateMemory is the time over which the rate of requests is averaged.
const rateMemory = 2 * time.Second

// rateMeter averages the arrivals of requests.
type rateMeter struct {
	mu    sync.Mutex
	value float64 // requests a second
	seen  int64
	at    time.Time
}

// rate returns the number of requests a second that this host has taken lately.
func (g *Gateway) rate() float64 {
	m := &g.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	now, count := time.Now(), g.arrivals.Load()
	passed := now.Sub(m.at)
	if m.at.IsZero() || passed < minRateSample {
		if m.at.IsZero() {
			m.at = now
		}
		return m.value
	}
	weight := 1 - math.Exp(-passed.Seconds()/rateMemory.Seconds())
	m.value += weight * (float64(count-m.seen)/passed.Seconds() - m.value)
	m.seen, m.at = count, now
	return m.value
}

// minRateSample keeps single requests from looking like a burst.
const minRateSample = 100 * time.Millisecond

// greet tells the neighbours that this host lives.
func (g *Gateway) greet(ctx context.Context) {
	for ctx.Err() == nil {
		g.updateStatus()
		g.greetOnce()
		pause(ctx, g.peers.Greet())
	}
}

func (g *Gateway) greetOnce() {
	g.send(peerlink.Message{}, addressesOf(g.peers.Neighbours()))
}

// tell passes on what was read: to the neighbours, and to some hosts of each other zone.
func (g *Gateway) tell(u follow.Update) {
	g.send(peerlink.Message{Update: &u}, addressesOf(append(g.peers.Neighbours(), g.peers.Relays(time.Now())...)))
}

func addressesOf(hosts []peers.Host) []string {
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		addresses[i] = h.Peers
	}
	return addresses
}

func (g *Gateway) send(m peerlink.Message, to []string) {
	m.From, m.Status = g.peers.Self()
	if err := g.link.Send(&m, to); err != nil {
		g.metrics.Add("peer_sends_failed_total", 1)
		g.log.Debug("peer_send_failed", "error", err)
	}
}

func (g *Gateway) receive(m *peerlink.Message) {
	now := time.Now()
	if g.peers.Greeted(m.From, m.Status, now) {
		g.log.Info("host", "name", m.From.Name, "zone", m.From.Zone, "ready", m.Status.Ready, "leaving", m.Status.Leaving, "source", "message")
	}
	for _, h := range m.Hosts {
		g.introduced(h, m.From.Name, now)
	}
	if m.Asks {
		g.send(peerlink.Message{Hosts: g.peers.Introduce(m.From.Zone, now)}, []string{m.From.Peers})
	}
	if m.Update == nil {
		return
	}
	g.metrics.Add("peer_updates_total", 1)
	news := g.follower.Heard(*m.Update, now)
	if m.From.Zone == g.settings.Zone {
		return
	}
	if news {
		g.send(peerlink.Message{Update: m.Update}, addressesOf(g.peers.Neighbours()))
	}
	// The answer tells the reader that this host lives.
	g.send(peerlink.Message{}, []string{m.From.Peers})
}

func (g *Gateway) malformed(from netip.AddrPort, err error) {
	g.metrics.Add("peer_messages_malformed_total", 1)
	g.log.Debug("peer_message_malformed", "from", from, "error", err)
}

// countingStore counts the calls to the store by kind and result.
type countingStore struct {
	follow.Store
	metrics *metrics.Set
}

func (s countingStore) count(kind string, err error) {
	result := "ok"
	if err != nil && !errors.Is(err, follow.ErrTruncated) {
		result = "failed"
	}
	s.metrics.Add("store_"+kind+"_"+result+"_total", 1)
}

func (s countingStore) Newest(ctx context.Context, topic string) ([]follow.Record, int64, error) {
	records, next, err := s.Store.Newest(ctx, topic)
	s.count("newest", err)
	return records, next, err
}

func (s countingStore) Read(ctx context.Context, topic string, from int64) ([]follow.Record, int64, error) {
	records, next, err := s.Store.Read(ctx, topic, from)
	s.count("read", err)
	return records, next, err
}

func (s countingStore) Append(ctx context.Context, topic, key string, value []byte) error {
	err := s.Store.Append(ctx, topic, key, value)
	s.count("append", err)
	return err
}
