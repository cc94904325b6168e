package upstreamconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/prequal"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// probePath is the path of a probe's GET request.
	probePath = "/healthz"
	// probeTimeout is the timeout of a probe whose context has no deadline. It is short, because an endpoint that takes longer to respond
	// is not a good choice.
	probeTimeout = 500 * time.Millisecond
	// maxProbeBodyBytes is the size of the largest body that a response to a probe may have. The body is not used.
	maxProbeBodyBytes = 8 << 10
)

var (
	errReplaced = errors.New("another endpoint uses the address")
	errLeaving  = errors.New("the endpoint is leaving or unhealthy")
)

// ProbeLoad implements forward.LoadProber. It requests an endpoint's load over a pooled connection, which a request can use afterwards.
func (p *Pool) ProbeLoad(ctx context.Context, e endpoints.Endpoint, path string) (placement.Load, error) {
	resp, err := p.Send(ctx, e, &executor.Call{RequestID: p.probeID(), Method: http.MethodGet, Path: path, Header: http.Header{},
		UseOldestConnection: true, HealthCheck: true})
	if err != nil {
		return placement.Load{}, err
	}
	defer resp.Body.Close()
	if err := discardProbeBody(resp.Body); err != nil {
		return placement.Load{}, err
	}
	switch {
	case resp.Replaced:
		return placement.Load{}, errReplaced
	case resp.Leaving || resp.Status != http.StatusOK:
		return placement.Load{}, errLeaving
	}
	return forward.LoadFromResponse(resp), nil
}

// Probe checks an endpoint's health and returns its load. Without a deadline of ctx it ends after probeTimeout. It uses a pooled connection, because a new connection for each probe would
// cost the upstream more than the request. A response from another incarnation is an error, because it does not describe the endpoint.
func (p *Pool) Probe(ctx context.Context, e endpoints.Endpoint) (prequal.Load, error) {
	start := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = start.Add(probeTimeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	resp, err := p.Send(ctx, e, &executor.Call{RequestID: p.newID(), Method: http.MethodGet, Path: probePath, Header: http.Header{}, Deadline: deadline,
		HealthCheck: true})
	if err != nil {
		return prequal.Load{}, trace.ConnectionProblem(err, "probe %s", e.ID)
	}
	defer resp.Body.Close()
	err = discardProbeBody(resp.Body)
	if err != nil || resp.Status >= http.StatusInternalServerError || resp.Replaced {
		return prequal.Load{}, trace.ConnectionProblem(err, "probe %s: status %d, replaced %t", e.ID, resp.Status, resp.Replaced)
	}
	return prequal.Load{InFlight: resp.InFlight, Latency: time.Since(start)}, nil
}

// discardProbeBody reads a body to its end, so that its connection can be used again. It fails if the body has more than maxProbeBodyBytes.
func discardProbeBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxProbeBodyBytes+1))
	if err == nil && n > maxProbeBodyBytes {
		return errTooLarge
	}
	return err
}
