package soak

import (
	"io"
	"log"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Scopes of faults beside the single hosts.
const (
	scopeStore     = "store"
	scopeEndpoints = "endpoints"
	scopeNetwork   = "network" // anything unplanned
	scopeOverload  = "overload"
)

// calendar keeps when which scope was disturbed.
type calendar struct {
	mu    sync.Mutex
	spans map[string][]*span
}

type span struct{ from, to time.Time } // to is zero while the fault lasts

func newCalendar() *calendar { return &calendar{spans: map[string][]*span{}} }

// disturb opens a span in each scope and returns the function that closes them.
func (c *calendar) disturb(scopes ...string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	opened := &span{from: time.Now()}
	for _, scope := range scopes {
		c.spans[scope] = append(c.spans[scope], opened)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		opened.to = time.Now()
	}
}

// quiet reports whether a scope had no fault from the stability time before a span to its end.
func (c *calendar) quiet(scope string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans[scope] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-stability))) {
			return false
		}
	}
	return true
}

// during reports whether a fault of a scope lasted at a time.
func (c *calendar) during(scope string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans[scope] {
		if !s.from.After(at) && (s.to.IsZero() || s.to.After(at)) {
			return true
		}
	}
	return false
}

// counter counts from 1.
type counter struct{ n atomic.Int64 }

func (c *counter) next() int64 { return c.n.Add(1) }

// multiplier is 1 until it is set. It holds the value less 1, so that its zero value is ready for use.
type multiplier struct{ above atomic.Int64 }

func (m *multiplier) set(v int64) { m.above.Store(v - 1) }
func (m *multiplier) get() int64  { return 1 + m.above.Load() }

func listen(address netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", address.String()) }

// discard takes what HTTP servers say about broken connections, which are wanted here.
var discard = log.New(io.Discard, "", 0)

const reportedLines = 12

// lastLines returns the end of a log.
func lastLines(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-reportedLines):], "\n    ")
}
