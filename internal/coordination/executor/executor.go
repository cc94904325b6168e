// Package executor takes a caller's request from admission to the upstream's response: it checks the idempotency key, acquires
// a grant, sends the request to the granted endpoint, retries or hedges it where that is safe and within the retry allowance,
// and releases the grant.
package executor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Call is one authenticated request of a caller, with its whole body.
type Call struct {
	RequestID string
	Operation *contract.Operation
	Limits    *limits.ServiceLimits
	Method    string
	Path      string // escaped path and query below the service
	Header    http.Header
	Body      []byte
	Deadline  time.Time
	Attempt   keys.Attempt // the caller's attempt; a number above 0 means a repeat
	Key       string       // idempotency key, or empty
	Host      string       // Host header; empty means the endpoint's address
	// Credential is the key that the caller has sent. It is passed on to other entry hosts only, and is in no Header.
	Credential string
	// Revoked reports whether the caller's key has been removed meanwhile, so that the request must not be sent any more. Nil means that it
	// needs no key.
	Revoked func() bool
	// UseOldestConnection uses the connection that has been idle for longest instead of the one that became idle last, so that the
	// connection is not closed by an idle timeout.
	UseOldestConnection bool
	// HealthCheck says that this is a health check or load probe of the host itself. Its response is never one to a caller's request.
	HealthCheck bool
	// RecentContact says that the request is not sent on a new connection if the upstream may have started again since its last response.
	RecentContact bool
	// RetainBody is called before Body is passed to a connection. The function that it returns is called when the connection no
	// longer reads Body, which may be after the call has ended. RetainBody is nil if Body's memory is never reused.
	RetainBody func() (release func())
}

// IsRevoked reports whether the call must not be sent any more because the caller's key has been removed.
func (c *Call) IsRevoked() bool { return c.Revoked != nil && c.Revoked() }

// ErrWithdrawn is the cause of a SendError if the endpoint must not get new requests any more, or not yet, and nothing was written.
var ErrWithdrawn = errors.New("the endpoint takes no new requests now")

// ErrConnectionLimit is the cause of a SendError if this host has the maximum number of connections to the endpoint.
var ErrConnectionLimit = errors.New("all connections that this host may hold to the endpoint are in use")

// SendError is the failure of a request to get a response from one endpoint.
type SendError struct {
	Written bool // at least one byte of the request may have reached the upstream
	Partial bool // a part of the response's header had arrived
	Broken  bool // the connection ended before the response's header had arrived
	// OwnDelay says that the time passed because this host got no processor: bytes of a response had arrived that it had not read, or it had used up most
	// of the time before it asked. It says nothing about the upstream.
	OwnDelay bool
	Err      error
}

func (e *SendError) Error() string { return fmt.Sprintf("send (written: %t): %v", e.Written, e.Err) }

// Unwrap returns Err.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends a request to an endpoint without retrying it. The error is a *SendError.
type Sender interface {
	Send(ctx context.Context, e endpoints.Endpoint, c *Call) (*Response, error)
}

// LeavingTracker records which endpoints are leaving.
type LeavingTracker interface {
	MarkLeaving(id endpoints.ID) bool
	IsLeaving(id endpoints.ID) bool
}

// Config configures an Executor.
type Config struct {
	Granter dispatch.Granter
	Sender  Sender
	Leaving LeavingTracker
	Keys    *keys.Table
	Relay   Relayer          // if nil, calls with keys of other hosts are refused
	Now     func() time.Time // nil means time.Now
	// Hedge enables hedging: idempotent calls without a response for unusually long are sent to a second endpoint. It needs a
	// Granter that knows which slots are free.
	Hedge   bool
	Metrics *metrics.Registry // receives the hedge counters; may be nil
}

// Executor runs calls. It is safe for concurrent use.
type Executor struct {
	cfg           Config
	allowance     retryAllowance
	responseTimes responseTimeEstimators // used only if hedging is enabled
}

