package peerrpc

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

// Handler implements a method. body is CBOR and is decoded with wire.Unmarshal. The result is encoded as CBOR.
type Handler func(ctx context.Context, fromHost string, body []byte) (any, error)

// StreamHandler serves one grant stream. The stream is closed when the handler returns.
type StreamHandler func(ctx context.Context, fromHost string, s *Stream) error

// Limits of a server. Connections and calls beyond them are rejected immediately.
const (
	maxHandshakes  = 64   // connections whose peer has not yet authenticated
	maxConnections = 1024 // authenticated connections
	maxCalls       = 256  // concurrent calls
)

// Server serves calls and grant streams of other entry hosts. Handlers must be registered before Serve is called.
type Server struct {
	self          string
	secret        []byte
	handlers      map[string]Handler
	streamHandler StreamHandler
	handshakes    chan struct{} // one element for each connection in its handshake
	connections   chan struct{} // one element for each authenticated connection
	calls         chan struct{} // one element for each running call
	gate          callGate
	onError       func(error)
	traffic       Traffic
}

// Traffic returns the byte counters of the connections that other hosts opened.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// NewServer returns a server for the host with the name self. onError is called for each rejected connection; it may be nil.
func NewServer(self string, secret []byte, onError func(error)) *Server {
	if onError == nil {
		onError = func(error) {}
	}
	return &Server{self: self, secret: secret, handlers: map[string]Handler{}, onError: onError,
		handshakes: make(chan struct{}, maxHandshakes), connections: make(chan struct{}, maxConnections), calls: make(chan struct{}, maxCalls)}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, h func(ctx context.Context, fromHost string, body []byte) (any, error)) {
	s.handlers[method] = h
}

// HandleStream registers the handler of grant streams.
func (s *Server) HandleStream(h StreamHandler) { s.streamHandler = h }

// Serve accepts connections on l until the context ends. It returns after all handlers have returned.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(s, description{}); err != nil {
		return trace.Wrap(err)
	}
	rpc := drpcserver.NewWithOptions(countedHandler{mux, &s.gate}, drpcserver.Options{Manager: managerOptions(serverIdleTimeout)})
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "accept connections of other hosts")
		}
		select {
		case s.handshakes <- struct{}{}:
			open.Go(func() { s.serveConn(ctx, rpc, c) })
		default:
			c.Close()
			s.onError(trace.LimitExceeded("%d connections are in their handshake; rejected a connection from %s", maxHandshakes, c.RemoteAddr()))
		}
	}
}

func (s *Server) serveConn(ctx context.Context, rpc *drpcserver.Server, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	from, err := s.handshake(raw)
	<-s.handshakes
	if err != nil {
		s.onError(err)
		return
	}
	select {
	case s.connections <- struct{}{}:
		defer func() { <-s.connections }()
	default:
		s.onError(trace.LimitExceeded("%d connections of other hosts are open; rejected a connection from %s", maxConnections, from))
		return
	}
	// The error is ignored, because the calls on the connection have already reported it to their callers.
	_ = rpc.ServeOne(context.WithValue(ctx, remotePeerKey{}, remotePeer{from, raw}), &countedConn{Conn: raw, traffic: &s.traffic})
}

func (s *Server) handshake(raw net.Conn) (string, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", trace.Wrap(err)
	}
	self := wire.Hello{Host: s.self}
	rand.Read(self.Nonce[:])
	from, err := wire.ServerHandshake(raw, s.secret, self)
	if err != nil {
		return "", trace.Wrap(err, "connection from %s", raw.RemoteAddr())
	}
	return from, trace.Wrap(raw.SetDeadline(time.Time{}))
}

// remotePeer describes the authenticated peer of an accepted connection.
type remotePeer struct {
	host string
	raw  net.Conn
}

type remotePeerKey struct{}

func remotePeerOf(ctx context.Context) remotePeer { return ctx.Value(remotePeerKey{}).(remotePeer) }

// call runs the handler of one call. It returns the handler's error in the reply, so that the connection stays usable.
func (s *Server) call(ctx context.Context, in *callRequest) (*callReply, error) {
	select {
	case s.calls <- struct{}{}:
		defer func() { <-s.calls }()
	default:
		return &callReply{Err: &RemoteError{CodeLimitExceeded, "the peer runs as many calls as it may; ask again later"}}, nil
	}
	h := s.handlers[in.Method]
	if h == nil {
		return &callReply{Err: &RemoteError{CodeNotImplemented, "method " + in.Method + " is not known to the peer"}}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, clampTimeout(time.Duration(in.TimeoutMS)*time.Millisecond))
	defer cancel()
	out, err := h(ctx, remotePeerOf(ctx).host, in.Body)
	if err != nil {
		return &callReply{Err: toRemoteError(err)}, nil
	}
	body, err := wire.Marshal(out)
	if err != nil {
		return &callReply{Err: toRemoteError(err)}, nil
	}
	return &callReply{Body: body}, nil
}

func clampTimeout(d time.Duration) time.Duration {
	if d <= 0 || d > maxTimeout {
		return maxTimeout
	}
	return d
}

// grants runs the handler of one grant stream.
func (s *Server) grants(stream drpc.Stream) error {
	if s.streamHandler == nil {
		return trace.NotImplemented("this host serves no grants")
	}
	from := remotePeerOf(stream.Context())
	st := newStream(stream, from.host, func() { from.raw.Close() })
	defer st.Close()
	return s.streamHandler(stream.Context(), st.peer, st)
}
