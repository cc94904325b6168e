package host

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

// operatorView implements admin.LocalHost and admin.PeerHosts with a Host.
type operatorView struct{ *Host }

// Status implements admin.LocalHost.
func (v operatorView) Status() admin.HostStatus {
	state := v.follower.State()
	revisions := make(map[string]uint64, len(state.Entries))
	for name, e := range state.Entries {
		revisions[name] = e.Revision
	}
	return admin.HostStatus{Host: v.settings.Host, Site: v.settings.Site, Zone: v.settings.Zone, State: v.lifecycle.Current(),
		Incarnation: v.Incarnation(), ConfigPosition: state.Position, Revisions: revisions, Owns: v.ownedServices(), UptimeSeconds: int64(time.Since(v.started).Seconds())}
}

// ownedServices returns the services that this host owns according to its own view of the membership. The owner of a service holds its
// queue.
func (h *Host) ownedServices() []string {
	serving := h.member.node.Current().ServingHosts()
	var owned []string
	for _, service := range h.table.Services() {
		if rendezvous.First(service, serving) == h.settings.Host {
			owned = append(owned, service)
		}
	}
	return owned
}

// Dump implements admin.LocalHost.
func (v operatorView) Dump() any { return v.dump() }

// Refusal implements admin.LocalHost.
func (v operatorView) Refusal(id string) (*refusals.Refusal, bool) { return v.refusals.Get(id) }

// Drain implements admin.LocalHost.
func (v operatorView) Drain(operator string) error {
	v.log.Info("drain_requested", "operator", operator)
	return v.Host.Drain()
}

// Undrain implements admin.LocalHost.
func (v operatorView) Undrain(operator string) error {
	v.log.Info("undrain_requested", "operator", operator)
	return v.Host.Undrain()
}

// Self implements admin.PeerHosts.
func (v operatorView) Self() string { return v.settings.Host }

// Hosts implements admin.PeerHosts.
func (v operatorView) Hosts() []string {
	var hosts []string
	for _, m := range v.member.node.Current().LiveMembers() {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// Call implements admin.PeerHosts.
func (v operatorView) Call(ctx context.Context, host, method string, in, out any) error {
	if v.peerAddress(host) == "" {
		return trace.NotFound("host %q is not a live entry host; run arbutusctl status", host)
	}
	return v.dispatch.peers.Call(ctx, host, method, in, out)
}

// States of an endpoint: it takes new work, or it is ejected because it failed too often. Only the owner of the service knows the
// latter.
const (
	upstreamLive    = callerapi.StateLive
	upstreamEjected = "ejected"
)

// upstreams returns the usable endpoints that this host knows, by service.
func (h *Host) upstreams() map[string][]admin.EndpointStatus {
	services := map[string][]admin.EndpointStatus{}
	ejected := h.dispatch.ejected()
	for _, name := range h.table.Services() {
		for _, e := range h.table.Snapshot(name).Endpoints {
			state := upstreamLive
			if ejected[e.ID] {
				state = upstreamEjected
			}
			services[name] = append(services[name], admin.EndpointStatus{Address: e.Address, Incarnation: e.Incarnation,
				Zone: e.Zone, Slots: e.Slots, State: state})
		}
	}
	return services
}
