package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
)

// States of an awaited response.
const (
	awaiting int32 = iota
	silent         // the request counts as dropped
	ended
)

// awaitedResponse is the response of one send. Where endpoints drop requests silently, it becomes silent after the time that the endpoint's own
// responses take.
type awaitedResponse struct {
	state atomic.Int32
	timer *time.Timer // nil if the endpoints of the service drop no requests
}

// Silence describes a request that an endpoint has not answered, for logs.
type Silence struct {
	RequestID, Service, Endpoint string
	AtDeadline                   bool          // the deadline has passed, so that the service's endpoints are taken to drop requests
	Elapsed                      time.Duration // since the request was sent
	Expected                     time.Duration // when the endpoint was chosen
}

func (f *Forwarder) reportSilence(s Silence) {
	if f.cfg.OnSilence != nil {
		f.cfg.OnSilence(s)
	}
}

// await begins to await the response of a send. r.silences is signaled when the request counts as dropped.
func (r *activeRequest) await(v *placement.EndpointView, expected time.Duration, now time.Time) *awaitedResponse {
	a := &awaitedResponse{}
	stats := r.forwarder.cfg.EndpointStats
	if !stats.DropsRequests(v.Service, now) {
		return a
	}
	wait := stats.SilentAfter(v.ID, expected, now)
	a.timer = time.AfterFunc(wait, func() { r.judgeSilence(a, v, expected, now, wait, now.Add(wait)) })
	return a
}

// judgeSilence makes a send count as dropped whose response is due after wait, unless this host was late: then it waits for as long again. due is when this
// call was due.
func (r *activeRequest) judgeSilence(a *awaitedResponse, v *placement.EndpointView, expected time.Duration, sentAt time.Time, wait time.Duration, due time.Time) {
	now, meter := time.Now(), r.forwarder.cfg.Lateness
	meter.Observe(due, now)
	if left := wait - meter.Elapsed(sentAt, now); left > 0 {
		if a.state.Load() == awaiting {
			time.AfterFunc(left, func() { r.judgeSilence(a, v, expected, sentAt, wait, now.Add(left)) })
		}
		return
	}
	if a.state.CompareAndSwap(awaiting, silent) {
		r.forwarder.cfg.EndpointStats.RecordSilent(v.ID, now)
		r.forwarder.reportSilence(Silence{RequestID: r.call.RequestID, Service: v.Service, Endpoint: v.Name, Elapsed: now.Sub(sentAt), Expected: expected})
		r.forwarder.queue(v.Service).WakeNext() // the endpoint may have a free slot
		r.silences <- struct{}{}
	}
}

// end records the end of a send, and reports whether its request counted as dropped before.
func (a *awaitedResponse) end(ctx context.Context, f *Forwarder, v *placement.EndpointView, got *sendResult, took, expected time.Duration, requestID string) (wasSilent bool) {
	now := time.Now()
	if a.timer != nil {
		a.timer.Stop()
	}
	if wasSilent = a.state.Swap(ended) == silent; wasSilent {
		f.cfg.EndpointStats.RecordSilenceEnd(v.ID, now)
	}
	var sendErr *executor.SendError
	switch {
	case got.err == nil && !got.resp.NotRun:
		f.cfg.EndpointStats.RecordResponseTime(v.ID, took, expected, now)
	case got.err != nil && got.written && errors.Is(ctx.Err(), context.DeadlineExceeded) && len(got.body) == 0 && errors.As(got.err, &sendErr) && !sendErr.Partial && !sendErr.OwnDelay &&
		took > f.cfg.EndpointStats.SilentAfter(v.ID, expected, now):
		f.cfg.EndpointStats.RecordUnanswered(v.Service, now)
		f.reportSilence(Silence{RequestID: requestID, Service: v.Service, Endpoint: v.Name, AtDeadline: true, Elapsed: took, Expected: expected})
	}
	return wasSilent
}

// endSilence records that a send has ended that counted as dropped. The signal of that may not have been received yet.
func (r *activeRequest) endSilence() {
	if r.silent > 0 {
		r.silent--
		return
	}
	<-r.silences
}
