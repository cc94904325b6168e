// Package ingress is an HTTP/1.1 server for callers. It differs from net/http's server in four ways that a load balancer needs: pipelined
// idempotent requests run concurrently and are answered in order, handlers are canceled when the caller disconnects, a request whose
// length is ambiguous is refused, and a planned stop answers every request that was read.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// Request is one request with its complete body.
type Request struct {
	Method       string
	Target       string // path and query as received
	Path         string // unescaped path
	Host         string
	Header       http.Header
	Body         []byte
	HeaderReadAt time.Time // when the header was complete
	// Unread is for how long the header had lain in the kernel's buffer before it was read, by the time at which the latest bytes of the read that completed it
	// had arrived: at least that long, since the header cannot have arrived later. It is 0 if that time is not known, and on a host that reads at once.
	Unread time.Duration
	// ReadLate is the part of Unread in which the connection waited for being accepted, or its reader for the request: for so long the host had no processor for it.
	ReadLate time.Duration
	// BodyDiscarded says that the body was read and discarded, because the handler did not need it.
	BodyDiscarded bool
	// RetainBody keeps the memory of Body until the function that it returns is called. Otherwise it may be freed once Serve has returned. Nil means
	// that the memory is not freed while it is in use.
	RetainBody func() (release func())
	// Caller is the address of the caller, without a port. It is the zero value if the connection has no IP address.
	Caller netip.Addr
}

// ArrivedAt returns when the header arrived at the latest. The time that the caller states runs from then on, also while the host has no processor for reading.
func (r *Request) ArrivedAt() time.Time { return r.HeaderReadAt.Add(-r.Unread) }

// Response is the response to a request. Its content is Body, or Stream if that is not nil.
type Response struct {
	Status int         // 200 to 599
	Header http.Header // without hop-by-hop headers
	Body   []byte
	// Stream is read to io.EOF and closed. Any other error aborts the connection, so that the caller notices that the content is
	// incomplete.
	Stream io.ReadCloser
	Length int64 // of Stream, or of the body that a response to HEAD without Body leaves out; -1 if unknown
	// CloseConnection has the connection read no further request and close after the responses to those that were read.
	CloseConnection bool
}

// Handler answers requests.
type Handler interface {
	// Serve must return soon after ctx is canceled, which happens when the caller disconnects, the connection is closed or the server stops.
	// A request whose ctx is canceled at the call must not be run. The cause of ctx is one of the errors of this package.
	Serve(ctx context.Context, r *Request) *Response
	// MayRunConcurrently reports whether the request may run concurrently with earlier requests of its connection that are not yet answered.
	MayRunConcurrently(r *Request) bool
}

// BodyFilter may be implemented by a Handler that refuses some requests whatever their body is.
type BodyFilter interface {
	// NeedsBody reports whether Serve needs the body of the request, of which the header is known.
	NeedsBody(r *Request) bool
}

// Config of a Server.
type Config struct {
	Handler Handler
	Limits  func() routing.Limits
	// MaxConnections limits the open connections. Requests on further connections are answered with 503.
	MaxConnections int
	// MaxPipelined limits the requests, over all connections, that run while an earlier one of their connection is unanswered. Further ones wait for the
	// earlier ones. 0 means no limit.
	MaxPipelined int
	// PipelinedPerS limits the requests per second, over all connections, that have arrived before the last one of their connection was handled. 0 means
	// no limit.
	PipelinedPerS float64
	// Memory is what the connections and requests may take. Nil means no limit.
	Memory *membudget.Budget
	// OnEvicted is called when a connection, or a request whose body is being read, makes room for others. Nil means no call.
	OnEvicted func(caller net.Addr, e Eviction)
	// OnRefused is called when the server refuses a request itself, which the handler never sees: the request is malformed, too large or too
	// slow, or the server has too many connections or no memory for its body. header is nil if it was not read.
	OnRefused func(caller net.Addr, header http.Header, status int, reason string)
	// OnPanic is called when a handler has panicked. Its request is answered with 500 and the connection closed; other connections are
	// not affected.
	OnPanic func(r *Request, value any, stack []byte)
	// OnUndelivered is called for each request that was read and whose response was not written whole. cause is one of the errors of this
	// package or the error of the write. Nil means no call.
	OnUndelivered func(r *Request, resp *Response, cause error)
	// OnClosed is called when a connection is closed after bytes had arrived on it that belong to no answered request. Nil means no call.
	OnClosed func(ClosedConn)
}

// Causes for which a response is not delivered.
var (
	ErrCallerLeft = errors.New("the caller disconnected")
	ErrStopped    = errors.New("the server stopped before the request was answered")
	ErrIdle       = errors.New("the connection was idle")
	ErrStatus     = errors.New("the response has no valid status; its caller gets 500")
)

// Limits of a connection.
const (
	// maxPipelined is the number of unanswered requests on one connection at which the server stops reading from it.
	maxPipelined = 32
	// pipelinedBurstS is the time in seconds for which pipelined requests may come at twice their rate.
	pipelinedBurstS = 0.25
	// writeTimeout is the time after which a connection is closed whose caller does not read its response.
	writeTimeout = 10 * time.Second
	// bodyTimeout is the time in which each maxReadBytes of the body of a request must arrive.
	bodyTimeout  = 15 * time.Second
	maxReadBytes = 64 << 10
	// cutTimeout is the time that callers get for reading their last responses when the time for stopping is over.
	cutTimeout = 200 * time.Millisecond
	// closePollInterval is the interval at which Close checks whether all connections are closed.
	closePollInterval = 5 * time.Millisecond
	// lingerTimeout is the time for which the server still reads from a connection after it has closed the write side. Unread bytes
	// would make the kernel reset the connection, and the caller could lose the last response.
	lingerTimeout = time.Second
	// maxLingerBytes bounds what is read meanwhile. A caller that sends more than that after its last request costs no further processor time.
	maxLingerBytes = 1 << 20
)

