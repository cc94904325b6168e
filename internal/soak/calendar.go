package soak

import (
	"io"
	"log"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Scopes of faults. In addition, each host has a scope of its own.
const (
	scopeStore     = "store"
	scopeEndpoints = "endpoints"
	scopeNetwork   = "network" // all unplanned faults
	scopeLinks     = "links of endpoints"
	scopeOverload  = "overload"
	scopeStalls    = "stalls of this process"
)

// timeline records the spans of time in which each scope was affected by a fault or was in some other state.
type timeline struct {
	mu    sync.Mutex
	spans map[string][]*span
}

type span struct{ from, to time.Time } // to is zero while the span is open

func newTimeline() *timeline { return &timeline{spans: map[string][]*span{}} }

// begin opens a span in each scope and returns a function that closes them.
func (c *timeline) begin(scopes ...string) (end func()) {
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

// add records a span that has ended.
func (c *timeline) add(scope string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans[scope] = append(c.spans[scope], &span{from, to})
}

// undisturbed reports whether a scope had no fault between from and to, nor within stabilityTime before from.
func (c *timeline) undisturbed(scope string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans[scope] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-stabilityTime))) {
			return false
		}
	}
	return true
}

// overlaps reports whether a span of a scope overlaps the time between from and to.
func (c *timeline) overlaps(scope string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.spans[scope], func(s *span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) })
}

// begun returns the number of spans of a scope that begin before a time.
func (c *timeline) begun(scope string, before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.spans[scope] {
		if s.from.Before(before) {
			n++
		}
	}
	return n
}

// contains reports whether a span of a scope includes a time.
func (c *timeline) contains(scope string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans[scope] {
		if !s.from.After(at) && (s.to.IsZero() || s.to.After(at)) {
			return true
		}
	}
	return false
}

// counter returns consecutive numbers from 1.
type counter struct{ n atomic.Int64 }

func (c *counter) next() int64 { return c.n.Add(1) }

// multiplier is a factor that is 1 until it is set. It stores the factor minus 1, so that the zero value is usable.
type multiplier struct{ above atomic.Int64 }

func (m *multiplier) set(v int64) { m.above.Store(v - 1) }
func (m *multiplier) get() int64  { return 1 + m.above.Load() }

func listen(address netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", address.String()) }

// discard drops the messages of HTTP servers about broken connections, which the faults cause on purpose.
var discard = log.New(io.Discard, "", 0)

const reportedLines = 12

// lastLines returns the last reportedLines lines of a log.
func lastLines(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-reportedLines):], "\n    ")
}
