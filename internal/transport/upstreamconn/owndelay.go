package upstreamconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// minAnswerShare is the part of a request's time that the upstream must have had for its response, so that a timeout says something about it.
const minAnswerShare = 0.5

// isOwnDelay reports whether the time of a request that began at start has passed because this host got no processor. askedAt is when this host last sent
// something to the upstream that it has to respond to; zero if it sent nothing. responded says that bytes of a response had arrived.
func isOwnDelay(ctx context.Context, start, askedAt time.Time, responded bool) bool {
	deadline, ok := ctx.Deadline()
	if !ok || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return false
	}
	return responded || askedAt.IsZero() || float64(time.Since(askedAt)) < minAnswerShare*float64(deadline.Sub(start))
}

// maxNoticeTime bounds the time in which a goroutine gets a processor to notice that its connection is established.
const maxNoticeTime = time.Second

// connect opens a connection within ConnectTimeout. If the time passes while the connection is established already, which this process has not noticed
// yet, it returns the connection.
func (p *Pool) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancelTimeout := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancelTimeout()
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var mu sync.Mutex
	var socket syscall.RawConn
	dialer := *p.dialer
	dialer.Timeout = 0 // that of ctx holds
	dialer.ControlContext = func(_ context.Context, _, _ string, c syscall.RawConn) error {
		mu.Lock()
		defer mu.Unlock()
		socket = c
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if socket == nil || !sockbuf.Connected(socket) {
			cancel()
			return
		}
		time.AfterFunc(maxNoticeTime, cancel)
	})
	defer stop()
	nc, err := dialer.DialContext(dialCtx, network, address)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, ctx.Err())
	}
	return nc, err
}
