package gateway

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
)

// evacuations holds the records that evacuate zones. All but count is used only by the handler of the contract topic, which is called from one
// goroutine at a time.
type evacuations struct {
	zones map[string]string // zone by key of the record
	count atomic.Int64      // of zones
}

// maxEvacuations bounds the evacuated zones. Further records are logged and have no effect.
const maxEvacuations = 1000

// evacuatedZone returns the zone that a record with the key evacuates. ok is false if records with the key have another meaning.
func (g *Gateway) evacuatedZone(key string) (zone string, ok bool) {
	if g.adapter.DecodeEvacuation == nil {
		return "", false
	}
	return g.adapter.DecodeEvacuation(key)
}

// setEvacuation applies a record that evacuates a zone, or its removal. It reports whether the evacuation has begun or ended.
func (g *Gateway) setEvacuation(zone string, r follow.Record, now time.Time) bool {
	_, known := g.evacuations.zones[r.Key]
	requested := r.Value != nil
	switch {
	case requested == known:
		return false
	case requested && len(g.evacuations.zones) >= maxEvacuations:
		g.log.Warn("evacuation_ignored", "zone", zone, "offset", r.Offset, "zones", len(g.evacuations.zones))
		return false
	case requested:
		if g.evacuations.zones == nil {
			g.evacuations.zones = map[string]string{}
		}
		g.evacuations.zones[r.Key] = zone
	default:
		delete(g.evacuations.zones, r.Key)
	}
	g.applyEvacuations(zone, requested, "record", r.Offset, now)
	return true
}

// retainEvacuations ends the evacuations whose records are not among the keys of a full read of the topic.
func (g *Gateway) retainEvacuations(keys map[string]bool, now time.Time) {
	for key, zone := range g.evacuations.zones {
		if !keys[key] {
			delete(g.evacuations.zones, key)
			g.applyEvacuations(zone, false, "missing key", -1, now)
		}
	}
}

// applyEvacuations withdraws the endpoints of the evacuated zones, closes the idle connections to them, and brings the others back. zone is the one
// that has changed; cause and offset say by what.
func (g *Gateway) applyEvacuations(zone string, evacuated bool, cause string, offset int64, now time.Time) {
	withdrawn, back := g.endpoints.SetEvacuated(slices.Sorted(maps.Values(g.evacuations.zones)), now)
	for _, id := range withdrawn {
		g.pool.CloseEndpoint(id)
	}
	for service := range g.endpoints.Snapshot().Evacuated {
		g.forwarder.WakeAll(service) // requests that wait are refused if no endpoint of their service is left
	}
	g.evacuations.count.Store(int64(len(g.evacuations.zones)))
	g.metrics.Add("evacuation_changes_total", 1)
	g.log.Info("evacuation", "zone", zone, "evacuated", evacuated, "cause", cause, "offset", offset, "withdrawn", len(withdrawn), "back", len(back),
		"endpoints", g.endpoints.Snapshot().Total)
}
