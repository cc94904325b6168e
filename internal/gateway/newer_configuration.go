package gateway

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

const (
	// updateGrace is how long a configuration that another host has may take to reach this host in an update or a read before it is fetched.
	updateGrace = 500 * time.Millisecond
	// maxReceiveWait is how long a catch-up or a read of the store in progress, which brings the configuration too, may hold up its fetch. Over a slow link, a
	// large configuration that comes twice comes late.
	maxReceiveWait    = time.Second
	receivePollPeriod = 20 * time.Millisecond
	// firstFetchPause is the pause after a fetch that has not brought the configuration. It doubles up to maxFetchPause.
	firstFetchPause = 100 * time.Millisecond
	maxFetchPause   = 5 * time.Second
)

// newerConfiguration is a configuration that another host has in force and this one lacks. Neither the store nor updates bring it if the store has
// returned from a copy without it.
type newerConfiguration struct {
	known chan struct{} // is signaled when a host names it

	mu      sync.Mutex
	version uint64     // the newest that a host has named
	host    peers.Host // the last host that has named it
}

// version returns the version of the configuration in force, or 0 if there is none.
func (g *Gateway) version() uint64 {
	if t := g.routes.Load(); t != nil {
		return t.Version
	}
	return 0
}

// recordVersion records which configuration another host has in force.
func (g *Gateway) recordVersion(h peers.Host, version uint64) {
	if version <= g.version() || !g.hasStoreCopy.Load() { // a starting host gets the whole state of a host, or reads the store
		return
	}
	n := &g.newerElsewhere
	n.mu.Lock()
	defer n.mu.Unlock()
	if version < n.version {
		return
	}
	n.version, n.host = version, h
	select {
	case n.known <- struct{}{}:
	default: // it is signaled already
	}
}

// lackedConfiguration returns the newest configuration that another host has, and that host. It returns false if this host has it.
func (g *Gateway) lackedConfiguration() (version uint64, from peers.Host, ok bool) {
	n := &g.newerElsewhere
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.host, n.version > g.version()
}

// forgetVersion forgets a configuration that the host that has named it did not send, until a host names it again.
func (g *Gateway) forgetVersion(version uint64) {
	n := &g.newerElsewhere
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.version == version {
		n.version = 0
	}
}

// fetchNewerConfigurations fetches configurations that this host lacks from hosts that have them, until the context ends.
func (g *Gateway) fetchNewerConfigurations(ctx context.Context) {
	pause := firstFetchPause
	for ctx.Err() == nil {
		select {
		case <-g.newerElsewhere.known:
		case <-ctx.Done():
		}
		sleep(ctx, updateGrace)
		for ctx.Err() == nil {
			for begin := time.Now(); g.follower.Receiving() && time.Since(begin) < maxReceiveWait && ctx.Err() == nil; {
				sleep(ctx, receivePollPeriod)
			}
			version, from, ok := g.lackedConfiguration()
			if !ok {
				break
			}
			if g.fetchConfiguration(ctx, version, from) {
				pause = firstFetchPause
				break
			}
			sleep(ctx, pause)
			pause = min(2*pause, maxFetchPause)
		}
	}
}

// fetchConfiguration fetches a configuration from a host. It reports whether this host has it then, or a newer one.
func (g *Gateway) fetchConfiguration(ctx context.Context, version uint64, from peers.Host) bool {
	was := g.version()
	state, err := fetchState(ctx, from, "?"+url.Values{topicParameter: {g.adapter.ContractTopic}}.Encode(), idleCatchUpTimeout)
	if err == nil {
		g.follower.InstallTopic(state, g.adapter.ContractTopic, time.Now())
		g.forgetVersion(version)
	}
	if g.version() >= version {
		g.metrics.Add("configurations_fetched_total", 1)
		g.log.Info("configuration_fetched", "from", from.Name, "version", g.version(), "was", was)
		return true
	}
	g.log.Warn("configuration_not_fetched", "from", from.Name, "version", version, "have", g.version(), "error", err)
	return false
}
