package upstreamconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// endedRecheck is the time after which an address is tried again that still accepted a connection. A process that ends may close its
// connections before its listening socket.
const endedRecheck = 15 * time.Millisecond

// HasEnded reports whether the process of an endpoint is gone: its address refuses connections. An address that does not answer says nothing, since the
// network may be the cause.
func (p *Pool) HasEnded(ctx context.Context, e endpoints.Endpoint) bool {
	for range 2 {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.Address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		conn.Close()
		select {
		case <-time.After(endedRecheck):
		case <-ctx.Done():
			return false
		}
	}
	return false
}