// New returns an Executor.
func New(cfg Config) *Executor {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Executor{cfg: cfg, allowance: retryAllowance{buckets: map[limits.Key]*retryBucket{}}}
}

// BodyEnd is how reading the body of a GrantedResponse ended.
type BodyEnd uint8

// Values of BodyEnd.
const (
	BodyComplete  BodyEnd = iota // read to io.EOF
	BodyTruncated                // reading from the upstream failed before io.EOF
	BodyAbandoned                // the rest was not read because the caller did not take it
)

// GrantedResponse is a response together with the grant under which it was obtained. Finish must be called when the body is no longer
// read.
type GrantedResponse struct {
	*Response
	Endpoint endpoints.Endpoint
	finish   func(BodyEnd)
}

// Finish closes the body and releases the grant.
func (r *GrantedResponse) Finish(end BodyEnd) {
	if r.finish != nil {
		r.finish(end)
	}
}

const (
	// maxAttempts is the maximum number of endpoints to which one call is sent, regardless of the retry allowance.
	maxAttempts = 3
	// maxLeavingGrants is the maximum number of grants per call that are released unused because their endpoint is leaving.
	maxLeavingGrants = 16
	// defaultRetryAfter is the default delay that refusals state. An ejected endpoint is tried again after 500 ms at the latest,
	// so an endpoint is likely to be usable by then.
	defaultRetryAfter = 500 * time.Millisecond
)

// Execute runs the call. It leaves the fields of the refusal that only the front end knows empty.
func (x *Executor) Execute(ctx context.Context, c *Call) (*GrantedResponse, *refusals.Refusal) {
	if c.Operation.Idempotent {
		return x.send(ctx, c)
	}
	return x.executeKeyed(ctx, c, x.cfg.Relay)
}

// ExecuteRelayed runs a call with an idempotency key that another entry host relayed. It never relays the call again.
func (x *Executor) ExecuteRelayed(ctx context.Context, c *Call) (*GrantedResponse, *refusals.Refusal) {
	return x.executeKeyed(ctx, c, nil)
}

// callState is the state of a call across its attempts.
type callState struct {
	request       dispatch.Request  // for the next grant
	failures      int               // failed attempts
	leavingGrants int               // grants that were released because their endpoint is leaving
	mayHaveRun    bool              // an upstream may have run one of the failed attempts
	lastRefusal   *refusals.Refusal // of the latest failed attempt, or of the first leaving endpoint if there is none
}

// recordFailure records an attempt that failed with the refusal r.
func (s *callState) recordFailure(r *refusals.Refusal) {
	s.failures++
	s.lastRefusal = r
	s.mayHaveRun = s.mayHaveRun || r.Ran != refusals.RanNo
}

// finalRefusal returns the refusal of a call that is not retried: r, with why added to its detail unless why is empty. The refusal
// says "not run" only if no attempt may have run.
func (s *callState) finalRefusal(r *refusals.Refusal, why string) *refusals.Refusal {
	if why != "" {
		r.Detail += "; " + why
	}
	if s.mayHaveRun && r.Ran == refusals.RanNo {
		r.Ran = refusals.RanUnknown
		r.Remedy = remedyCheckOutcome
	}
	return r
}

