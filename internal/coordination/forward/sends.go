package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
)

// recordReadyResults records the results that have arrived already and reports whether one of them ends the request.
func (r *activeRequest) recordReadyResults(ctx context.Context) bool {
	for {
		select {
		case got := <-r.sendResults:
			if r.recordSendResult(ctx, got) {
				return true
			}
		default:
			return false
		}
	}
}

// recordSendResult records the result of a send and reports whether it ends the request. The rest of a streamed answer cannot be read any
// more once ctx has ended.
func (r *activeRequest) recordSendResult(ctx context.Context, got sendResult) bool {
	r.inFlight--
	if got.silent {
		r.endSilence()
	}
	if got.stream != nil && ctx.Err() != nil {
		r.forwarder.discard(&got)
		got = sendResult{attempt: got.attempt, err: ctx.Err(), written: true}
	}
	a := &r.result.Attempts[got.attempt]
	a.Duration = time.Since(r.start) - a.StartedAfter
	switch {
	case got.through != "":
		if r.recordHop(a, &got) {
			return true
		}
	case got.err != nil && !got.written:
		a.Result = ResultNotSent + got.err.Error()
		r.sends--
	case got.err != nil:
		a.Result = ResultLost + got.err.Error()
		r.mayHaveRun = true
	case got.resp.NotRun:
		a.Result = "refused"
	case got.resp.Status >= http.StatusInternalServerError && r.call.Route.Idempotent && r.canRepeat():
		a.Result = "failed"
		r.mayHaveRun = true
	default:
		a.Result = "answered"
		r.recordSuccess(&got)
		r.setAnswer(got)
		return true
	}
	if r.lastFailure == nil || r.lastFailure.resp == nil || got.resp != nil {
		r.discardLastFailure()
		r.lastFailure = &got
	}
	return false
}

// setAnswer makes a send's response the result of the request.
func (r *activeRequest) setAnswer(got sendResult) {
	if got.through == "" {
		r.result.ID = got.id
	}
	r.result.Outcome, r.result.Response, r.result.Body, r.result.Stream = Answered, got.resp, got.body, got.stream
	if got.reserved > 0 {
		if got.stream == nil {
			got.resp.Length = int64(len(got.body))
		}
		r.result.Body, r.result.Stream = nil, r.forwarder.newReservedBody(got)
	}
	r.cancels[got.attempt] = nil
}

// canRepeat reports whether the route allows another attempt and more than half of the request's usual duration is left before the
// deadline.
func (r *activeRequest) canRepeat() bool {
	return r.sends < r.maxAttempts() && time.Until(r.call.Due)-r.call.AnswerDelay > r.serviceTime/2
}

// repeat sends the request again after all sends have failed, if that is safe and the repeat budget allows it. It reports whether a send
// was started.
func (r *activeRequest) repeat(ctx context.Context) bool {
	if ctx.Err() != nil || (r.mayHaveRun && !r.call.Route.Idempotent) || !r.canRepeat() || r.call.IsRevoked() || !r.checkQuarantine() {
		return false
	}
	r.lateAt = r.call.Due // a late answer is better than the failure
	if len(r.result.Attempts) > maxConnectRetries {
		return r.sends == 0 && r.sendThroughHost(ctx, false)
	}
	if r.sends == 0 {
		return r.findAndSend(ctx, false) // no byte reached an endpoint, so this does not count against the repeat budget
	}
	if !r.forwarder.cfg.RepeatLimiter.Take(r.call.Service.Name, time.Now()) {
		r.result.Detail = "the repeat budget is used up"
		return false
	}
	if !r.findAndSend(ctx, false) {
		r.forwarder.cfg.RepeatLimiter.Refund(r.call.Service.Name, time.Now())
		return false
	}
	return true
}

