package gateway

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

const (
	// statePath serves this host's knowledge to starting hosts.
	statePath = "/v1/state"
	// startPatience is how long a starting host looks for a peer that knows the store, before it reads the store itself.
	startPatience = 300 * time.Millisecond
	// ownZonePatience is how long it prefers a peer of its own zone.
	ownZonePatience = 100 * time.Millisecond
	// startRetry is the time between two questions to the seeds.
	startRetry = 25 * time.Millisecond
	// stateTimeout bounds the transfer.
	stateTimeout = 250 * time.Millisecond
	// maxState bounds a state after decompression.
	maxState = 64 << 20
)

// start learns the state of the store, from a peer if there is one, and follows it.
func (g *Gateway) start(ctx context.Context) {
	if !slices.Contains(g.settings.Seeds, g.settings.StateAddress) {
		g.startFromPeer(ctx)
	}
	g.follower.Run(ctx)
}

// startFromPeer asks the seeds for their hosts, and a host that is ready for its state. All hosts of a deployment may start at once: if
// each read the store, its rate would be used up.
func (g *Gateway) startFromPeer(ctx context.Context) {
	begin := time.Now()
	seeds := g.seedPeers()
	for len(seeds) > 0 && ctx.Err() == nil && time.Since(begin) < startPatience {
		g.send(peerlink.Message{Asks: true}, seeds)
		pause(ctx, startRetry)
		h, own, ok := g.peers.Informed(time.Now())
		if !ok || (!own && time.Since(begin) < ownZonePatience) {
			continue
		}
		state, err := fetchState(ctx, h)
		if err != nil {
			g.log.Warn("state_not_fetched", "from", h.Name, "error", err)
			continue
		}
		if g.follower.Install(state, time.Now()) {
			g.informed.Store(true)
			g.updateStatus()
			g.log.Info("state_fetched", "from", h.Name, "zone", h.Zone, "age_ms", state.AgeMS, "took_ms", ms(time.Since(begin)))
		}
		return
	}
	g.log.Info("state_from_store", "seeds", len(seeds), "waited_ms", ms(time.Since(begin)))
}

// seedPeers returns the peer addresses of the seeds. All hosts use the same ports.
func (g *Gateway) seedPeers() []string {
	_, port, err := net.SplitHostPort(g.settings.PeerAddress)
	if err != nil {
		return nil // Validate has checked the address
	}
	var list []string
	for _, seed := range g.settings.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			g.log.Warn("seed_unreadable", "seed", seed, "error", err)
			continue
		}
		list = append(list, net.JoinHostPort(ip, port))
	}
	return list
}

func fetchState(ctx context.Context, h peers.Host) (*follow.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.State+statePath, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "state of %s", h.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "state of %s: status %d", h.Name, resp.StatusCode)
	}
	zr, err := gzip.NewReader(resp.Body)
	if err != nil {
		return nil, trace.BadParameter("state of %s: %v", h.Name, err)
	}
	var state follow.State
	if err := cbor.NewDecoder(io.LimitReader(zr, maxState)).Decode(&state); err != nil {
		return nil, trace.BadParameter("state of %s: %v", h.Name, err)
	}
	return &state, nil
}

// serveState answers statePath.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	state, ok := g.follower.State(time.Now())
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zw := gzip.NewWriter(w)
	err := cbor.NewEncoder(zw).Encode(state)
	if err == nil {
		err = zw.Close()
	}
	if err != nil {
		g.log.Warn("state_not_sent", "error", err)
	}
}

// roster is the list of the zone's hosts that the store holds.
type roster struct {
	mu     sync.Mutex
	stored []peers.Host
}

const (
	// rosterSettles is how long the list of a zone's hosts must not change before it is written, and rosterInterval the time between
	// two writes. The list is needed only by a host that reaches no seed.
	rosterSettles  = 3 * time.Second
	rosterInterval = 10 * time.Second
	rosterTimeout  = 2 * time.Second
)

func (r *roster) set(hosts []peers.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = hosts
}

func (r *roster) equals(hosts []peers.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Equal(r.stored, hosts)
}

// keepRoster keeps the list of the zone's hosts in the store. The first host in rank writes it.
func (g *Gateway) keepRoster(ctx context.Context) {
	var seen []peers.Host
	var since, last time.Time
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		now := time.Now()
		hosts, first := g.peers.Roster(now)
		if !slices.Equal(hosts, seen) {
			seen, since = hosts, now
		}
		if !first || !g.ready() || g.roster.equals(hosts) || now.Sub(since) < rosterSettles || now.Sub(last) < rosterInterval {
			continue
		}
		last = now
		if err := g.writeRoster(ctx, hosts); err != nil {
			g.log.Warn("hosts_not_written", "error", err)
			continue
		}
		g.roster.set(hosts)
		g.log.Info("hosts_written", "zone", g.settings.Zone, "hosts", len(hosts))
	}
}

func (g *Gateway) writeRoster(ctx context.Context, hosts []peers.Host) error {
	record, err := cbor.Marshal(hosts)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	return g.store.Append(ctx, g.adapter.HostTopic, g.settings.Zone, record)
}
