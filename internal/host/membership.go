package host

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/transport/gossip"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

const (
	maxAddresses        = 4  // in an address response
	announceAllUpTo     = 32 // members that are called directly; if there are more, gossip reaches those that are not
	announceSample      = 8  // members that are called directly if there are more than announceAllUpTo
	announceTimeout     = time.Second
	catchUpTimeout      = 5 * time.Second // bounds the wait for the log and the host list
	syncTimeout         = 2 * time.Second // bounds the wait for the member table of another host
	catchUpPollInterval = 20 * time.Millisecond
	hostListTimeout     = 3 * time.Second
)

// PeerCaller calls a method of another entry host over the peer connections.
type PeerCaller interface {
	Call(ctx context.Context, host, method string, in, out any) error
}

// membershipState holds what a Host needs for membership.
type membershipState struct {
	started     time.Time
	incarnation membership.Incarnation
	node        *gossip.Node  // set by listenGossip
	joined      chan struct{} // closed when node is set
	peers       PeerCaller
	listRead    chan struct{} // closed when the host list was fetched for the first time
	listOnce    sync.Once
	otherHosts  atomic.Bool     // the host list names other entry hosts
	appliedList []platform.Host // the newest host list, as fetched; used only by followHostList
}

func newMembershipState(now time.Time) membershipState {
	return membershipState{started: now, incarnation: membership.NewIncarnation(now, uint16(rand.Uint32())),
		joined: make(chan struct{}), listRead: make(chan struct{})}
}

// Incarnation returns this process's incarnation, 16 hex digits.
func (h *Host) Incarnation() string { return h.member.incarnation.String() }

// hasJoined reports whether the membership node exists, so that h.member.node may be used.
func (h *Host) hasJoined() bool {
	select {
	case <-h.member.joined:
		return true
	default:
		return false
	}
}

// listenGossip opens the UDP peer port and creates the membership node.
func (h *Host) listenGossip() error {
	ip, err := netip.ParseAddr(h.settings.Address)
	if err != nil {
		return trace.BadParameter("address is %q: use an IP address of this host", h.settings.Address)
	}
	advertised := h.settings.PeerPort
	if h.settings.AdvertisedPeerPort != 0 {
		advertised = h.settings.AdvertisedPeerPort
	}
	self := membership.Record{Host: h.settings.Host, Incarnation: h.member.incarnation, IP: ip, CallerPort: uint16(h.settings.CallerPort),
		PeerPort: uint16(advertised), Zone: h.settings.Zone, State: membership.CatchingUp}
	machine := membership.New(membership.DefaultConfig(), self, h.member.started, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), h.table)
	h.member.node, err = gossip.Listen(netip.AddrPortFrom(ip, uint16(h.settings.PeerPort)), h.settings.ClusterSecret, machine, h.log)
	if err != nil {
		return err
	}
	close(h.member.joined)
	return nil
}

// Membership returns the newest view and a channel that is closed when it is replaced. It must not be called before Run.
func (h *Host) Membership() (*membership.View, <-chan struct{}) { return h.member.node.View() }

