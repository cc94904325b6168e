package gateway

import (
	"bytes"
	"cmp"
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// contractHandler implements follow.Handler for the contract topic. It puts each configuration in force that is newer than the current one
// and ignores older versions. It also applies the records that evacuate zones.
type contractHandler struct{ g *Gateway }

// Apply puts the configuration of a record in force if it is newer than the current one. A configuration with faulty routes is used
// without them unless no route is left.
func (h contractHandler) Apply(r follow.Record, _ bool, now time.Time) bool {
	g := h.g
	if zone, ok := g.evacuatedZone(r.Key); ok {
		return g.setEvacuation(zone, r, now)
	}
	if r.Value == nil {
		return false
	}
	c := g.decoded.Swap(nil)
	if c == nil || !c.isOf(r) {
		c = h.decode(r)
	}
	if c.err != nil {
		g.log.Warn("configuration_unreadable", "key", r.Key, "offset", r.Offset, "error", c.err)
		return false
	}
	if c.cfg == nil || !h.isNewer(c.cfg) {
		return false
	}
	cfg, table := c.cfg, c.table
	if c.fault != nil {
		g.log.Warn("configuration_faulty", "version", cfg.Version, "offset", r.Offset, "error", c.fault)
		if table == nil || table.Routes() == 0 {
			return false
		}
	}
	was := g.version()
	g.setRoutes(table)
	g.updateStatus()
	g.log.Info("configuration", "version", cfg.Version, "was", was, "routes", table.Routes(), "offset", r.Offset, "idle_timeout_ms", ms(table.Limits.IdleTimeout),
		"max_header_bytes", table.Limits.MaxHeaderBytes, "max_body_bytes", table.Limits.MaxBodyBytes)
	return true
}

// setRoutes puts a configuration in force.
func (g *Gateway) setRoutes(t *routing.Table) {
	g.keepLongerIdle(g.routes.Load(), t, time.Now())
	g.routes.Store(t)
	changed := make(chan struct{})
	close(*g.routesChanged.Swap(&changed))
}

// awaitRoutes returns the configuration in force once it has the given version or a later one, or whatever it is when ctx ends; nil if there is none.
func (g *Gateway) awaitRoutes(ctx context.Context, version uint64) *routing.Table {
	for {
		changed, t := g.routesChanged.Load(), g.routes.Load()
		if t != nil && t.Version >= version {
			return t
		}
		select {
		case <-*changed:
		case <-ctx.Done():
			return g.routes.Load()
		}
	}
}

// decodedContract is a decoded record of the contract topic.
type decodedContract struct {
	record follow.Record
	cfg    *routing.Config // nil if the record holds none
	table  *routing.Table  // nil if cfg is not newer than the configuration in force
	err    error           // the record is unreadable
	fault  error           // routes are left out
}

// isOf reports whether c is the decoded form of the record.
func (c *decodedContract) isOf(r follow.Record) bool {
	return c.record.Key == r.Key && bytes.Equal(c.record.Value, r.Value)
}

// prepare decodes a record for Apply.
func (h contractHandler) prepare(r follow.Record) {
	if c := h.decode(r); c.cfg != nil {
		h.g.decoded.Store(c)
	}
}

func (h contractHandler) decode(r follow.Record) *decodedContract {
	c := &decodedContract{record: r}
	c.cfg, c.err = h.g.adapter.DecodeContract(r.Key, r.Value)
	if c.err == nil && c.cfg != nil && h.isNewer(c.cfg) {
		c.table, c.fault = routing.New(*c.cfg)
	}
	return c
}

func (h contractHandler) isNewer(cfg *routing.Config) bool {
	current := h.g.routes.Load()
	return current == nil || cfg.Version > current.Version
}

// RetainKeys ends the evacuations whose records were removed. A configuration stays in force when its record is removed.
func (h contractHandler) RetainKeys(keys map[string]bool, _ bool, now time.Time) {
	h.g.retainEvacuations(keys, now)
}

// Compare orders configurations by their versions. An unreadable one is older than a readable one. Records that evacuate a zone have the
// same content, and only their place in the store tells which is newer.
func (h contractHandler) Compare(a, b follow.Record) (order int, renewal bool) {
	if _, ok := h.g.evacuatedZone(a.Key); ok {
		return 0, false
	}
	version := func(r follow.Record) uint64 {
		if cfg, err := h.g.adapter.DecodeContract(r.Key, r.Value); err == nil && cfg != nil {
			return cfg.Version
		}
		return 0
	}
	return cmp.Compare(version(a), version(b)), false
}
