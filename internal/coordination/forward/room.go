package forward

import (
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// restrictToRoom returns what a waiting request considers of the candidates and rounds: those of this host's zone, unless there is evidence
// of more room in other zones or this zone has no endpoint for it. The result has at most one round. While the room of other zones is not
// known, some of their endpoints are probed for later decisions.
func (r *activeRequest) restrictToRoom(views []placement.EndpointView, candidates []int, rounds [][]int, avoid func(endpoints.ID) bool,
	now time.Time) ([]int, [][]int) {
	stats := r.forwarder.cfg.EndpointStats
	cfg := stats.Config()
	local, remote := byZone(views, rounds)
	hasLocal := slices.ContainsFunc(views, func(v placement.EndpointView) bool {
		return v.Local && !v.Suspect && !v.Rejecting && !v.Limited && !avoid(v.ID)
	})
	elsewhere, known := stats.RoomElsewhere(r.call.Service.Name, now)
	round := local
	switch {
	case !hasLocal, elsewhere && (len(local) == 0 || r.result.QueueWaits%2 == 0):
		round = remote
	case !elsewhere:
		candidates = slices.DeleteFunc(candidates, func(i int) bool { return !views[i].Local })
		if !known {
			r.probeAhead(views, remote[:min(len(remote), cfg.NextRoundSize)])
		}
	}
	if len(round) == 0 {
		return candidates, nil
	}
	return candidates, [][]int{round[:min(len(round), cfg.FirstRoundSize)]}
}

// probeAhead probes endpoints without waiting for their answers, which are recorded in the endpoint statistics.
func (r *activeRequest) probeAhead(views []placement.EndpointView, round []int) {
	now := time.Now()
	for _, i := range round[:r.forwarder.cfg.ProbeBudget.Take(len(round), now)] {
		if !r.forwarder.cfg.EndpointStats.StartProbe(views[i].ID, now) {
			continue
		}
		r.result.ProbesSent++
		go r.forwarder.probeStarted(views[i].Endpoint, r.call.Service.HealthPath, r.call.RequestID)
	}
}

// probeStarted probes an endpoint whose probe was recorded as started. A failure is recorded with the endpoint.
func (f *Forwarder) probeStarted(e registry.Endpoint, path, requestID string) {
	ended := false
	defer func() {
		if !ended {
			f.cfg.EndpointStats.EndProbe(e.ID, time.Now())
		}
	}()
	defer f.recoverPanic(requestID)
	_, _ = f.probe(e, path)
	ended = true
}
