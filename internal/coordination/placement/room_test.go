package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestRoomElsewhereNeedsEvidence guards against requests that leave their zone for others that are as full, slow, or not known, and against
// requests that stay although the other zones have more room.
func TestRoomElsewhereNeedsEvidence(t *testing.T) {
	free, full, slow := Load{Slots: 2, Slowness: 1}, Load{Running: 2, Slots: 2, Slowness: 1}, Load{Slots: 2, Slowness: 5}
	last := Load{Running: 2, Slots: 3, Slowness: 1}
	type probes struct {
		zone  string
		load  Load
		count int
	}
	start := time.Now()
	for _, c := range []struct {
		name             string
		probes           []probes
		after            time.Duration
		elsewhere, known bool
	}{
		{"nothing probed", nil, 0, false, false},
		{"only own zone, full", []probes{{"a", full, 40}}, 0, false, false},
		{"all full", []probes{{"a", full, 40}, {"b", full, 40}}, 0, false, true},
		{"one free slot elsewhere", []probes{{"a", full, 40}, {"b", full, 39}, {"b", free, 1}}, 0, true, true},
		{"one free slot here and elsewhere", []probes{{"a", full, 39}, {"a", free, 1}, {"b", full, 39}, {"b", free, 1}}, 0, false, true},
		{"one free slot here, none in a few probes elsewhere", []probes{{"a", full, 39}, {"a", free, 1}, {"b", full, 2}}, 0, false, true},
		{"only elsewhere probed", []probes{{"b", free, 4}}, 0, false, true},
		{"few probes elsewhere, all full", []probes{{"a", full, 40}, {"b", full, 4}}, 0, false, true},
		{"half free elsewhere", []probes{{"a", full, 20}, {"b", full, 4}, {"b", free, 4}}, 0, true, true},
		{"all free elsewhere", []probes{{"a", full, 7}, {"b", free, 4}}, 0, true, true},
		{"free but slow elsewhere", []probes{{"a", full, 20}, {"b", slow, 20}}, 0, false, true},
		{"last slots free elsewhere", []probes{{"a", full, 20}, {"b", last, 20}}, 0, false, true},
		{"all free", []probes{{"a", free, 20}, {"b", free, 20}}, 0, false, true},
		{"free elsewhere a while ago", []probes{{"a", full, 7}, {"b", free, 4}}, 100 * time.Millisecond, true, false},
		{"free elsewhere long ago", []probes{{"a", full, 7}, {"b", free, 4}}, 2 * time.Second, false, false},
		{"no load reported", []probes{{"b", Load{}, 20}}, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			cfg.Zone = "a"
			stats := NewEndpointStats(cfg)
			for _, p := range c.probes {
				for i := range p.count {
					stats.RecordProbe(endpoints.Endpoint{ID: endpoints.ID{Address: fmt.Sprint(p.zone, i)}, Service: "s", Zone: p.zone}, p.load, start)
				}
			}
			elsewhere, known := stats.RoomElsewhere("s", start.Add(c.after))
			is.Equal(elsewhere, c.elsewhere)
			is.Equal(known, c.known)
			elsewhere, known = stats.RoomElsewhere("other", start)
			is.True(!elsewhere && !known)
		})
	}
}