// Server accepts connections and answers their requests.
type Server struct {
	cfg          Config
	draining     atomic.Bool
	memory       *membudget.Budget
	maxConns     int
	heavyHeads   *rate.Limiter
	pipelinePace *rate.Limiter // nil without a limit
	arriving     arrivingBodies
	pipelined    atomic.Int64 // requests that run while an earlier one of their connection is unanswered
	unanswered   atomic.Int64 // requests that were read and not yet answered

	mu        sync.Mutex
	stopping  bool           // no further call of Serve accepts connections
	listeners []net.Listener // of the calls of Serve
	serving   sync.WaitGroup // calls of Serve
	conns     map[*conn]struct{}
	openConns sync.WaitGroup
}

// New returns a server that does not listen until Serve is called.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: map[*conn]struct{}{}, memory: cfg.Memory, arriving: arrivingBodies{set: map[*arrivingBody]struct{}{}},
		heavyHeads: rate.NewLimiter(heavyHeadsPerS, heavyHeadsBurst)}
	if s.memory == nil {
		s.memory = membudget.New(membudget.Limits{})
	}
	if cfg.PipelinedPerS > 0 {
		s.pipelinePace = rate.NewLimiter(rate.Limit(cfg.PipelinedPerS), max(maxPipelined, int(cfg.PipelinedPerS*pipelinedBurstS)))
	}
	s.maxConns = cfg.MaxConnections
	if limit := s.memory.Limit(membudget.Connections); limit > 0 {
		s.maxConns = min(s.maxConns, int(limit/ConnectionBytes))
	}
	return s
}

// maxAcceptQueue is the usual maximum length of an accept queue. It bounds what a stopping server accepts while more connections arrive.
const maxAcceptQueue = 4096

// acceptBackoff is the delay after a failed accept, which usually means that the process has no file descriptors left.
const acceptBackoff = 20 * time.Millisecond

// Serve accepts connections until the listener is closed, which Close does too.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil
	}
	s.listeners = append(s.listeners, l)
	s.serving.Add(1)
	s.mu.Unlock()
	defer s.serving.Done()
	for {
		nc, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.acceptRest(l)
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		s.serveConn(nc)
	}
}

// acceptRest accepts the connections that lie in the accept queue, which the kernel would reset.
func (s *Server) acceptRest(l net.Listener) {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	for n := 0; ok && n < maxAcceptQueue && sockbuf.Waiting(l); n++ {
		_ = d.SetDeadline(time.Now().Add(time.Second)) // Accept does not wait; an error means that the listener is closed
		if nc, err := l.Accept(); err == nil {
			s.serveConn(nc)
		}
	}
}

// handle calls the handler. A panic of the handler becomes a response with status 500, so that the process goes on.
func (s *Server) handle(ctx context.Context, r *Request) (resp *Response) {
	defer func() {
		if value := recover(); value != nil {
			resp = s.panicked(r, value)
		}
	}()
	return s.cfg.Handler.Serve(ctx, r)
}

// mayRunConcurrently asks the handler. After a panic, failure is the response.
func (s *Server) mayRunConcurrently(r *Request) (concurrent bool, failure *Response) {
	defer func() {
		if value := recover(); value != nil {
			failure = s.panicked(r, value)
		}
	}()
	return s.cfg.Handler.MayRunConcurrently(r), nil
}

// panicked reports a panic of the handler and returns the response. It must be called on the stack of the panic.
func (s *Server) panicked(r *Request, value any) *Response {
	s.cfg.OnPanic(r, value, debug.Stack())
	return &Response{Status: http.StatusInternalServerError, CloseConnection: true}
}

func (s *Server) serveConn(nc net.Conn) {
	c := newConn(s, nc)
	if !s.admit(c) {
		s.reject(c)
		return
	}
	go func() {
		defer s.openConns.Done()
		c.run()
		s.remove(c)
	}()
}

// Unanswered returns the number of requests that were read and not yet answered.
func (s *Server) Unanswered() int64 { return s.unanswered.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain closes each connection after the response to the last request that was read from it. Connections without unanswered requests stay
// open until their next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Close stops the server. Requests and connections that have arrived are still served, further ones are not read. Close returns when
// all connections are closed and all handlers have returned. When ctx ends, the handlers of the requests that are still unanswered are canceled
// with ErrStopped, and the result is the number of these requests. Callers then get cutTimeout to read their responses.
func (s *Server) Close(ctx context.Context) (cut int64) {
	s.draining.Store(true)
	s.stopAccepting()
	s.forEachConn((*conn).stop)
	s.awaitClosed(ctx)
	cut = s.unanswered.Load()
	s.forEachConn(func(c *conn) { c.cancel(ErrStopped) })
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutTimeout)
	defer cancel()
	s.awaitClosed(bounded)
	s.forEachConn(func(c *conn) { c.abort(ErrStopped) })
	s.openConns.Wait()
	return cut
}

// awaitClosed waits until all connections are closed or ctx ends.
func (s *Server) awaitClosed(ctx context.Context) {
	tick := time.NewTicker(closePollInterval)
	defer tick.Stop()
	for s.Connections() > 0 && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (s *Server) forEachConn(f func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}

// stopAccepting closes the listeners after the connections that have arrived are accepted. The kernel would reset these.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	for _, l := range s.listeners {
		if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok {
			// An error means that the listener is already closed.
			_ = d.SetDeadline(time.Now())
		} else {
			l.Close()
		}
	}
	s.mu.Unlock()
	s.serving.Wait()
}
