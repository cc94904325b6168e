package upstreamconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

// lateReader is a connection of a process whose reader gets no processor after the first response, until release or Close is called.
type lateReader struct {
	*net.TCPConn
	reads    int
	released chan struct{}
	once     sync.Once
}

func (c *lateReader) Read(b []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.released
	}
	return c.TCPConn.Read(b)
}

func (c *lateReader) release() { c.once.Do(func() { close(c.released) }) }

func (c *lateReader) Close() error {
	c.release()
	return c.TCPConn.Close()
}

// openLateReaders makes the connections of a pool lateReaders that have read a number of times, and calls opened for each.
func openLateReaders(p *Pool, reads int, opened func(*lateReader)) {
	dial := p.transport.DialContext
	p.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		wrapSocket(nc, func(socket *net.TCPConn) net.Conn {
			c := &lateReader{TCPConn: socket, reads: reads, released: make(chan struct{})}
			opened(c)
			return c
		})
		return nc, nil
	}
}

// wrapSocket replaces the socket of a new connection of a pool.
func wrapSocket(c net.Conn, wrap func(*net.TCPConn) net.Conn) {
	reset := c.(*guardedConn).Conn.(*strictresponse.ResetConn)
	reset.Conn = wrap(reset.Conn.(*net.TCPConn))
}

// TestUnreadBeforeRequest guards against a request that is written to an idle connection, and so counts as sent, although the upstream had closed it or
// written bytes that belong to no request, because the process has not read them yet.
func TestUnreadBeforeRequest(t *testing.T) {
	for name, c := range map[string]struct {
		stray    string
		reset    bool
		received sockbuf.Unread
	}{
		"copy of a response": {testResponse(refused, "r1", ""), false, sockbuf.Bytes},
		"closed":             {"", false, sockbuf.EOF},
		"reset":              {"", true, sockbuf.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sockets := make(chan *lateReader, 2)
			idle := make(chan struct{})
			u := newRawUpstream(t, func(conn net.Conn, r *http.Request, n, number int) bool {
				io.WriteString(conn, testResponse("200 OK", r.Header.Get(callerapi.UpstreamRequestID), ""))
				if n > 1 || number > 1 {
					return true
				}
				<-idle
				io.WriteString(conn, c.stray)
				if c.reset {
					conn.(*net.TCPConn).SetLinger(0)
				}
				return c.received == sockbuf.Bytes
			})
			p := testPool()
			openLateReaders(p, 0, func(c *lateReader) { sockets <- c })
			_, _, err := exchange(t.Context(), p, u.endpoint, call("r1", "POST", nil))
			is.NoErr(err)
			awaitIdle(p, u)
			close(idle)
			first := <-sockets
			for sockbuf.Received(first) != c.received {
				time.Sleep(time.Millisecond)
			}
			timer := time.AfterFunc(200*time.Millisecond, first.release)
			defer timer.Stop()
			resp, _, err := exchange(t.Context(), p, u.endpoint, call("r2", "POST", nil))
			is.NoErr(err)
			is.Equal(resp.Status, http.StatusOK)
			conns, requests := u.counts()
			is.Equal(conns, 2)
			is.Equal(requests, 2)
		})
	}
}

// TestUnreadOnNewConnection guards against a request that counts as sent although the upstream had refused its connection before it was written, and against
// such a refusal that counts as the response.
func TestUnreadOnNewConnection(t *testing.T) {
	const reset = "reset"
	for name, refusal := range map[string]string{"response": testResponse(refused, "r1", ""), "closed": "", "reset": reset} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if refusal == reset {
						c.(*net.TCPConn).SetLinger(0)
					} else {
						io.WriteString(c, refusal)
					}
					c.Close()
				}
			}()
			p := testPool()
			openLateReaders(p, 1, func(c *lateReader) {
				for sockbuf.Received(c) == sockbuf.Empty {
					time.Sleep(time.Millisecond)
				}
				time.AfterFunc(200*time.Millisecond, c.release)
			})
			u := &rawUpstream{}
			u.endpoint.Address = l.Addr().String()
			_, err = p.Send(t.Context(), u.endpoint, call("r1", "POST", nil))
			is.True(err != nil && !written(err))
		})
	}
}
