// Package ingress serves callers over HTTP/1.1. It differs from net/http's server where a load balancer needs more control: pipelined
// idempotent requests run side by side and are answered in order, a caller that leaves is noticed while requests run, a request
// whose length is ambiguous is refused, and a planned stop answers every request that was read.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// Request is one request with its whole body.
type Request struct {
	Method string
	Target string // path and query as the caller wrote them
	Path   string // unescaped path
	Host   string
	Header http.Header
	Body   []byte
	ReadAt time.Time // when the header was complete
}

// Response answers a request. Exactly one of Body and Stream holds the content.
type Response struct {
	Status int
	Header http.Header // without headers that concern one connection only
	Body   []byte
	// Stream is read to io.EOF and closed. Any other error aborts the connection, so that the caller sees the cut.
	Stream io.ReadCloser
	Length int64 // of Stream; -1 if it is not known
	// Close ends the connection after this answer.
	Close bool
}

// Handler answers requests. It must return soon after the context ends, which is when the caller has left.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
	// Overlaps reports whether the request may run beside earlier requests of its connection that are not answered yet.
	Overlaps(r *Request) bool
}

// Config of a Server.
type Config struct {
	Handler Handler
	Limits  func() routing.Limits
	// MaxConnections bounds open connections; further ones are answered 503.
	MaxConnections int
	// MaxBodiesBytes bounds request bodies in memory over all connections.
	MaxBodiesBytes int64
	// Panicked is told of a handler that panicked. Its request is answered 500; the others go on.
	Panicked func(r *Request, value any, stack []byte)
}

// Bounds of a connection.
const (
	// maxPipelined bounds unanswered requests of one connection. No more is read from the caller meanwhile.
	maxPipelined = 32
	// writeTimeout gives up callers that do not read their answer.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout = 15 * time.Second
	// lingerTimeout is how long a closed connection is still read, since unread bytes would make the kernel reset the connection and
	// the caller could lose the last answer.
	lingerTimeout = time.Second
)

// Server accepts connections and answers their requests.
type Server struct {
	cfg      Config
	draining atomic.Bool
	bodies   atomic.Int64 // bytes
	active   atomic.Int64 // requests that were read and not answered

	mu    sync.Mutex
	conns map[*conn]struct{}
	done  sync.WaitGroup
}

// New returns a server that listens nowhere yet.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: map[*conn]struct{}{}}
}

// acceptBackoff waits out a lack of descriptors.
const acceptBackoff = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		s.start(nc)
	}
}

// handle runs the handler. A panic ends one request, not all of them.
func (s *Server) handle(ctx context.Context, r *Request) (resp *Response) {
	defer func() {
		if value := recover(); value != nil {
			s.cfg.Panicked(r, value, debug.Stack())
			resp = &Response{Status: http.StatusInternalServerError, Close: true}
		}
	}()
	return s.cfg.Handler.Serve(ctx, r)
}

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	c.overloaded = len(s.conns) >= s.cfg.MaxConnections
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Active returns the number of requests that are being served.
func (s *Server) Active() int64 { return s.active.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each answer the last of its connection from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// Close ends the connections without unanswered requests, and the others as soon as they have none or the context ends.
func (s *Server) Close(ctx context.Context) {
	s.draining.Store(true)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		s.mu.Lock()
		left := len(s.conns)
		for c := range s.conns {
			if ctx.Err() != nil || c.idle() {
				c.abort()
			}
		}
		s.mu.Unlock()
		if left == 0 || ctx.Err() != nil {
			break
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	s.done.Wait()
}
