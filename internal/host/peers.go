package host

import (
	"context"
	"net/netip"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

// dispatchMembers implements memberView. Before this host has joined, it returns this host only.
func (h *Host) dispatchMembers() (serving []dispatch.Member, known int, changed <-chan struct{}) {
	if !h.hasJoined() {
		return []dispatch.Member{{Host: h.settings.Host, Zone: h.settings.Zone}}, 1, h.member.joined
	}
	view, changed := h.member.node.View()
	for _, name := range view.ServingHosts() {
		m := view.Member(name)
		serving = append(serving, dispatch.Member{Host: name, Incarnation: m.Incarnation, Zone: m.Zone})
	}
	return serving, len(view.LiveMembers()), changed
}

// peerAddress returns the IP:port of a host's peer port, or an empty string if the host is not known.
func (h *Host) peerAddress(host string) string {
	if !h.hasJoined() {
		return ""
	}
	m := h.member.node.Current().Member(host)
	if m == nil {
		return ""
	}
	return netip.AddrPortFrom(m.IP, m.PeerPort).String()
}

// livePeers returns the other known hosts that are not suspected to have failed, with their configuration positions.
func (h *Host) livePeers() []configlog.Peer {
	if !h.hasJoined() {
		return nil
	}
	var out []configlog.Peer
	for _, m := range h.member.node.Current().LiveMembers() {
		if m.Host != h.settings.Host && !m.Suspected {
			out = append(out, configlog.Peer{Host: m.Host, Position: m.Position})
		}
	}
	return out
}

// registerPeerMethods registers the handlers of the methods that other entry hosts may call.
func (h *Host) registerPeerMethods(operators *admin.Server) {
	registerPeerMethod(h, wire.MethodAnnounce, func(a *wire.Announce) (any, error) { return h.HandleAnnounce(a), nil })
	registerPeerMethod(h, wire.MethodFetchConfig, func(r *wire.FetchConfigRequest) (any, error) {
		return wire.ConfigPage(h.follower.State(), *r), nil
	})
	h.dispatch.server.Handle(wire.RelayMethod, func(ctx context.Context, _ string, body []byte) (any, error) {
		var in wire.RelayRequest
		if err := wire.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		ctx, cut := context.WithCancelCause(ctx)
		defer cut(nil)
		defer context.AfterFunc(h.drain.requests, func() { cut(context.Cause(h.drain.requests)) })()
		return h.relayServer.Serve(ctx, &in), nil
	})
	registerPeerMethod(h, wire.MethodOperator, func(q *wire.OperatorQuery) (any, error) { return operators.HandleQuery(*q), nil })
}

// registerPeerMethod registers the handler of a method whose request is decoded into an M.
func registerPeerMethod[M any](h *Host, method string, answer func(*M) (any, error)) {
	h.dispatch.server.Handle(method, func(_ context.Context, _ string, body []byte) (any, error) {
		var m M
		if err := wire.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		return answer(&m)
	})
}
