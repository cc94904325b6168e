package gateway

import (
	"context"
	"errors"
	"net/netip"
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
		{Topic: g.adapter.HostTopic, Fold: hostFold{g}, Every: hostFeedEvery},
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

// hostFold learns of hosts in other availability zones, and of neighbours before their first greeting.
type hostFold struct{ g *Gateway }

func (f hostFold) Apply(r follow.Record, _ bool, _ time.Time) bool {
	if r.Value == nil {
		return false
	}
	var h peers.Host
	if err := cbor.Unmarshal(r.Value, &h); err != nil {
		f.g.log.Warn("host_unreadable", "key", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	if !f.g.peers.Put(h) {
		return false
	}
	f.g.log.Info("host", "name", h.Name, "zone", h.Zone, "callers", h.Callers, "source", "store")
	return true
}

func (f hostFold) Complete(map[string]bool, bool, time.Time) {}

func (g *Gateway) updateStatus() {
	g.peers.SetStatus(peers.Status{Ready: g.routes.Load() != nil && !g.draining.Load(), Leaving: g.draining.Load()})
}

// greet tells the neighbours that this host lives.
func (g *Gateway) greet(ctx context.Context) {
	for ctx.Err() == nil {
		g.updateStatus()
		g.greetOnce()
		pause(ctx, g.peers.Greet())
	}
}

func (g *Gateway) greetOnce() {
	g.sendTo(nil, g.peers.Neighbours())
}

// tell passes on what was read: to the neighbours, and to some hosts of each other zone.
func (g *Gateway) tell(u follow.Update) {
	g.sendTo(&u, append(g.peers.Neighbours(), g.peers.Relays()...))
}

func (g *Gateway) sendTo(u *follow.Update, hosts []peers.Host) {
	self, status := g.peers.Self()
	var to []string
	for _, h := range hosts {
		to = append(to, h.Peers)
	}
	if err := g.link.Send(&peerlink.Message{From: self, Status: status, Update: u}, to); err != nil {
		g.metrics.Add("peer_sends_failed_total", 1)
		g.log.Debug("peer_send_failed", "error", err)
	}
}

func (g *Gateway) receive(m *peerlink.Message) {
	now := time.Now()
	if m.From.Zone == g.settings.Zone {
		if g.peers.Greeted(m.From, m.Status, now) {
			g.log.Info("host", "name", m.From.Name, "zone", m.From.Zone, "ready", m.Status.Ready, "leaving", m.Status.Leaving, "source", "greeting")
		}
	} else if g.peers.Put(m.From) {
		g.log.Info("host", "name", m.From.Name, "zone", m.From.Zone, "source", "update")
	}
	if m.Update == nil {
		return
	}
	g.metrics.Add("peer_updates_total", 1)
	if g.follower.Heard(*m.Update, now) && m.From.Zone != g.settings.Zone {
		g.sendTo(m.Update, g.peers.Neighbours())
	}
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
