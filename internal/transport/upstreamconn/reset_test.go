package upstreamconn

import (
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

// TestResetWhileSending guards against the part of a response without a length that is taken as whole, if the upstream resets the connection while the
// request's body is being written.
func TestResetWhileSending(t *testing.T) {
	const runs = 25
	for _, size := range []int{64 << 10, 8 << 20, 32 << 20} {
		body := make([]byte, size)
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, reset after %v", size, delay), func(t *testing.T) {
				u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
					io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\n\r\npart"))
					time.Sleep(delay)
					c.(*net.TCPConn).SetLinger(0)
					return false
				})
				whole := 0
				for run := range runs {
					if _, _, err := exchange(t.Context(), NewPool(DefaultConfig()), u.endpoint, call(fmt.Sprint("r", run), http.MethodPost, body)); err == nil {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("whole in %d of %d runs", whole, runs)
				}
			})
		}
	}
}

// TestResponseBeforeEndOfRequest guards against the loss of responses that are whole: the upstream has read the request's body, or still reads it and has
// ended the response in order.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	const runs = 10
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
		"length": func(c net.Conn, r *http.Request) {
			io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"))
			discard(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool { serve(c, r); return false })
			for run := range runs {
				resp, body, err := exchange(t.Context(), NewPool(DefaultConfig()), u.endpoint, call(fmt.Sprint("r", run), http.MethodPost, longBody))
				is.NoErr(err)
				is.Equal(resp.Status, http.StatusOK)
				is.Equal(body, "whole")
			}
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