// logMembership logs members that join, change their state or leave.
func (h *Host) logMembership(ctx context.Context) {
	previous := &membership.View{}
	for {
		v, changed := h.member.node.View()
		for _, m := range v.Members {
			if old := previous.Member(m.Host); old == nil || old.State != m.State || old.Incarnation != m.Incarnation || old.Suspected != m.Suspected {
				h.log.Info("member", "member", m.Host, "incarnation", m.Incarnation, "state", m.State, "suspected", m.Suspected)
			}
		}
		for _, old := range previous.Members {
			if v.Member(old.Host) == nil {
				h.log.Warn("member_gone", "member", old.Host, "incarnation", old.Incarnation)
			}
		}
		if v.Superseded && !previous.Superseded {
			h.log.Error("superseded", "remedy", "a later start of this host name is known: stop the other process, or correct the clock and restart")
		}
		previous = v
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// disseminateMark sends the other hosts the mark of an upstream endpoint that is leaving, which this host has learned first: at once by
// calls over the peer connections, and by gossip.
func (h *Host) disseminateMark(id endpoints.ID) {
	h.log.Info("upstream_leaving", "endpoint", id)
	if !h.hasJoined() {
		return
	}
	h.member.node.DisseminateMark(id)
	targets := slices.DeleteFunc(slices.Clone(h.member.node.Current().LiveMembers()), func(m membership.Member) bool { return m.Host == h.settings.Host })
	if len(targets) > announceAllUpTo {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:announceSample]
	}
	message := &wire.Announce{Marks: []membership.LeavingMark{{Address: id.Address, Incarnation: id.Incarnation}}}
	for _, m := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			if err := h.member.peers.Call(ctx, m.Host, wire.MethodAnnounce, message, &wire.AnnounceResponse{}); err != nil {
				h.log.Debug("announce", "to", m.Host, "error", err) // the member learns it by gossip
			}
		}()
	}
}

// HandleAnnounce handles wire.MethodAnnounce: it adds the marks of leaving upstreams that another host sent, and gossips new ones.
func (h *Host) HandleAnnounce(a *wire.Announce) *wire.AnnounceResponse {
	now := time.Now()
	for _, k := range a.Marks {
		id := endpoints.ID{Address: k.Address, Incarnation: k.Incarnation}
		if h.table.AddLeavingMark(endpoints.LeavingMark{ID: id, FirstLearned: now.Add(-time.Duration(k.LearnedSecondsAgo) * time.Second),
			LastNamed: now.Add(-time.Duration(k.LastNamedSecondsAgo) * time.Second)}) {
			h.member.node.DisseminateMark(id)
		}
	}
	return &wire.AnnounceResponse{}
}

// followHostList fetches and applies the host list repeatedly until the context ends.
func (h *Host) followHostList(ctx context.Context) {
	pollHostList(ctx, func(ctx context.Context) time.Duration {
		bounded, cancel := context.WithTimeout(ctx, hostListTimeout)
		defer cancel()
		hosts, err := h.hostList.Fetch(bounded)
		if err != nil {
			h.log.Warn("host_list", "error", err)
			return hostListInterval
		}
		h.applyHostList(hosts)
		return hostListWait(len(h.member.node.Current().LiveMembers()), rand.Float64())
	})
}

// pollHostList calls poll repeatedly until the context ends. poll returns the time from its own start to the start of the next call.
func pollHostList(ctx context.Context, poll func(context.Context) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		began := time.Now()
		timer.Reset(time.Until(began.Add(poll(ctx))))
	}
}

// hostListWait returns the time between two fetches of the host list. known is the number of known entry hosts. random is from 0 to 1
// and sets the jitter.
func hostListWait(known int, random float64) time.Duration {
	wait := min(hostListMaxInterval, hostListInterval*time.Duration(known)/hostListFullRateHosts)
	if wait <= hostListInterval {
		return hostListInterval
	}
	return max(hostListInterval, wait-time.Duration(random*hostListJitter*float64(wait)))
}

