package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// sendOnce sends the request to one endpoint, at which the send is already recorded. It reads the answer and records the outcome and the
// reported load in the endpoint statistics. Then it wakes a waiting request of the service, because the endpoint may have a free slot.
func (f *Forwarder) sendOnce(ctx context.Context, v placement.EndpointView, c *executor.Call, route *routing.Route) sendResult {
	start := time.Now()
	got := sendResult{written: true}
	got.resp, got.err = f.cfg.Sender.Send(ctx, v.Endpoint.Endpoint, c)
	if got.err == nil {
		got.body, got.stream, got.err = readAnswer(got.resp)
	}
	now := time.Now()
	var sendErr *executor.SendError
	if errors.As(got.err, &sendErr) {
		got.written = sendErr.Written
	}
	switch {
	case got.err != nil && ctx.Err() != nil, errors.Is(got.err, executor.ErrWithdrawn):
		f.cfg.EndpointStats.RecordEndWithoutOutcome(v.ID, now)
	case got.err != nil && !got.written:
		f.cfg.EndpointStats.RecordEndWithoutOutcome(v.ID, now)
		f.cfg.EndpointStats.RecordUnreachable(v.ID, now)
	case got.err != nil:
		f.cfg.EndpointStats.RecordEnd(v.ID, true, now)
	case got.resp.NotRun && (got.resp.Leaving || got.resp.RejectedFor > 0):
		f.cfg.EndpointStats.RecordEndWithoutOutcome(v.ID, now)
	default:
		f.cfg.EndpointStats.RecordEnd(v.ID, got.resp.NotRun || got.resp.Status >= http.StatusInternalServerError, now)
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
	f.queue(v.Service).WakeNext()
	return got
}

// readAnswer reads the body of an answer. If it is larger than maxBufferedBody, stream holds what follows the part that was read.
func readAnswer(resp *executor.Response) (body []byte, stream io.ReadCloser, err error) {
	if resp.Length > maxBufferedBody {
		return nil, resp.Body, nil
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		return body, resp.Body, nil
	}
	resp.Body.Close()
	return body, nil, err
}

// LoadFromResponse returns the load that a response reports. Slots is 0 if it reports none.
func LoadFromResponse(r *executor.Response) placement.Load {
	l := placement.Load{Running: r.InFlight - r.Waiting, Waiting: r.Waiting, Slots: r.Slots, Slowness: r.Slowness}
	if l.Slowness <= 0 {
		l.Slowness = 1
	}
	return l
}
