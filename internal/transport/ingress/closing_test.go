package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestClosedConnectionsAreReported guards against connections that are closed with a request unanswered and no trace for operators.
func TestClosedConnectionsAreReported(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\n\r\n"
	for _, c := range []struct {
		name   string
		reason CloseReason
		before string // sent before the server closes
		after  string // sent when it has closed
		id     string
	}{
		{"idle", CloseIdle, get("/"), request, "r-1"},
		{"partial", CloseIdle, get("/"), request[:20], ""},
		{"response", CloseRequest, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", request, "r-1"},
		{"caller left", CloseCallerLeft, request[:20], "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan ClosedConn, 1)
			limits := routing.DefaultLimits
			limits.IdleTimeout = 50 * time.Millisecond
			s := New(Config{Handler: newHandler(), Limits: func() routing.Limits { return limits }, MaxConnections: 8, OnClosed: func(c ClosedConn) { closed <- c }})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go s.Serve(l)
			nc, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			send(t, nc, c.before)
			if c.after == "" {
				nc.Close()
				select {
				case <-closed:
					t.Fatal("a caller that leaves is no fault of the host")
				case <-time.After(100 * time.Millisecond):
				}
				return
			}
			is.NoErr(nc.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err = io.Copy(io.Discard, nc) // until the server has closed its side
			is.NoErr(err)
			send(t, nc, c.after)
			nc.Close()
			got := <-closed
			is.Equal(got.Reason, c.reason)
			is.Equal(got.Unread, int64(len(c.after)))
			is.Equal(got.Header.Get("X-Id"), c.id)
			is.Equal(got.Requests, int64(1))
		})
	}
}

// TestIdleTimeoutOfNewConfiguration guards against connections that are closed by the idle timeout of an older configuration while their callers go by the
// newer one, and the other way round.
func TestIdleTimeoutOfNewConfiguration(t *testing.T) {
	for _, c := range []struct{ before, after, use time.Duration }{
		{5 * time.Second, 20 * time.Second, 15 * time.Second}, // raised
		{20 * time.Second, 5 * time.Second, 15 * time.Second}, // lowered
	} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			var idleTimeout atomic.Int64
			idleTimeout.Store(int64(c.before))
			network := newMemNetwork(time.Millisecond)
			s := New(Config{Handler: echoHandler{}, Limits: func() routing.Limits { return idleLimits(time.Duration(idleTimeout.Load())) }, MaxConnections: 1, Memory: bodyMemory(1)})
			go func() { _ = s.Serve(network) }() // returns when Close has closed the listener
			nc := network.dial()
			defer nc.Close()
			br := bufio.NewReader(nc)
			send(t, nc, get("/"))
			answer(t, br)
			begin := time.Now()
			time.Sleep(time.Second)
			idleTimeout.Store(int64(c.after))
			time.Sleep(c.use - time.Second)
			send(t, nc, get("/"))
			answer(t, br)
			is.True(time.Since(begin) < c.use+time.Second)
			begin = time.Now()
			_, err := br.ReadByte()
			is.Equal(err, io.EOF)
			is.True(time.Since(begin) <= c.after+time.Second) // the next wait goes by the new limit
			nc.Close()
			s.Close(context.Background())
		})
	}
}

// TestRequestBehindIdleCloseIsNotRead guards against a request that crosses the close of an idle connection and is read and discarded: its caller cannot tell
// that it has not run.
func TestRequestBehindIdleCloseIsNotRead(t *testing.T) {
	is := is.New(t)
	closed := make(chan ClosedConn, 1)
	limits := idleLimits(lingerTimeout + 200*time.Millisecond)
	s, _, dial := starvedServer(t, Config{Handler: newHandler(), Limits: func() routing.Limits { return limits }, MaxConnections: 8,
		OnClosed: func(c ClosedConn) { closed <- c }})
	nc := dial()
	send(t, nc, get("/1"))
	br := bufio.NewReader(nc)
	answer(t, br)
	_, err := br.ReadByte()
	is.Equal(err, io.EOF) // closed for idleness
	begin := time.Now()
	send(t, nc, get("/2"))
	waitFor(func() bool {
		_, err = io.WriteString(nc, "x")
		return err != nil
	})
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	is.True(time.Since(begin) < lingerTimeout/2)
	waitFor(func() bool { return s.Connections() == 0 })
	is.Equal(len(closed), 0) // nothing was read
}
