package lingering

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	responseBytes = 1 << 20
	receiveBuffer = 64 << 10 // of the caller in bytes, so that the kernel of the server holds the rest of a response
	request       = "GET / HTTP/1.1\r\nHost: lots.example\r\n\r\n"
)

// server serves responses that it does not begin before release is closed.
type server struct {
	http.Server
	address string
	started chan struct{} // receives a value for each request
	release chan struct{}
}

func newServer(t *testing.T, wrap func(net.Listener) net.Listener) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), started: make(chan struct{}, 10), release: make(chan struct{})}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.started <- struct{}{}
		<-s.release
		w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
		if r.Header.Get("Connection") == "" {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write(make([]byte, responseBytes)) // the caller checks what has arrived
	})
	go func() { _ = s.Serve(wrap(l)) }() // ends with the test
	t.Cleanup(func() { s.Close() })
	return s
}

// dial connects to the server and sends a request.
func (s *server) dial(t *testing.T, request string) *net.TCPConn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(receiveBuffer))
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	<-s.started
	return c.(*net.TCPConn)
}

// TestLastResponseIsNotLost guards against a last response that is cut because the caller has sent a further request: closing a connection
// with unread bytes makes the kernel reset it.
func TestLastResponseIsNotLost(t *testing.T) {
	for _, c := range []struct {
		name, request string
		stop          bool
	}{
		{"response that closes the connection", request, false},
		{"stop of the server", "GET / HTTP/1.1\r\nHost: lots.example\r\nConnection: keep-alive\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var group Group
			s := newServer(t, group.Listener)
			caller := s.dial(t, c.request)
			_, err := io.WriteString(caller, c.request)
			is.NoErr(err)
			stopped := make(chan error, 1)
			if c.stop {
				stopping := make(chan struct{}) // closed once the server reads no further requests
				s.RegisterOnShutdown(func() { close(stopping) })
				go func() { stopped <- s.Shutdown(t.Context()) }()
				<-stopping
			} else {
				stopped <- nil
			}
			close(s.release)
			for !group.hasConns() { // the server has closed the connection
				time.Sleep(time.Millisecond)
			}
			is.NoErr(<-stopped)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			n, err := io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(n, int64(responseBytes))
			is.Equal(len(s.started), 0) // the second request was not run
			caller.Close()
			group.Wait(t.Context())
			is.True(!group.hasConns())
		})
	}
}

func (g *Group) hasConns() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns > 0
}

// TestPeerThatNeverCloses guards against connections that are read without end after they were closed, because the peer neither closes its
// side nor stops to send, and against a Wait that does not end with its context.
func TestPeerThatNeverCloses(t *testing.T) {
	is := is.New(t)
	var group Group
	s := newServer(t, group.Listener)
	close(s.release)
	silent, busy := s.dial(t, request), s.dial(t, request)
	go func() {
		for {
			if _, err := io.WriteString(busy, request); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(silent), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	group.Wait(ctx)
	begin := time.Now()
	group.Wait(t.Context())
	is.True(time.Since(begin) < timeout+10*time.Second) // a slow machine
	is.True(!group.hasConns())
}

// TestCloseEndsCalls guards against reads and writes that go on after Close, when they were in progress, and against deadlines that are
// changed after it.
func TestCloseEndsCalls(t *testing.T) {
	is := is.New(t)
	var group Group
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer plain.Close()
	l := group.Listener(plain)
	peer, err := net.Dial("tcp", plain.Addr().String())
	is.NoErr(err)
	defer peer.Close()
	c, err := l.Accept()
	is.NoErr(err)
	read, written := make(chan error), make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	go func() {
		_, err := c.Write(make([]byte, 64<<20)) // more than the kernel holds
		written <- err
	}()
	time.Sleep(10 * time.Millisecond)
	is.NoErr(c.Close())
	is.True(errors.Is(<-read, net.ErrClosed))
	is.True(<-written != nil)
	is.True(errors.Is(c.SetReadDeadline(time.Time{}), net.ErrClosed))
	is.True(errors.Is(c.SetDeadline(time.Time{}), net.ErrClosed))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
	_, err = c.Write([]byte("x"))
	is.True(err != nil)
	is.True(errors.Is(c.Close(), net.ErrClosed))
	peer.Close()
	group.Wait(t.Context())
}

// TestPeerThatHasClosed guards against connections that are still read although their peer has closed them, which delays a stop.
func TestPeerThatHasClosed(t *testing.T) {
	is := is.New(t)
	var group Group
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer plain.Close()
	peer, err := net.Dial("tcp", plain.Addr().String())
	is.NoErr(err)
	c, err := group.Listener(plain).Accept()
	is.NoErr(err)
	peer.Close()
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(c.Close())
	is.True(!group.hasConns())
}
