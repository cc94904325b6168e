package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
)

// sendOnce sends the request to one endpoint, at which the send is already recorded. It reads the answer and records the outcome and the reported load
// in the endpoint statistics, and checks whether the endpoint has ended under the request. Then it wakes a waiting request of the service, because the
// endpoint may have a free slot.
func (f *Forwarder) sendOnce(ctx context.Context, v placement.EndpointView, c *executor.Call, call *Call) sendResult {
	route := call.Route
	start := time.Now()
	got := sendResult{written: true, id: v.ID}
	got.resp, got.err = f.cfg.Sender.Send(ctx, v.Endpoint.Endpoint, c)
	switch {
	case got.err != nil:
	case got.resp.NotRun:
		got.resp.Discard()
	default:
		f.readAnswer(&got)
	}
	now := time.Now()
	var sendErr *executor.SendError
	if errors.As(got.err, &sendErr) {
		got.written = sendErr.Written
	}
	switch {
	case got.err != nil && ctx.Err() != nil && (got.stalled(f.cfg.Lateness, now) || sendErr != nil && sendErr.Partial && !sendErr.OwnDelay):
		f.cfg.EndpointStats.RecordEnd(v.ID, true, now)
		f.reportCut(c, v.Name, &got, int64(len(got.body)), errStalled)
	case got.err != nil && ctx.Err() != nil, errors.Is(got.err, executor.ErrWithdrawn):
		f.cfg.EndpointStats.RecordEndWithoutOutcome(v.ID, now)
	case got.err != nil && !got.written:
		f.cfg.EndpointStats.RecordEndWithoutOutcome(v.ID, now)
		f.cfg.EndpointStats.RecordUnreachable(v.ID, now)
		f.recordUnanswered(v.Endpoint.Endpoint, got.err, now)
	case got.err != nil:
		f.cfg.EndpointStats.RecordEnd(v.ID, true, now)
		f.cfg.EndpointStats.RecordContactLost(v.ID, now)
		f.recordUnanswered(v.Endpoint.Endpoint, got.err, now)
		if f.cfg.CrashGuard != nil && (sendErr == nil || sendErr.Broken) && !f.cfg.Withdrawn(v.ID) {
			f.cfg.CrashGuard.ConnectionBroke(ctx, v.Endpoint.Endpoint, call.fingerprint())
		}
	case got.resp.NotRun && (got.resp.Leaving || got.resp.RejectedFor > 0):
		f.cfg.EndpointStats.RecordEndWithoutOutcome(v.ID, now)
	default:
		f.cfg.EndpointStats.RecordEnd(v.ID, got.resp.NotRun || got.resp.Status >= http.StatusInternalServerError, now)
		if v.WarmUpLeft > 0 {
			f.cfg.EndpointStats.RecordColdOutcome(v.Service, got.resp.NotRun, now)
		}
		if got.resp.Slots > 0 {
			f.cfg.EndpointStats.RecordLoad(v.Endpoint.Endpoint, LoadFromResponse(got.resp), now)
		}
		if got.resp.Replaced {
			f.cfg.EndpointStats.RecordUnreachable(v.ID, now)
		}
		if !got.resp.NotRun && got.resp.Status < http.StatusInternalServerError {
			if got.resp.Slots == 0 {
				f.cfg.EndpointStats.RecordPace(v.Endpoint.Endpoint, float64(now.Sub(start))/float64(f.serviceTimes.estimate(route)), now)
			}
			f.serviceTimes.observe(route, now.Sub(start), v.Load)
		}
	}
	if got.err != nil {
		got.resp = nil
	}
	if got.stream != nil {
		got.stream = &watchedStream{ReadCloser: got.stream, ctx: ctx, readBefore: int64(len(got.body)), calledAt: now, onCut: func(bytes int64, failed bool, err error) {
			if failed {
				f.cfg.EndpointStats.RecordCut(v.ID, time.Now())
			}
			f.reportCut(c, v.Name, &got, bytes, err)
		}}
	}
	f.queue(v.Service).WakeNext()
	return got
}

// isOwnDelay reports whether the time of a request to an endpoint passed because this host got no processor, so that the error says nothing about the endpoint.
func isOwnDelay(err error) bool {
	var sendErr *executor.SendError
	return errors.As(err, &sendErr) && sendErr.OwnDelay
}

// LoadFromResponse returns the load that a response reports. Slots is 0 if it reports none.
func LoadFromResponse(r *executor.Response) placement.Load {
	l := placement.Load{Running: r.InFlight - r.Waiting, Waiting: r.Waiting, Slots: r.Slots, Slowness: r.Slowness}
	if l.Slowness <= 0 {
		l.Slowness = 1
	}
	return l
}

// retryAfterUpstreamRefusal returns the delay stated in a refusal after an endpoint refused the request without running it.
func retryAfterUpstreamRefusal(resp *executor.Response) time.Duration {
	if load := LoadFromResponse(resp); load.Slots > 0 && load.Running+load.Waiting < load.Slots {
		return retryAfterShed
	}
	return defaultRetryAfter
}
