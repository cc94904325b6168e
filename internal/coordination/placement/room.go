package placement

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// roomDecayTime is the time constant with which the weight of a probe decays in the estimate of a zone's room.
	roomDecayTime = 300 * time.Millisecond
	// roomLifetime is how long after the last probe of other zones their room is evidence.
	roomLifetime = time.Second
	// roomKnownTime is how long after its last probe the room of other zones counts as known.
	roomKnownTime = 60 * time.Millisecond
)

// serviceRoom estimates which share of a service's endpoints has room, in this host's zone and in all others together. It counts probes
// only: an endpoint that answers a request has just freed a slot, so load reports in answers would show too much room.
type serviceRoom struct {
	mu            sync.Mutex
	local, remote roomShare
}

// roomShare is the share of the probed endpoints that had room.
type roomShare struct {
	probed, withRoom float64   // probes, decayed to lastProbe
	lastProbe        time.Time // zero before the first probe
}

// weight returns the factor by which the probes have decayed.
func (s *roomShare) weight(now time.Time) float64 {
	return decay(s.lastProbe, now, roomDecayTime)
}

// assumedProbes is the number of probes that the assumed share counts for. Few probes say less than many.
const assumedProbes = 2

// estimate returns the share of endpoints that have room. assumed is the share without any probe.
func (s *roomShare) estimate(assumed float64, now time.Time) float64 {
	weight := s.weight(now)
	return (weight*s.withRoom + assumedProbes*assumed) / (weight*s.probed + assumedProbes)
}

// room returns the estimate of a service.
func (t *EndpointStats) room(service string) *serviceRoom {
	if r, ok := t.rooms.Load(service); ok {
		return r.(*serviceRoom)
	}
	r, _ := t.rooms.LoadOrStore(service, &serviceRoom{})
	return r.(*serviceRoom)
}

// LikelyRoom reports whether an endpoint whose load is not known has room as likely as not, by the probes of its service in this host's
// zone or, if local is false, in others.
func (t *EndpointStats) LikelyRoom(service string, local bool, now time.Time) bool {
	r := t.room(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.remote
	if local {
		s = &r.local
	}
	return s.estimate(0.5, now) >= 0.5
}

// leavesRoom reports whether an endpoint with this load is idle, or would not become nearly full by another request.
func (l Load) leavesRoom() bool {
	busy := l.Running + l.Waiting
	return busy < l.Slots && (busy == 0 || !isNearlyFull(busy+1, l.Slots))
}

// RecordProbe records the load that an endpoint reported to a probe. An endpoint has room if it is not slow and another request would not make
// it nearly full.
func (t *EndpointStats) RecordProbe(e endpoints.Endpoint, l Load, now time.Time) {
	t.RecordLoad(e, l, now)
	if l.Slots == 0 {
		return
	}
	r := t.room(e.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.remote
	if e.Zone == t.cfg.Zone {
		s = &r.local
	}
	weight := s.weight(now)
	s.probed, s.withRoom, s.lastProbe = weight*s.probed+1, weight*s.withRoom, later(s.lastProbe, now)
	if l.leavesRoom() && l.Slowness <= t.cfg.GoodEnoughFactor {
		s.withRoom++
	}
}

// RoomElsewhere reports whether a larger share of the service's endpoints has room in other zones than in this host's zone. known is false if
// no endpoint of other zones was probed for roomKnownTime.
func (t *EndpointStats) RoomElsewhere(service string, now time.Time) (elsewhere, known bool) {
	r := t.room(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	local, remote := r.local.weight(now), r.remote.weight(now)
	probed := local*r.local.probed + remote*r.remote.probed
	if probed == 0 || now.Sub(r.remote.lastProbe) > roomLifetime {
		return false, false
	}
	mean := (local*r.local.withRoom + remote*r.remote.withRoom) / probed
	return r.remote.estimate(mean, now) > r.local.estimate(mean, now), now.Sub(r.remote.lastProbe) <= roomKnownTime
}
