package gateway

import "github.com/arbutusspan/arbutusspan/internal/coordination/forward"

// reportSilence counts and logs a request that counts as dropped by its endpoint, or was unanswered at its deadline.
func (g *Gateway) reportSilence(s forward.Silence) {
	state := "dropped"
	if s.AtDeadline {
		state = "unanswered"
	}
	g.metrics.Add("requests_"+state+"_total", 1)
	g.log.Info("endpoint_silent", "id", s.RequestID, "to", s.Endpoint, "service", s.Service, "state", state, "elapsed_ms", ms(s.Elapsed), "expected_ms", ms(s.Expected))
}
