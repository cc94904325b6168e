package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// Detour knows whether this host has lost its way to the endpoints of a service, and sends requests through other hosts.
type Detour interface {
	// Decide returns which way the next request for a service takes. checkable says that its endpoints can be checked without requests.
	Decide(service string, checkable bool, now time.Time) detour.Decision
	// State returns the state of this host's way to the endpoints of a service.
	State(service string) string
	// Choose returns a host that reaches the service and is not in avoid, and counts a detour through it until Ended is called.
	Choose(service string, avoid []string, now time.Time) (h peers.Host, ok bool)
	Ended(host string, failed bool, now time.Time)
	// Unanswered records that an endpoint has not answered.
	Unanswered(service string, id endpoints.ID, now time.Time)
	// Send sends a request to a host, without repeating it. The error is an *executor.SendError. The result is nil if the host's server has refused the
	// request before it was handled.
	Send(ctx context.Context, h peers.Host, c *executor.Call, r *detour.HopRequest) (*executor.Response, *detour.HopResult, error)
}

// Handover is what another host, which got the request from its caller, says about it.
type Handover struct {
	Host     string         // name of that host
	Attempts int            // endpoints to which the request may be sent
	Tried    []endpoints.ID // endpoints to which it is not sent again
	Counted  bool           // that host has counted it for its repeat budget
	Late     bool           // an answer after the target latency is better than none
	// WaitedBefore is how long the caller had waited before this attempt, by the times that it states.
	WaitedBefore time.Duration
}

const (
	// maxHops is the number of hosts through which a request is sent, one after the other, if it does not reach an endpoint there.
	maxHops = 2
	// hopDurationFactor is the expected duration of a request through another host, as a multiple of its usual duration. That host hedges and repeats the
	// request itself.
	hopDurationFactor = 2
	// hopMargin is how much earlier than this host the other one has to answer, so that its answer arrives in time.
	hopMargin = 10 * time.Millisecond
)

var (
	errHopNotRun = errors.New("the host did not send the request to an endpoint")
	errHopFailed = errors.New("the host failed while it handled the request")
)

// maxAttempts returns the number of endpoints to which this host may send the request.
func (r *activeRequest) maxAttempts() int {
	if h := r.call.Handover; h != nil {
		return min(h.Attempts, r.call.Route.MaxAttempts)
	}
	return r.call.Route.MaxAttempts
}

// count counts the request for the repeat budget, once on one of the hosts that handle it.
func (r *activeRequest) count() {
	if !r.counted {
		r.counted = true
		r.forwarder.cfg.RepeatLimiter.AddRequest(r.call.Service.Name, time.Now())
	}
}

// lostWay reports whether this host has lost its way to the endpoints of the request's service, so that it is no use to look for one.
func (r *activeRequest) lostWay() bool {
	d := r.forwarder.cfg.Detour
	if d == nil || r.direct {
		return false
	}
	state := d.State(r.call.Service.Name)
	return state == detour.Cut || state == detour.Silent && r.call.Handover != nil
}

// refuseNoEndpoint refuses the request because no endpoint of the service answers, or because all of them are in evacuated zones.
func (r *activeRequest) refuseNoEndpoint() {
	r.result.Outcome, r.result.RetryAfter = RefusedNoEndpoint, defaultRetryAfter
	if n := r.forwarder.cfg.Endpoints().Evacuated[r.call.Service.Name]; n > 0 && r.result.Candidates == 0 {
		r.result.Detail = "all endpoints of the service are in evacuated zones"
	}
}

// takeDetour sends the request through another host, or refuses it, if this host has lost its way to the service. decided is false if this host is to look for
// an endpoint itself.
func (r *activeRequest) takeDetour(ctx context.Context, hedge bool) (sent, decided bool) {
	d := r.forwarder.cfg.Detour
	if d == nil {
		return false, false
	}
	r.direct = false
	if r.call.Handover != nil {
		return false, false // a request goes through one host at most; findEndpoint refuses it
	}
	switch d.Decide(r.call.Service.Name, r.call.Service.HealthPath != "", time.Now()) {
	case detour.Through:
		if r.sendThroughHost(ctx, hedge) {
			return true, true
		}
		if d.State(r.call.Service.Name) == detour.Returning {
			return false, false
		}
	case detour.Direct:
		r.direct = d.State(r.call.Service.Name) == detour.Cut
		return false, false
	}
	if len(r.result.Attempts) == 0 {
		r.refuseNoEndpoint()
	}
	return false, true
}

// mayDetour reports whether a request for which this host found no endpoint may go through another host: no endpoint of the service has answered this host,
// or accepted a connection for the request.
func (r *activeRequest) mayDetour() bool {
	if len(r.result.Attempts) > 0 {
		return r.lostWay() || r.sends == 0 && len(r.through) == 0
	}
	return r.lostWay() || r.result.Outcome == RefusedNoEndpoint && r.result.Candidates > 0
}