// applyHostList updates the membership seeds and the endpoint table from a fetched host list.
func (h *Host) applyHostList(hosts []platform.Host) {
	if len(hosts) > 0 && len(hosts) == len(h.member.appliedList) && &hosts[0] == &h.member.appliedList[0] {
		// If Fetch returned the same slice again, the list is unchanged, and only the marks of its endpoints must be kept from expiring.
		h.table.ListUnchanged(time.Now())
		return
	}
	h.member.appliedList = hosts
	var seeds []netip.AddrPort
	var list []endpoints.Endpoint
	for _, u := range hosts {
		id := endpoints.ID{Address: u.Address, Incarnation: u.Incarnation}
		switch u.Role {
		case platform.RoleEntry:
			if a, err := netip.ParseAddrPort(u.Address); err == nil {
				seeds = append(seeds, a)
			}
		case platform.RoleUpstream:
			if u.State == callerapi.StateLeaving {
				h.table.MarkLeaving(id)
			}
			list = append(list, endpoints.Endpoint{ID: id, Service: u.Service, Zone: u.Zone, Slots: u.Slots})
		}
	}
	h.member.node.SetSeeds(seeds)
	self := h.member.node.Current().Member(h.settings.Host).PeerAddress
	h.member.otherHosts.Store(slices.ContainsFunc(seeds, func(a netip.AddrPort) bool { return a != self }))
	if len(list) > 0 || len(h.table.Services()) == 0 {
		h.table.SetAll(list, time.Now())
	} else {
		// It is unlikely that all upstreams of all services disappear within a second. More likely, the platform's list service has
		// restarted without its data, so the last endpoints are kept.
		h.log.Warn("host_list", "error", "the list names no upstream; the last one is kept")
	}
	h.member.listOnce.Do(func() { close(h.member.listRead) })
}

// catchUp returns once this host has read the contracts and the host list, has received the member table of another host, if there is
// one, and no live peer has newer contracts. It waits for the contracts and the host list for up to catchUpTimeout in all, since the
// platform may be down, and then for the member table for up to syncTimeout.
func (h *Host) catchUp(ctx context.Context) {
	bound, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for _, done := range []<-chan struct{}{h.follower.Ready(), h.member.listRead} {
		select {
		case <-done:
		case <-bound.Done():
		}
	}
	syncDeadline := time.Now().Add(syncTimeout)
	for ctx.Err() == nil {
		alone := time.Now().After(syncDeadline) || !h.member.otherHosts.Load()
		if !h.follower.BehindPeers() && (alone || h.member.node.Synced()) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpPollInterval):
		}
	}
}

// Addresses implements frontend.Directory.
func (h *Host) Addresses(service string) callerapi.Addresses {
	v := h.member.node.Current()
	return callerapi.Addresses{Service: service, LifetimeMS: h.settings.AddressLifetimeMS,
		Addresses: addresses(v, service, h.settings.Zone, time.Now(), rand.Shuffle)}
}

// addresses returns up to maxAddresses usable hosts: first the owner of the service, then hosts of the zone, then the others. The order
// within the latter two groups is random, which distributes the callers over them.
func addresses(v *membership.View, service, zone string, now time.Time, shuffle func(int, func(i, j int))) []callerapi.Address {
	owner := rendezvous.First(service, v.ServingHosts())
	var usable []membership.Member
	for _, m := range v.Members {
		if m.State == membership.Serving && !m.Suspected {
			usable = append(usable, m)
		}
	}
	shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	rank := func(m membership.Member) int {
		switch {
		case m.Host == owner:
			return 0
		case m.Zone == zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(usable, func(a, b membership.Member) int { return rank(a) - rank(b) })
	out := []callerapi.Address{}
	for _, m := range usable[:min(maxAddresses, len(usable))] {
		out = append(out, callerapi.Address{Host: m.Host, Zone: m.Zone, KeyPrefix: m.KeyPrefix(now),
			Address: netip.AddrPortFrom(m.IP, m.CallerPort).String()})
	}
	return out
}

// members returns the state of the membership for operators.
func (h *Host) members() any {
	s := h.member.node.Stats()
	return map[string]any{"self": h.settings.Host, "members": h.member.node.Current().Members, "marks": h.table.LeavingMarks(),
		"unacknowledged": h.member.node.Unacknowledged(), "in_flight": h.drain.inFlight.Load(),
		"datagrams": map[string]int64{"sent": s.Sent.Load(), "sent_bytes": s.SentBytes.Load(), "received": s.Received.Load(),
			"received_bytes": s.ReceivedBytes.Load(), "rejected": s.Rejected.Load()}}
}
