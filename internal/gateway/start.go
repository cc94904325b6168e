package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

const (
	// firstStartPeerWait is how long a host looks for a peer that has a copy of the store's topics before it reads the store itself, when
	// all hosts of the deployment start for the first time. Callers arrive only seconds later.
	firstStartPeerWait = time.Second
	// restartPeerWait is the upper limit of this wait at any other start. Each host draws a random time, so that after a restart of
	// all hosts one host of a zone reads the store first and the others fetch its copy of the store's topics.
	restartPeerWait = 250 * time.Millisecond
	// maxPeerWait limits the wait while the store does not answer: it doubles after each failed read.
	maxPeerWait = 2 * time.Second
	// largeHostPeerWait replaces restartPeerWait on hosts with at least largeHostCores processor cores. They receive most of the requests,
	// so they start with almost no wait.
	largeHostPeerWait = 20 * time.Millisecond
	largeHostCores    = 0.5
	// ownZoneWaitFraction is the fraction of the wait for a peer during which the state is fetched only from hosts of this host's zone.
	ownZoneWaitFraction = 0.5
	// slowReadTime is how long a starting host reads the store before it looks for a peer's copy beside the read: the topics may be large and its link slow.
	// slowReadPollInterval is the interval at which it then looks. It doubles, up to maxPeerWait, when a peer's state cannot be used.
	slowReadTime         = 500 * time.Millisecond
	slowReadPollInterval = 100 * time.Millisecond
	// peerPollInterval is the interval at which a starting host checks for a peer that has a copy of the store's topics, and
	// seedRequestEvery the number of such checks between two requests to the seeds.
	peerPollInterval = 10 * time.Millisecond
	seedRequestEvery = 4
)

// followStore gets a copy of the store's topics, from a peer or by reading the store, and then follows the store until the context ends.
// After each failed read it looks for a peer again, for longer after each failure, so that a store that refuses calls receives few of them.
func (g *Gateway) followStore(ctx context.Context) {
	peerWait := g.initialPeerWait()
	if slices.Contains(g.settings.Seeds, g.settings.advertised(g.settings.StateAddress)) {
		peerWait = 0 // this host is a seed: the other starting hosts wait for it
	}
	for ctx.Err() == nil && !g.fetchCopyFromPeer(ctx, peerWait) {
		if err := g.readStore(ctx); err == nil {
			break
		}
		peerWait = min(max(2*peerWait, restartPeerWait), maxPeerWait)
	}
	g.follower.Run(ctx)
}

// readStore reads the store until this host has a copy, or gets one from a peer meanwhile.
func (g *Gateway) readStore(ctx context.Context) error {
	searchCtx, cancel := context.WithCancel(ctx)
	var search sync.WaitGroup
	search.Go(func() { g.fetchCopyDuringRead(searchCtx) })
	defer search.Wait()
	defer cancel()
	return g.follower.Refresh(ctx)
}

// fetchCopyDuringRead fetches a peer's copy if a read takes long, until the context ends. Installing the copy ends the read.
func (g *Gateway) fetchCopyDuringRead(ctx context.Context) {
	begin := time.Now()
	wait := slowReadPollInterval
	for sleep(ctx, slowReadTime); ctx.Err() == nil; sleep(ctx, wait) {
		h, _, ok := g.peers.HostWithStoreCopy(time.Now())
		if !ok {
			continue
		}
		if g.fetchCopy(ctx, h, begin) {
			return
		}
		wait = min(2*wait, maxPeerWait)
	}
}

// initialPeerWait returns how long to look for a peer before the first read of the store.
func (g *Gateway) initialPeerWait() time.Duration {
	switch {
	case g.settings.FirstStart:
		return firstStartPeerWait
	case g.settings.Cores >= largeHostCores:
		return rand.N(largeHostPeerWait)
	}
	return rand.N(restartPeerWait)
}

// fetchCopyFromPeer asks the seeds which hosts there are and fetches a copy of the store's topics from a host that has one. It reports
// whether this host has a copy now. All hosts of a deployment may start at once; if each of them read the store, they would exceed the rate
// of calls that the store allows.
func (g *Gateway) fetchCopyFromPeer(ctx context.Context, peerWait time.Duration) bool {
	begin := time.Now()
	seeds := g.seedPeerAddresses()
	// Sent however short the wait is, so that the seeds know this host.
	g.send(peerlink.Message{RequestHosts: true}, seeds)
	for n := 1; ctx.Err() == nil && time.Since(begin) < peerWait; n++ {
		if n%seedRequestEvery == 0 {
			g.send(peerlink.Message{RequestHosts: true}, seeds)
		}
		sleep(ctx, peerPollInterval)
		h, ownZone, ok := g.peers.HostWithStoreCopy(time.Now())
		if !ok || (!ownZone && time.Since(begin) < time.Duration(ownZoneWaitFraction*float64(peerWait))) {
			continue
		}
		if g.fetchCopy(ctx, h, begin) {
			return true
		}
	}
	g.log.Info("state_from_store", "seeds", len(seeds), "waited_ms", ms(time.Since(begin)))
	return false
}