// setFailure sets the outcome of a request whose sends have all failed or whose context has ended.
func (r *activeRequest) setFailure(ctx context.Context) {
	res := r.result
	mayHaveRun := r.mayHaveRun || r.inFlight > 0
	r.usableEndpoints(time.Now())
	switch {
	case r.lastFailure != nil && r.lastFailure.resp != nil && !r.lastFailure.resp.NotRun && (r.lastFailure.stream == nil || ctx.Err() == nil):
		r.setAnswer(*r.lastFailure) // the caller gets the endpoint's error response
		r.lastFailure = nil
	case mayHaveRun && ctx.Err() != nil:
		res.Outcome = TimedOut
	case mayHaveRun:
		res.Outcome = LostAnswer
	case r.lastFailure != nil && !r.allRejectingUntil.IsZero():
		r.setAllRejecting()
	case r.lastFailure != nil && r.lastFailure.resp != nil:
		res.Outcome, res.RetryAfter = RefusedUpstream, retryAfterUpstreamRefusal(r.lastFailure.resp)
	case r.lastFailure != nil:
		res.Outcome, res.RetryAfter = RefusedConnect, defaultRetryAfter
	case ctx.Err() != nil:
		res.Outcome, res.RetryAfter = RefusedUnsent, defaultRetryAfter
	}
	if r.lastFailure != nil && r.lastFailure.err != nil && res.Detail == "" {
		res.Detail = r.lastFailure.err.Error()
	}
}

// stopped reports whether the request is not sent because this host stops. One that may have run cannot be refused as not run, and may be repeated.
func (r *activeRequest) stopped() bool {
	return r.forwarder.cfg.Stopped() || !r.mayHaveRun && r.inFlight == 0 && r.forwarder.cfg.MayBeCut(r.call.Due)
}

// send starts to send the request to an endpoint. The result arrives on r.sendResults.
func (r *activeRequest) send(ctx context.Context, v placement.EndpointView, expected time.Duration, hedge bool) {
	n := len(r.result.Attempts)
	r.result.Attempts = append(r.result.Attempts, Attempt{Endpoint: v.Name, StartedAfter: time.Since(r.start),
		Expected: expected, Load: v.Load, LoadAge: v.LoadAge, Hedge: hedge})
	r.tried = append(r.tried, v.ID)
	r.sends++
	r.inFlight++
	sendCtx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	execCall := *r.call.Call
	execCall.Deadline, execCall.RecentContact = r.call.Due, r.call.needsContact() && !v.Cold
	queue, begin := r.forwarder.queue(r.call.Service.Name), time.Now()
	request := r.overloadRequest()
	queue.Started(&request, n == 0, begin)
	release := retainBody(&execCall)
	awaited := r.await(&v, expected, begin)
	go func() {
		got := sendResult{err: errPanicked, written: true} // stays so if the send panics
		defer func() {
			completed := got.err == nil && got.resp != nil && !got.resp.NotRun && got.resp.Status < http.StatusInternalServerError
			queue.Ended(r.serviceTime, time.Since(begin), completed, time.Now())
			if errors.Is(got.err, errPanicked) {
				r.forwarder.cfg.EndpointStats.RecordEnd(v.ID, true, time.Now())
			}
			got.attempt, got.silent = n, awaited.end(sendCtx, r.forwarder, &v, &got, time.Since(begin), expected, execCall.RequestID)
			release()
			r.sendResults <- got
		}()
		defer r.forwarder.recoverPanic(execCall.RequestID)
		got = r.forwarder.sendOnce(sendCtx, v, &execCall, r.call)
	}()
}

// retainBody keeps the memory of a request's body while a send may read it, which may be after the request has ended.
func retainBody(c *executor.Call) (release func()) {
	if c.RetainBody == nil {
		return func() {}
	}
	return c.RetainBody()
}

// cancelSends cancels the sends whose answers are not used.
func (r *activeRequest) cancelSends() {
	for _, cancel := range r.cancels {
		if cancel != nil {
			cancel()
		}
	}
	if r.inFlight > 0 {
		// Answers that still arrive are closed, so that their connections do not leak.
		go func(n int) {
			for range n {
				got := <-r.sendResults
				r.forwarder.discard(&got)
			}
		}(r.inFlight)
	}
}
