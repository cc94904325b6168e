package host

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
	"github.com/charmbracelet/log"
)

// newFollower returns the follower that reads the contract changes from the platform's log. peers may be nil.
func newFollower(s *Settings, stream *platform.Log, logger *log.Logger, peers configlog.PeerSource, onChange func(*configlog.State)) *configlog.Follower {
	return configlog.NewFollower(configlog.Config{Host: s.Host, Peers: peers, OnChange: onChange, Logger: logger,
		Log:       platform.ConfigLog{Log: stream},
		Retention: time.Duration(s.LogRetentionS) * time.Second})
}

// configPeers implements configlog.PeerSource with calls to the peer ports of other hosts.
type configPeers struct {
	live func() []configlog.Peer
	call func(ctx context.Context, host, method string, in, out any) error
}

var _ configlog.PeerSource = configPeers{}

// LivePeers implements configlog.PeerSource.
func (p configPeers) LivePeers() []configlog.Peer { return p.live() }

// configPageTimeout bounds the transfer of one page of a peer's state.
const configPageTimeout = 2 * time.Second

// FetchState implements configlog.PeerSource.
func (p configPeers) FetchState(ctx context.Context, host string) (*configlog.State, error) {
	return wire.FetchConfigPages(ctx, func(ctx context.Context, in wire.FetchConfigRequest) (out wire.FetchConfigResponse, err error) {
		ctx, cancel := context.WithTimeout(ctx, configPageTimeout)
		defer cancel()
		err = p.call(ctx, host, wire.MethodFetchConfig, in, &out)
		return out, err
	})
}
