package gateway

import (
	"runtime/debug"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// guarded returns a feed whose functions do not panic: a record that makes one of them panic counts as invalid, or as one that changes nothing. Each host
// reads the same records, so that otherwise one of them could end all hosts.
func (g *Gateway) guarded(f follow.Feed) follow.Feed {
	f.Handler = guardedHandler{f.Handler, g, f.Topic}
	if prepare := f.Prepare; prepare != nil {
		f.Prepare = func(r follow.Record) {
			defer g.recoverRecord(f.Topic, r)
			prepare(r)
		}
	}
	if validate := f.Validate; validate != nil {
		f.Validate = func(r follow.Record) (v follow.Validity) {
			v = follow.Invalid // stays so after a panic
			defer g.recoverRecord(f.Topic, r)
			return validate(r)
		}
	}
	if reduce := f.Reduce; reduce != nil {
		f.Reduce = func(r follow.Record) (reduced follow.Record, ok bool) {
			reduced = r // stays so after a panic, with ok false
			defer g.recoverRecord(f.Topic, r)
			return reduce(r)
		}
	}
	return f
}

// guardedHandler is a follow.Handler that does not panic.
type guardedHandler struct {
	follow.Handler
	g     *Gateway
	topic string
}

// Apply implements follow.Handler.
func (h guardedHandler) Apply(r follow.Record, recentOutage bool, now time.Time) bool {
	defer h.g.recoverRecord(h.topic, r)
	return h.Handler.Apply(r, recentOutage, now)
}

// RetainKeys implements follow.Handler.
func (h guardedHandler) RetainKeys(keys map[string]bool, recentOutage bool, now time.Time) {
	defer h.g.recoverRecord(h.topic, follow.Record{})
	h.Handler.RetainKeys(keys, recentOutage, now)
}

// Compare implements follow.Handler.
func (h guardedHandler) Compare(a, b follow.Record) (order int, renewal bool) {
	defer h.g.recoverRecord(h.topic, a)
	return h.Handler.Compare(a, b)
}

// recoverRecord counts and logs a panic that a record has caused.
func (g *Gateway) recoverRecord(topic string, r follow.Record) {
	if value := recover(); value != nil {
		g.metrics.Add("panics_total", 1)
		g.log.Warn("record_panic", "topic", topic, "key", loggedKey(r.Key), "offset", r.Offset, "bytes", len(r.Value), "value", value,
			"stack", string(debug.Stack()))
	}
}

// receiveMessage handles a message of another host. A panic ends the handling of this message and not the process.
func (g *Gateway) receiveMessage(m *peerlink.Message) {
	defer func() {
		if value := recover(); value != nil {
			g.metrics.Add("panics_total", 1)
			g.log.Warn("message_panic", "from", m.From.Name, "value", value, "stack", string(debug.Stack()))
		}
	}()
	g.handleMessage(m)
}
