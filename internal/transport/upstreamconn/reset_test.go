package upstreamconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// earlyHeads are heads of responses whose bodies end with their connection.
var earlyHeads = []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"}

// resetWhileSending returns how often a part of a response is taken as whole, if the upstream writes it before it reads a body of the given size, and resets
// the connection after delay. If endFirst is true, it ends its side of the connection right behind the part.
func resetWhileSending(t *testing.T, head string, size, runs int, endFirst bool, delay time.Duration) (whole int) {
	t.Helper()
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		if endFirst {
			c.(*net.TCPConn).SetReadBuffer(128 << 10) // less than the body
		}
		io.WriteString(c, withID(r, head+"part"))
		if endFirst {
			c.(*net.TCPConn).CloseWrite()
		}
		time.Sleep(delay)
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	body := make([]byte, size)
	for run := range runs {
		if _, _, err := exchange(t.Context(), NewPool(DefaultConfig()), u.endpoint, call(fmt.Sprint("r", run), http.MethodPost, body)); err == nil {
			whole++
		}
	}
	return whole
}

// TestResetWhileSending guards against the part of a response without a length that is taken as whole, if the upstream resets the connection while the
// request's body is being written.
func TestResetWhileSending(t *testing.T) {
	for _, size := range []int{64 << 10, 8 << 20, 32 << 20} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, reset after %v", size, delay), func(t *testing.T) {
				is.New(t).Equal(resetWhileSending(t, earlyHeads[0], size, 25, false, delay), 0)
			})
		}
	}
}

// TestResetAfterEndWhileSending guards against the same part if the upstream has ended its side of the connection in order before the reset.
func TestResetAfterEndWhileSending(t *testing.T) {
	for _, head := range earlyHeads {
		for _, size := range []int{1 << 20, 8 << 20, 32 << 20} {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%q, %d bytes, reset after %v", head, size, delay), func(t *testing.T) {
					is.New(t).Equal(resetWhileSending(t, head, size, 10, true, delay), 0)
				})
			}
		}
	}
}

// TestResponseBeforeEndOfRequest guards against the loss of responses that are whole: the upstream has read the request's body, or still reads it and has
// ended the response in order.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	const runs = 10
	hugeBody := make([]byte, 32<<20)
	discard := func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) } // fails if the pool has closed the connection
	for name, serve := range map[string]func(c net.Conn, r *http.Request){
		"until close, body read": func(c net.Conn, r *http.Request) {
			discard(r)
			io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\n\r\nwhole"))
		},
		"until close, half closed": func(c net.Conn, r *http.Request) {
			io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\n\r\nwhole"))
			c.(*net.TCPConn).CloseWrite()
			discard(r)
		},
		"until close, half closed, read later": func(c net.Conn, r *http.Request) {
			io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\n\r\nwhole"))
			c.(*net.TCPConn).CloseWrite()
			time.Sleep(100 * time.Millisecond)
			discard(r)
		},
		"length": func(c net.Conn, r *http.Request) {
			io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"))
			discard(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool { serve(c, r); return false })
			for run := range runs {
				for _, upload := range [][]byte{longBody, hugeBody} {
					resp, body, err := exchange(t.Context(), NewPool(DefaultConfig()), u.endpoint, call(fmt.Sprint("r", run), http.MethodPost, upload))
					is.NoErr(err)
					is.Equal(resp.Status, http.StatusOK)
					is.Equal(body, "whole")
				}
			}
		})
	}
}

// TestEndOfFileBeforeEndOfRequest guards against an upstream that ends its side of the connection and reads no more: it must not hold a request, its connection
// or the memory of its body beyond the deadline or WriteTimeout, or after the caller has left. The bodies lie in the kernel's buffers, or do not fit there.
func TestEndOfFileBeforeEndOfRequest(t *testing.T) {
	const bound, slack = 200 * time.Millisecond, 10 * time.Second
	for _, size := range []int{1 << 20, 32 << 20} {
		for _, end := range []string{"deadline", "caller leaves", "write timeout"} {
			if end == "write timeout" && size == 1<<20 {
				continue // nothing is being written
			}
			t.Run(fmt.Sprintf("%d bytes, %s", size, end), func(t *testing.T) {
				is := is.New(t)
				u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
					c.(*net.TCPConn).SetReadBuffer(128 << 10) // less than the body
					io.WriteString(c, withID(r, earlyHeads[0]+"part"))
					c.(*net.TCPConn).CloseWrite()
					<-t.Context().Done()
					return false
				})
				cfg := DefaultConfig()
				cfg.WriteTimeout = time.Minute
				ctx, begin := t.Context(), time.Now()
				switch end {
				case "deadline":
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, bound)
					defer cancel()
				case "write timeout":
					cfg.WriteTimeout = bound
				}
				p, released := NewPool(cfg), make(chan struct{})
				c := call("r1", http.MethodPost, make([]byte, size))
				c.RetainBody = func() func() { return func() { close(released) } }
				resp, err := p.Send(ctx, u.endpoint, c)
				is.NoErr(err)
				if end == "caller leaves" {
					time.AfterFunc(bound, func() { resp.Body.Close() })
				}
				data, err := io.ReadAll(resp.Body)
				is.Equal(string(data), "part")
				is.True(err != nil)
				is.True(time.Since(begin) >= bound) // the upstream may still read the rest of the body
				resp.Body.Close()
				select {
				case <-released:
				case <-time.After(slack):
					t.Error("the body is still in use")
				}
				for p.openCount(u.endpoint.ID) > 0 {
					if time.Since(begin) > slack {
						t.Fatal("the connection is still open")
					}
					time.Sleep(time.Millisecond)
				}
				is.True(time.Since(begin) < slack)
			})
		}
	}
}

// TestEarlyEndOfIncompleteResponse guards against a response with a length or chunks that waits for the end of the request, if the connection ends within it.
func TestEarlyEndOfIncompleteResponse(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\npart"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
				io.WriteString(c, withID(r, text))
				c.(*net.TCPConn).CloseWrite()
				<-t.Context().Done()
				return false
			})
			cfg := DefaultConfig()
			cfg.WriteTimeout = time.Minute
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			_, _, err := exchange(ctx, NewPool(cfg), u.endpoint, call("r1", http.MethodPost, longBody))
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}

// peekedConn is a connection that the upstream has reset. The first call that asks for its state takes the error, so that Read returns an end of file after it,
// as with the kernel's connections.
type peekedConn struct {
	net.Conn
	peeked chan struct{}
}

func (c peekedConn) Received() sockbuf.Unread {
	close(c.peeked)
	time.Sleep(10 * time.Millisecond) // Read may return before the connection is closed
	return sockbuf.EOF
}

func (peekedConn) Take([]byte) int { return 0 }

func (c peekedConn) Read([]byte) (int, error) {
	<-c.peeked
	return 0, io.EOF
}

// TestPeekBeforeClose guards against a part of a response that is taken as whole because Close has taken the error of the connection.
func TestPeekBeforeClose(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	g := &guardedConn{Conn: peekedConn{Conn: near, peeked: make(chan struct{})}, state: awaitingResponse, onClose: func() {}}
	go g.Close()
	_, err := g.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
}