// send acquires grants and sends the call until an endpoint responds or the call must not be retried.
func (x *Executor) send(ctx context.Context, c *Call) (*GrantedResponse, *refusals.Refusal) {
	if left := c.Deadline.Sub(x.cfg.Now()); left <= 0 {
		return nil, x.expiredRefusal(c, "the deadline had passed before the request was queued")
	}
	if r := x.allowance.admit(x.cfg.Now(), c); r != nil {
		return nil, r
	}
	state := callState{request: dispatch.Request{
		ID: c.RequestID, Customer: c.Limits.Customer, Service: c.Limits.Name,
		Class: c.Operation.Class, Idempotent: c.Operation.Idempotent, Deadline: c.Deadline,
	}}
	for {
		grant, err := x.cfg.Granter.Acquire(ctx, state.request)
		if err != nil {
			denied := x.acquireRefusal(ctx, c, err)
			if state.lastRefusal == nil {
				return nil, denied
			}
			return nil, state.finalRefusal(state.lastRefusal, "no other endpoint was granted: "+denied.Detail)
		}
		if slices.Contains(state.request.ExcludedEndpoints, grant.Endpoint.ID) {
			x.cfg.Granter.Release(grant, dispatch.Outcome{Result: dispatch.ResultNotSent})
			return nil, state.finalRefusal(state.lastRefusal, "no other endpoint was granted")
		}
		state.request.ExcludedEndpoints = append(state.request.ExcludedEndpoints, grant.Endpoint.ID)
		state.request.Attempt++
		if x.cfg.Leaving.IsLeaving(grant.Endpoint.ID) {
			x.cfg.Granter.Release(grant, dispatch.Outcome{Result: dispatch.ResultNotSent, Leaving: true})
			state.leavingGrants++
			if state.lastRefusal == nil {
				state.lastRefusal = leavingRefusal(grant)
			}
			if state.leavingGrants >= maxLeavingGrants {
				return nil, state.finalRefusal(state.lastRefusal, "")
			}
			continue
		}
		var response *GrantedResponse
		var refusal *refusals.Refusal
		if x.cfg.Hedge && c.Operation.Idempotent && state.failures == 0 {
			response, refusal = x.attemptHedged(ctx, c, grant, &state)
		} else {
			response, refusal = x.attempt(ctx, c, grant)
		}
		if refusal == nil {
			return response, nil
		}
		state.recordFailure(refusal)
		if stop, why := x.mustStop(ctx, c, &state); stop {
			return nil, state.finalRefusal(refusal, why)
		}
	}
}

// mustStop reports whether a call whose attempt failed must not be retried, and the reason if the refusal should state it. If the call
// may be retried, mustStop has taken a token of the retry allowance.
func (x *Executor) mustStop(ctx context.Context, c *Call, state *callState) (bool, string) {
	now := x.cfg.Now()
	switch {
	case state.mayHaveRun && !c.Operation.Idempotent:
		return true, ""
	case ctx.Err() != nil || !now.Before(c.Deadline):
		return true, "no time is left for another endpoint"
	case state.failures >= maxAttempts:
		return true, fmt.Sprintf("%d endpoints were tried", state.failures)
	case !x.allowance.takeToken(now, c.Limits, c.Operation.Class):
		return true, "the retry allowance does not cover another endpoint"
	}
	return false, ""
}

// leavingRefusal returns the refusal for a call whose granted endpoint is leaving.
func leavingRefusal(grant dispatch.Grant) *refusals.Refusal {
	return &refusals.Refusal{Reason: refusals.NoUpstream, Ran: refusals.RanNo, RetryAfter: defaultRetryAfter,
		Detail: "endpoint " + grant.Endpoint.Address + " began to leave before the request was sent", Remedy: remedySendAgain}
}

// Remedies that several refusals use.
const (
	remedySendAgain    = "send the request again after the stated delay"
	remedyCheckOutcome = "find out at the service whether the request took effect before sending it as a new one"
)

