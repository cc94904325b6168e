package upstreamconn

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// RefusesConnections reports whether the address of an endpoint refuses connections, as it does once the endpoint's process has ended. An address that does
// not answer says nothing, since the network may be the cause.
func (p *Pool) RefusesConnections(ctx context.Context, e endpoints.Endpoint) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ClosesUnanswered reports whether the address of an endpoint refuses connections or accepts one and closes it without any response to a GET request
// for path. That is what a relay does whose endpoint has ended, and also an endpoint that has too many connections.
func (p *Pool) ClosesUnanswered(ctx context.Context, e endpoints.Endpoint, path string) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return false
		}
	}
	// A failed write shows in the read.
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+e.Address+"\r\nConnection: close\r\n\r\n")
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}
