package peerrpc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

const testSecret = "cluster-secret-of-tests"

type message struct {
	Text string `cbor:"1,keyasint"`
}

// serve runs a server for host-b and returns its address and a function that stops it.
func serve(t testing.TB, address string, setup func(*Server)) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("host-b", []byte(testSecret), nil)
	setup(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(ctx, l); err != nil {
			t.Error(err)
		}
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func peersTo(t testing.TB, secret, address string) *Peers {
	p := NewPeers("host-a", []byte(secret), func(host string) string {
		if host == "host-unknown" {
			return ""
		}
		return address
	})
	t.Cleanup(p.Close)
	return p
}

// echo registers handlers that return the caller's name and text ("echo"), a trace error ("missing") and a RemoteError ("own").
func echo(s *Server) {
	s.Handle("echo", func(_ context.Context, from string, body []byte) (any, error) {
		var in message
		if err := wire.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		return message{from + ":" + in.Text}, nil
	})
	s.Handle("missing", func(context.Context, string, []byte) (any, error) { return nil, trace.NotFound("no such key") })
	s.Handle("own", func(context.Context, string, []byte) (any, error) { return nil, &RemoteError{"own_code", "text"} })
}

// TestCall guards against host names, results and error types that are lost on the way, and against a failed call that reports wrongly
// whether it may have reached the peer.
func TestCall(t *testing.T) {
	is := is.New(t)
	address, stop := serve(t, "127.0.0.1:0", echo)
	p := peersTo(t, testSecret, address)
	ctx := t.Context()
	var out message
	is.NoErr(p.Call(ctx, "host-b", "echo", message{"hello"}, &out))
	is.Equal(out.Text, "host-a:hello")

	err := p.Call(ctx, "host-b", "missing", message{}, &out)
	is.True(trace.IsNotFound(errors.Unwrap(errors.Unwrap(err))))
	is.True(MayHaveReached(err))
	var remote *RemoteError
	is.True(errors.As(p.Call(ctx, "host-b", "own", message{}, &out), &remote))
	is.Equal(*remote, RemoteError{"own_code", "text"})
	is.True(errors.As(p.Call(ctx, "host-b", "nothing", message{}, &out), &remote))
	is.Equal(remote.Code, CodeNotImplemented)
	is.True(errors.As(p.Call(ctx, "host-b", "echo", 5, &out), &remote))
	is.Equal(remote.Code, CodeBadParameter)

	for _, err := range []error{
		p.Call(ctx, "host-unknown", "echo", message{}, &out),
		p.Call(ctx, "host-c", "echo", message{}, &out), // host-b answers at this address, so the handshake fails
		peersTo(t, "another-secret", address).Call(ctx, "host-b", "echo", message{}, &out),
		p.Call(ctx, "host-b", "echo", message{strings.Repeat("x", wire.MaxFrameBytes)}, &out),
	} {
		is.True(err != nil && !MayHaveReached(err))
	}

	stop()
	is.True(p.Call(ctx, "host-b", "echo", message{}, &out) != nil)
	serve(t, address, echo)
	is.NoErr(p.Call(ctx, "host-b", "echo", message{"again"}, &out)) // reconnects
}

// TestTrafficMatchesAtBothEnds guards against byte counters that miss a direction, which would understate control traffic.
func TestTrafficMatchesAtBothEnds(t *testing.T) {
	is := is.New(t)
	var s *Server
	address, _ := serve(t, "127.0.0.1:0", func(server *Server) { s = server; echo(server) })
	p := peersTo(t, testSecret, address)
	is.NoErr(p.Call(t.Context(), "host-b", "echo", message{"hello"}, &message{}))
	is.True(p.Traffic().SentBytes.Load() > int64(len("hello")))
	is.True(p.Traffic().ReceivedBytes.Load() > int64(len("host-a:hello")))
	// The server may not have received the last frame of a call yet when the call returns.
	for s.Traffic().ReceivedBytes.Load() != p.Traffic().SentBytes.Load() || s.Traffic().SentBytes.Load() != p.Traffic().ReceivedBytes.Load() {
		is.NoErr(t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

// TestDeadline guards against a call that continues after its context ended, and against reuse of the connection of such a call.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan error, 1)
	address, _ := serve(t, "127.0.0.1:0", func(s *Server) {
		echo(s)
		s.Handle("block", func(ctx context.Context, _ string, _ []byte) (any, error) {
			close(started)
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
	})
	p := peersTo(t, testSecret, address)
	ctx, cancel := context.WithCancel(t.Context())
	var out message
	go func() { <-started; cancel() }()
	err := p.Call(ctx, "host-b", "block", message{}, &out)
	is.True(errors.Is(err, context.Canceled))
	is.True(MayHaveReached(err))
	is.True(<-ended != nil) // the handler's context ended too
	is.NoErr(p.Call(t.Context(), "host-b", "echo", message{"x"}, &out))
}

// TestSilentListener guards against a call that waits beyond its deadline for a peer that accepts connections and sends nothing.
func TestSilentListener(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err = peersTo(t, testSecret, l.Addr().String()).Call(ctx, "host-b", "echo", message{}, nil)
	is.True(err != nil && !MayHaveReached(err))
}

// TestConcurrentCallsAreBounded guards against a server that runs more than maxCalls handlers at the same time.
func TestConcurrentCallsAreBounded(t *testing.T) {
	is := is.New(t)
	var running atomic.Int64
	s := NewServer("host-b", []byte(testSecret), nil)
	release := make(chan struct{})
	s.Handle("block", func(context.Context, string, []byte) (any, error) {
		running.Add(1)
		<-release
		return nil, nil
	})
	ctx := context.WithValue(t.Context(), remotePeerKey{}, remotePeer{host: "host-a"})
	done := make(chan struct{})
	for range maxCalls {
		go func() { s.call(ctx, &callRequest{Method: "block"}); done <- struct{}{} }()
	}
	for running.Load() < maxCalls {
		time.Sleep(time.Millisecond)
	}
	reply, err := s.call(ctx, &callRequest{Method: "block"})
	is.NoErr(err)
	is.Equal(reply.Err.Code, CodeLimitExceeded)
	close(release)
	for range maxCalls {
		<-done
	}
}

// closingListener accepts connections that close right after their next write once armed is set.
type closingListener struct {
	net.Listener
	armed *atomic.Bool
}

func (l closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return closingConn{c, l.armed}, err
}

type closingConn struct {
	net.Conn
	armed *atomic.Bool
}

func (c closingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.armed.Load() {
		c.Conn.Close()
	}
	return n, err
}

// TestConnectionClosedAfterReply guards against a call that fails although its whole reply has arrived, because the peer closes the
// connection after the reply, as it does when it stops.
func TestConnectionClosedAfterReply(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var armed atomic.Bool
	s := NewServer("host-b", []byte(testSecret), nil)
	replies := map[string]any{"text": message{"hello"}, "nothing": nil}
	for method, reply := range replies {
		s.Handle(method, func(context.Context, string, []byte) (any, error) {
			armed.Store(true)
			return reply, nil
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, closingListener{l, &armed}) }()
	const rounds = 50
	for range rounds {
		for method, reply := range replies {
			armed.Store(false)
			var out message
			is.NoErr(peersTo(t, testSecret, l.Addr().String()).Call(t.Context(), "host-b", method, message{}, &out))
			is.Equal(out.Text != "", reply != nil)
		}
	}
	cancel()
	is.NoErr(<-ended)
}

// TestDrainCalls guards against a stop that cuts calls in progress, or whose last replies are lost because the connection is closed between the
// end of the handler and the reply. New calls must be rejected meanwhile, so that the stop ends.
func TestDrainCalls(t *testing.T) {
	const rounds, calls = 20, 4
	for range rounds {
		is := is.New(t)
		var running atomic.Int32
		release := make(chan struct{})
		var s *Server
		address, stop := serve(t, "127.0.0.1:0", func(server *Server) {
			s = server
			s.Handle("wait", func(context.Context, string, []byte) (any, error) {
				running.Add(1)
				<-release
				return message{strings.Repeat("x", 1<<20)}, nil
			})
		})
		p := peersTo(t, testSecret, address)
		results := make(chan error, calls)
		for range calls {
			go func() {
				var out message
				err := p.Call(t.Context(), "host-b", "wait", message{}, &out)
				if err == nil && len(out.Text) != 1<<20 {
					err = errors.New("the reply is not whole")
				}
				results <- err
			}()
		}
		for running.Load() < calls {
			time.Sleep(time.Millisecond)
		}
		expired, cancel := context.WithCancel(t.Context())
		cancel()
		is.Equal(s.DrainCalls(expired), calls)
		err := p.Call(t.Context(), "host-b", "wait", message{}, nil)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "this host is stopping"))
		drained := make(chan int)
		go func() { drained <- s.DrainCalls(t.Context()) }()
		close(release)
		is.Equal(<-drained, 0)
		stop()
		for range calls {
			is.NoErr(<-results)
		}
	}
}

// TestUnauthenticatedPeers guards against a peer without the cluster secret that gets a response, has a handler run or opens more than
// maxHandshakes connections.
func TestUnauthenticatedPeers(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, "127.0.0.1:0", echo)
	for _, data := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n" + strings.Repeat("x", 200), strings.Repeat("\xff", 4096)} {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = c.Write([]byte(data))
		is.NoErr(err)
		n, err := c.Read(make([]byte, 1))
		is.True(n == 0 && err != nil) // closed without a response
		c.Close()
	}
	silent := make([]net.Conn, maxHandshakes)
	for i := range silent {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
		silent[i] = c
	}
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil) // a connection beyond the limit is closed immediately
}

// TestMalformedFrames guards against a server that crashes or keeps the connection after an authenticated peer has sent malformed or
// too large frames.
func TestMalformedFrames(t *testing.T) {
	address, _ := serve(t, "127.0.0.1:0", echo)
	huge := append([]byte{0x07, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x7f}, make([]byte, wire.MaxFrameBytes+8<<10)...)
	for name, data := range map[string][]byte{"zero id": {0x07, 0, 0, 1, 0}, "varint": append([]byte{0x07}, bytes.Repeat([]byte{0xff}, 11)...),
		"huge": huge, "kind change": {0x04, 1, 1, 0, 0x07, 1, 1, 0}} {
		p := peersTo(t, testSecret, address)
		c, err := p.dial(t.Context(), "host-b", address, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.counted.Write(data) // the server may close the connection before all is written
		select {
		case <-c.Closed():
		case <-time.After(10 * time.Second):
			t.Errorf("%s: the server did not close the connection", name)
		}
		c.Close()
	}
	var out message
	if err := peersTo(t, testSecret, address).Call(t.Context(), "host-b", "echo", message{"x"}, &out); err != nil {
		t.Error(err)
	}
}

// TestStream guards against lost or reordered messages, and against an end of the stream that does not detect that the other end closed
// it.
func TestStream(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	address, stop := serve(t, "127.0.0.1:0", func(s *Server) {
		s.HandleStream(func(_ context.Context, from string, st *Stream) error {
			for {
				var m message
				if err := st.Recv(&m); err != nil {
					ended <- err
					return nil
				}
				if err := st.Send(message{from + ":" + m.Text}); err != nil {
					ended <- err // the other end may read the reply and close the stream before Send returns
					return err
				}
			}
		})
	})
	p := peersTo(t, testSecret, address)
	st, err := p.Open(t.Context(), "host-b")
	is.NoErr(err)
	var out message
	for _, text := range []string{"a", "b", "c"} {
		is.NoErr(st.Send(message{text}))
		is.NoErr(st.Recv(&out))
		is.Equal(out.Text, "host-a:"+text)
	}
	st.Close()
	is.True(<-ended != nil)

	st, err = p.Open(t.Context(), "host-b")
	is.NoErr(err)
	is.NoErr(st.Send(message{"x"}))
	is.NoErr(st.Recv(&out))
	stop()
	is.True(st.Recv(&out) != nil)
}

// TestSilentStream guards against a stream that stays open although the peer stopped sending without closing the connection.
func TestSilentStream(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() { // authenticates, then never sends anything
		c, err := l.Accept()
		if err != nil {
			return
		}
		wire.ServerHandshake(c, []byte(testSecret), wire.Hello{Host: "host-b"})
		<-t.Context().Done()
		c.Close()
	}()
	st, err := peersTo(t, testSecret, l.Addr().String()).Open(t.Context(), "host-b")
	is.NoErr(err)
	var m message
	is.True(st.Recv(&m) != nil)
}