// sendThroughHost starts to send the request through another host that reaches the service. It returns false if there is none.
func (r *activeRequest) sendThroughHost(ctx context.Context, hedge bool) bool {
	f := r.forwarder
	if f.cfg.Detour == nil || r.call.Handover != nil || len(r.through) >= maxHops || ctx.Err() != nil || r.stopped() || r.call.IsRevoked() || !r.checkQuarantine() {
		return false
	}
	now := time.Now()
	h, ok := f.cfg.Detour.Choose(r.call.Service.Name, r.through, now)
	if !ok {
		return false
	}
	allowed := r.maxAttempts() - r.sends
	if allowed > 1 && r.call.Route.Idempotent {
		allowed-- // one is left in case that the connection to the host breaks
	}
	request := &detour.HopRequest{Service: r.call.Service.Name, Version: r.call.Version, Waited: now.Sub(r.call.Arrived).Milliseconds(), Attempts: allowed, Caller: r.call.Caller,
		Tried: r.tried, Counted: r.counted, Late: r.sends > 0, WaitedBefore: r.waitedFor.Milliseconds()}
	r.counted = true
	r.result.Outcome, r.result.RetryAfter = "", 0
	expected := hopDurationFactor * r.serviceTime
	n := len(r.result.Attempts)
	r.result.Attempts = append(r.result.Attempts, Attempt{Through: h.Name, StartedAfter: time.Since(r.start), Expected: expected, Hedge: hedge})
	r.through = append(r.through, h.Name)
	r.sends++
	r.inFlight++
	sendCtx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	execCall := *r.call.Call
	execCall.Deadline = r.call.Due.Add(-hopMargin)
	release := retainBody(&execCall)
	go func() {
		got := sendResult{err: errPanicked, written: true}
		defer func() {
			got.attempt, got.through, got.allowed = n, h.Name, allowed
			release()
			r.sendResults <- got
		}()
		defer f.recoverPanic(execCall.RequestID)
		got = f.sendThrough(sendCtx, h, &execCall, request)
	}()
	return true
}

// sendThrough sends a request through a host and reads the answer.
func (f *Forwarder) sendThrough(ctx context.Context, h peers.Host, c *executor.Call, request *detour.HopRequest) sendResult {
	got := sendResult{written: true}
	got.resp, got.hop, got.err = f.cfg.Detour.Send(ctx, h, c, request)
	var sendErr *executor.SendError
	if errors.As(got.err, &sendErr) {
		got.written = sendErr.Written
	}
	switch {
	case got.err != nil:
	case got.hop == nil && got.resp.Status == http.StatusInternalServerError:
		got.resp.Discard()
		got.err = errHopFailed
	case got.hop == nil:
		got.resp.Discard()
		got.hop = &detour.HopResult{Outcome: string(RefusedNoEndpoint), Detail: http.StatusText(got.resp.Status)}
	case Outcome(got.hop.Outcome) == Answered:
		f.readAnswer(&got)
	default:
		got.resp.Discard()
	}
	if got.err != nil {
		got.resp = nil
	}
	failed := got.err != nil && ctx.Err() == nil || got.hop != nil && reachesNothing(got.hop)
	f.cfg.Detour.Ended(h.Name, failed, time.Now())
	if got.stream != nil {
		got.stream = &watchedStream{ReadCloser: got.stream, ctx: ctx, readBefore: int64(len(got.body)), calledAt: time.Now(),
			onCut: func(bytes int64, _ bool, err error) { f.reportCut(c, h.Name, &got, bytes, err) }}
	}
	return got
}

// reachesNothing reports whether a host has found no endpoint for a request, so that another host may.
func reachesNothing(r *detour.HopResult) bool {
	return r.Sends == 0 && (Outcome(r.Outcome) == RefusedNoEndpoint || Outcome(r.Outcome) == RefusedConnect)
}

// recordHop records how the request ended at another host, and reports whether that ends the request.
func (r *activeRequest) recordHop(a *Attempt, got *sendResult) bool {
	if got.err != nil {
		if !got.written {
			a.Result = ResultNotSent + got.err.Error()
			r.sends--
			return false
		}
		a.Result = ResultLost + got.err.Error()
		r.mayHaveRun = true
		r.sends += got.allowed - 1
		return false
	}
	outcome := Outcome(got.hop.Outcome)
	a.Endpoint = registry.EndpointName(got.hop.ID)
	switch {
	case outcome == Answered:
		a.Result = "answered"
		r.result.ID = got.hop.ID
		r.recordSuccess(got)
		r.setAnswer(*got)
		return true
	case outcome.GuaranteesNotRun():
		a.Result = "refused: " + got.hop.Outcome
		r.sends += got.hop.Sends - 1
		got.err, got.resp = trace.Wrap(errHopNotRun, "%s", got.hop.Detail), nil
		if r.inFlight > 0 || r.mayHaveRun || reachesNothing(got.hop) {
			return false
		}
		r.result.Outcome, r.result.RetryAfter, r.result.Detail = outcome, got.hop.RetryAfter(), got.hop.Detail
		return true
	default:
		a.Result = ResultLost + got.hop.Outcome
		r.mayHaveRun = true
		r.sends = max(r.sends, r.maxAttempts()) // that host has repeated the request as often as it may
		got.err, got.resp = errors.New("the endpoint's answer did not reach the host: "+got.hop.Detail), nil
		return false
	}
}

// recordUnanswered records that an endpoint has not answered a request or load probe.
func (f *Forwarder) recordUnanswered(e endpoints.Endpoint, err error, now time.Time) {
	if f.cfg.Detour != nil && !errors.Is(err, executor.ErrWithdrawn) && !errors.Is(err, executor.ErrConnectionLimit) {
		f.cfg.Detour.Unanswered(e.Service, e.ID, now)
	}
}