// fetchCopy fetches the state of a peer and makes it this host's copy, unless it has one already. It returns false if the state cannot be fetched. begin is
// when this host began to look for one.
func (g *Gateway) fetchCopy(ctx context.Context, h peers.Host, begin time.Time) bool {
	state, err := fetchState(ctx, h, "", idleTransferTimeout)
	if err != nil {
		if ctx.Err() == nil {
			g.log.Warn("state_not_fetched", "from", h.Name, "error", err)
		}
		return false
	}
	if g.follower.InstallState(state, time.Now()) {
		g.hasStoreCopy.Store(true)
		g.log.Info("state_fetched", "from", h.Name, "zone", h.Zone, "age_ms", state.AgeMS, "took_ms", ms(time.Since(begin)))
		g.updateStatus()
		g.sendHeartbeat()
	}
	return true
}

// seedPeerAddresses returns the peer addresses of the seeds except this host: their IPs with the peer port of this host, since all hosts use the same
// ports.
func (g *Gateway) seedPeerAddresses() []string {
	_, port, err := net.SplitHostPort(g.settings.PeerAddress)
	if err != nil {
		return nil // Validate has checked the address
	}
	self, _ := g.peers.Self()
	var list []string
	for _, seed := range g.settings.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			g.log.Warn("seed_unreadable", "seed", seed, "error", err)
			continue
		}
		if address := net.JoinHostPort(ip, port); address != self.PeerAddress && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// storedHostList is the list of this zone's hosts that was last read from or written to the store in its current epoch.
type storedHostList struct {
	mu    sync.Mutex
	hosts []peers.Host
	epoch int64
	// readSinceWrite says that a list was read after this host began its last write. The order of the two in the store is not known.
	readSinceWrite bool
}

const (
	// hostListStableTime is how long the list of the zone's hosts must stay unchanged before it is written, and hostListWriteInterval the
	// minimum time between two writes. Only a host that reaches no seed needs the list, so it may be out of date for some seconds.
	hostListStableTime    = 3 * time.Second
	hostListWriteInterval = 10 * time.Second
	// hostListWriteTimeout limits one write.
	hostListWriteTimeout = 2 * time.Second
	// hostListRewriteSpread is the time over which the zones spread the writes of their lists after a change of the store's epoch.
	hostListRewriteSpread = 2 * time.Second
)

func (l *storedHostList) set(hosts []peers.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.readSinceWrite = hosts, true
}

// beginWrite is called before a list is written.
func (l *storedHostList) beginWrite() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readSinceWrite = false
}

// setWritten records a list that the store has acknowledged in an epoch, unless that epoch has ended or another list was read meanwhile.
func (l *storedHostList) setWritten(hosts []peers.Host, epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch == l.epoch && !l.readSinceWrite {
		l.hosts = hosts
	}
}

// reset forgets the list, because the store has begun an epoch and may have lost it.
func (l *storedHostList) reset(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.epoch = nil, epoch
}

// known reports whether a list was read from the store, or written to it.
func (l *storedHostList) known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.hosts) > 0
}

func (l *storedHostList) currentEpoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

func (l *storedHostList) equals(hosts []peers.Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Equal(l.hosts, hosts)
}

// maintainHostList writes the list of the zone's hosts to the store when it differs from the stored one, also because the store lost it. Of
// the hosts of a zone only the first in rank writes it.
func (g *Gateway) maintainHostList(ctx context.Context) {
	var lastSeen []peers.Host
	var unchangedSince, lastWrite, earliest time.Time
	knownEpoch := g.storedHosts.currentEpoch()
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		now := time.Now()
		if epoch := g.storedHosts.currentEpoch(); epoch != knownEpoch {
			knownEpoch, earliest = epoch, now.Add(rand.N(hostListRewriteSpread))
		}
		hosts, firstInRank := g.peers.ZoneHostList(now)
		if !slices.Equal(hosts, lastSeen) {
			lastSeen, unchangedSince = hosts, now
		}
		if !firstInRank || !g.ready() || g.storedHosts.equals(hosts) || now.Sub(unchangedSince) < hostListStableTime ||
			now.Sub(lastWrite) < hostListWriteInterval || now.Before(earliest) {
			continue
		}
		lastWrite = now
		g.storedHosts.beginWrite()
		epoch, err := g.writeHostList(ctx, hosts)
		if err != nil {
			g.log.Warn("hosts_not_written", "error", err)
			continue
		}
		g.storedHosts.setWritten(hosts, epoch)
		g.log.Info("hosts_written", "zone", g.settings.Zone, "hosts", len(hosts))
	}
}

// writeHostList writes the list of the zone's hosts, with the zone as the key, and returns the epoch of the store that acknowledged it.
func (g *Gateway) writeHostList(ctx context.Context, hosts []peers.Host) (epoch int64, err error) {
	record, err := cbor.Marshal(hosts)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, hostListWriteTimeout)
	defer cancel()
	return g.follower.Append(ctx, g.adapter.HostTopic, g.settings.Zone, record)
}
