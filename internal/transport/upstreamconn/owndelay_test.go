package upstreamconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// unreadConn is a connection of a process that gets no processor to read it.
type unreadConn struct {
	*net.TCPConn
	closed chan struct{}
}

func (c *unreadConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *unreadConn) Close() error {
	close(c.closed)
	return c.TCPConn.Close()
}

// TestUnreadResponseIsOwnDelay guards against endpoints that are blamed for a response that this host has not read in time, or has asked for too late, and
// against endpoints that are not blamed for giving none.
func TestUnreadResponseIsOwnDelay(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for name, c := range map[string]struct {
		responds   bool
		dialDelay  time.Duration
		noTimeout  bool
		wantsDelay bool
	}{
		"a response lies unread":        {responds: true, wantsDelay: true},
		"no response":                   {},
		"the request was written late":  {dialDelay: timeout * 3 / 4, wantsDelay: true},
		"the request was never written": {dialDelay: timeout * 2, wantsDelay: true},
		"the caller left, not the time": {responds: true, noTimeout: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
				if c.responds {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
				return true
			})
			p := testPool()
			var delays int
			p.cfg.OnOwnDelay = func() { delays++ }
			dial := p.transport.DialContext
			sockets := make(chan *unreadConn, 1)
			p.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				wrapSocket(nc, func(c *net.TCPConn) net.Conn {
					socket := &unreadConn{c, make(chan struct{})}
					sockets <- socket
					return socket
				})
				time.Sleep(c.dialDelay)
				return nc, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			if c.noTimeout {
				go func() {
					for socket := <-sockets; sockbuf.Received(socket) != sockbuf.Bytes; {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			_, err := p.Send(ctx, u.endpoint, call("1", http.MethodGet, nil))
			var sendErr *executor.SendError
			is.True(errors.As(err, &sendErr))
			is.Equal(sendErr.OwnDelay, c.wantsDelay)
			is.Equal(delays == 1, c.wantsDelay)
		})
	}
}

// TestEstablishedConnectionIsNoTimeout guards against connections that are given up as timed out although they are established, because the process got no
// processor to notice it.
func TestEstablishedConnectionIsNoTimeout(t *testing.T) {
	is := is.New(t)
	const rounds = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	cfg := DefaultConfig()
	cfg.ConnectTimeout = 20 * time.Millisecond
	p := NewPool(cfg)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			for !stop.Load() {
			}
		})
	}
	failed := 0
	for range rounds {
		nc, err := p.connect(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			failed++
			continue
		}
		nc.Close()
	}
	stop.Store(true)
	group.Wait()
	is.True(failed <= rounds/4) // the time can also pass before the connection is begun
}