// attempt sends the call to the granted endpoint. If it returns a refusal, it has released the grant.
func (x *Executor) attempt(ctx context.Context, c *Call, grant dispatch.Grant) (*GrantedResponse, *refusals.Refusal) {
	start := x.cfg.Now()
	resp, err := x.cfg.Sender.Send(ctx, grant.Endpoint, c)
	if err != nil {
		return nil, x.handleSendError(ctx, c, grant, err, x.cfg.Now().Sub(start))
	}
	if resp.Leaving || resp.Replaced {
		x.cfg.Leaving.MarkLeaving(grant.Endpoint.ID)
	}
	outcome := dispatch.Outcome{Leaving: resp.Leaving || resp.Replaced, InFlight: resp.InFlight, Slots: resp.Slots}
	if resp.NotRun {
		resp.Discard()
		outcome.Result = dispatch.ResultRefused
		x.cfg.Granter.Release(grant, outcome)
		return nil, &refusals.Refusal{Reason: refusals.UpstreamRefused, Ran: refusals.RanNo, RetryAfter: upstreamRetryAfter(resp.Header),
			Detail: "endpoint " + grant.Endpoint.Address + " refused the request without running it", Remedy: remedySendAgain,
			Limit: float64(resp.Slots), Observed: float64(resp.InFlight), Unit: loadUnit(resp.Slots)}
	}
	finish := func(end BodyEnd) {
		resp.Body.Close()
		outcome.ServiceTime = x.cfg.Now().Sub(start)
		outcome.Result = responseResult(ctx, resp.Status, end)
		x.cfg.Granter.Release(grant, outcome)
	}
	return &GrantedResponse{Response: resp, Endpoint: grant.Endpoint, finish: finish}, nil
}

// loadUnit returns the unit of the load in a refusal, or "" if the endpoint reported no load.
func loadUnit(slots int) string {
	if slots > 0 {
		return "requests in flight at the endpoint"
	}
	return ""
}

// upstreamRetryAfter returns the delay of the upstream's Retry-After header, which is in seconds, or the default.
func upstreamRetryAfter(h http.Header) time.Duration {
	if s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return defaultRetryAfter
}

// responseResult returns the result with which the grant of a request that got a response is released.
func responseResult(ctx context.Context, status int, end BodyEnd) dispatch.Result {
	switch {
	case end == BodyAbandoned, end == BodyTruncated && ctx.Err() != nil:
		return dispatch.ResultCancelled
	case end == BodyTruncated:
		return dispatch.ResultNoResponse
	case status >= http.StatusInternalServerError:
		return dispatch.ResultServerError
	}
	return dispatch.ResultCompleted
}

// handleSendError releases the grant of a request without a response and returns the refusal.
func (x *Executor) handleSendError(ctx context.Context, c *Call, grant dispatch.Grant, err error, took time.Duration) *refusals.Refusal {
	var se *SendError
	written := !errors.As(err, &se) || se.Written
	outcome := dispatch.Outcome{Result: dispatch.ResultNotSent, ServiceTime: took}
	r := &refusals.Refusal{Reason: refusals.UpstreamConnectFailed, Ran: refusals.RanNo, RetryAfter: defaultRetryAfter,
		Detail: fmt.Sprintf("endpoint %s could not be reached: %v", grant.Endpoint.Address, err), Remedy: remedySendAgain}
	if written {
		outcome.Result = dispatch.ResultNoResponse
		r.Reason, r.Ran, r.RetryAfter = refusals.UpstreamLost, refusals.RanUnknown, 0
		r.Detail = fmt.Sprintf("endpoint %s gave no whole answer: %v", grant.Endpoint.Address, err)
		r.Remedy = remedyCheckOutcome
	}
	switch {
	case ctx.Err() != nil && stopped(ctx):
		outcome.Result = dispatch.ResultCancelled
		if !written {
			r = stopRefusal()
		}
	case ctx.Err() != nil:
		outcome.Result = dispatch.ResultCancelled
		r = x.expiredRefusal(c, "the request had not been sent when "+contextEndReason(ctx))
		if written {
			r.Reason, r.Ran, r.Remedy, r.RetryAfter = refusals.DeadlinePassedRunning, refusals.RanUnknown, remedyCheckOutcome, 0
			r.Detail = fmt.Sprintf("endpoint %s had not answered when %s", grant.Endpoint.Address, contextEndReason(ctx))
		}
	}
	if written && c.Operation.Idempotent {
		r.Remedy, r.RetryAfter = "the operation is idempotent: "+remedySendAgain, defaultRetryAfter
	}
	x.cfg.Granter.Release(grant, outcome)
	return r
}
