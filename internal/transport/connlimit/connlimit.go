// Package connlimit bounds the connections of a server of net/http. At the bound, a connection that is not being answered makes room for a new one, so that
// clients which stay silent, or send a request very slowly, keep nobody out.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// Ages from which on a connection may be closed for a new one.
const (
	// minSlowAge is the age of a request, or of a connection without one, whose header has not arrived whole.
	minSlowAge = 500 * time.Millisecond
	// minIdleAge is how long a connection has been idle after a response.
	minIdleAge = 250 * time.Millisecond
)

// Limiter bounds the connections of one server.
type Limiter struct {
	most    int
	onClose func(caller net.Addr)

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a limiter that allows the given number of connections. onClose is called when a connection is closed for the bound, a new one too; nil
// means no call.
func New(most int, onClose func(caller net.Addr)) *Limiter {
	return &Limiter{most: most, onClose: onClose, conns: map[*conn]struct{}{}}
}

// Apply has the server count its requests. It must be called before the server is started, and the server must serve a listener of Listener.
func (l *Limiter) Apply(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.set(answering)
			defer c.set(idle)
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c, ok := nc.(*conn)
		switch {
		case !ok:
		case state == http.StateActive:
			c.set(reading)
		case state == http.StateIdle:
			c.set(idle)
		}
	}
}

type connKey struct{}

// Listener returns a listener whose connections are counted.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

// Connections returns the number of open connections.
func (l *Limiter) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit counts a connection. It returns nil, and closes the connection, if there is no room.
func (l *Limiter) admit(nc net.Conn) *conn {
	now := time.Now()
	l.mu.Lock()
	var victim *conn
	full := len(l.conns) >= l.most
	if full {
		victim = l.victimLocked(now)
	}
	if full && victim == nil {
		l.mu.Unlock()
		l.close(nc)
		return nil
	}
	c := &conn{Conn: nc, limiter: l, state: reading, since: now}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		l.close(victim)
	}
	return c
}

func (l *Limiter) close(c net.Conn) {
	caller := c.RemoteAddr()
	c.Close()
	if l.onClose != nil {
		l.onClose(caller)
	}
}

// victimLocked returns the connection that makes room, or nil: the one whose request has been arriving for longest, else the one that has been idle for longest.
func (l *Limiter) victimLocked(now time.Time) (best *conn) {
	var bestState state
	var bestAge time.Duration
	for c := range l.conns {
		s, age := c.get(now)
		if s == answering || s == reading && age < minSlowAge || s == idle && age < minIdleAge {
			continue
		}
		if (best == nil || s > bestState || s == bestState && age > bestAge) && sockbuf.Received(c.Conn) != sockbuf.Bytes { // else the process has not read them yet
			best, bestState, bestAge = c, s, age
		}
	}
	return best
}

// state is what a connection is doing. A greater one makes room first.
type state uint8

const (
	answering state = iota // a handler runs
	idle                   // after a response
	reading                // a request has not arrived whole; so begins a connection
)

type conn struct {
	net.Conn
	limiter *Limiter
	once    sync.Once

	mu    sync.Mutex
	state state
	since time.Time
}

func (c *conn) set(s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != s {
		c.state, c.since = s, time.Now()
	}
}

func (c *conn) get(now time.Time) (state, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, now.Sub(c.since)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		delete(c.limiter.conns, c)
	})
	return c.Conn.Close()
}

// CloseWrite passes the call on to the wrapped connection. net/http closes the write side first, so that callers can read the last response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
