package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// ZoneState is what the registry knows of an availability zone.
type ZoneState struct {
	Zone           string
	Endpoints      int       // usable according to their entries, also if the zone is evacuated
	EvacuatedSince time.Time // when this host learned of the evacuation; zero if the zone is not evacuated
}

// SetEvacuated replaces the set of evacuated zones. Their endpoints are left out of the snapshots and count as withdrawn, whatever their entries say,
// until a later call leaves the zone out. It returns the endpoints that are withdrawn now and were not before, and those that are back.
func (t *Table) SetEvacuated(zones []string, now time.Time) (withdrawn, back []endpoints.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.evacuated
	t.evacuated = map[string]time.Time{}
	for _, zone := range zones {
		t.evacuated[zone] = now
		if since, ok := was[zone]; ok {
			t.evacuated[zone] = since
		}
	}
	for _, r := range t.records {
		_, before := was[r.entry.Zone]
		_, after := t.evacuated[r.entry.Zone]
		switch id := r.endpoint.ID; {
		case before == after || !r.usable:
		case after:
			t.updateService(r)
			withdrawn = append(withdrawn, id)
		default:
			t.withdrawn.set(id, false, false) // before the new snapshot, which must not list a withdrawn endpoint
			t.updateService(r)
			back = append(back, id)
		}
	}
	for _, id := range withdrawn {
		t.withdrawn.set(id, true, false)
	}
	return withdrawn, back
}

// listed reports whether snapshots list the endpoint of a record. t.mu must be held.
func (t *Table) listed(r *record) bool {
	if len(t.evacuated) == 0 {
		return r.usable
	}
	_, evacuated := t.evacuated[r.entry.Zone]
	return r.usable && !evacuated
}

// countEvacuated returns the number of endpoints per service that only the evacuation of their zone keeps out of the snapshots. t.mu must be held.
func (t *Table) countEvacuated() map[string]int {
	if len(t.evacuated) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, r := range t.records {
		if r.usable && !t.listed(r) {
			counts[r.entry.Service]++
		}
	}
	return counts
}

// Zones returns the zones of the endpoints and the evacuated ones, ordered by name.
func (t *Table) Zones() []ZoneState {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := map[string]ZoneState{}
	for zone, since := range t.evacuated {
		zones[zone] = ZoneState{Zone: zone, EvacuatedSince: since}
	}
	for _, r := range t.records {
		if r.usable {
			z := zones[r.entry.Zone]
			z.Zone, z.Endpoints = r.entry.Zone, z.Endpoints+1
			zones[r.entry.Zone] = z
		}
	}
	return slices.SortedFunc(maps.Values(zones), func(a, b ZoneState) int { return cmp.Compare(a.Zone, b.Zone) })
}
