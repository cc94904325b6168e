// Package executor runs one caller's request: it checks the idempotency key, asks for a grant, sends the request to the
// granted endpoint, retries or hedges where that is safe and allowed, and releases the grant.
package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	Limits    *limits.Service
	Method    string
	Path      string // escaped path and query below the service
	Header    http.Header
	Body      []byte
	Deadline  time.Time
	Copy      keys.Copy // as stated by the caller; a number above 0 is a repeat
	Key       string    // idempotency key, or empty
	Host      string    // Host header; empty means the endpoint's address
	// Refresh takes the connection that has been idle for longest instead of the newest one, which keeps it from being closed.
	Refresh bool
	// RetainBody is called before Body is handed to a connection, and the function that it returns once the connection no
	// longer reads it, which can be after the call has ended. Nil if Body is never reused.
	RetainBody func() (release func())
}

// Response is an upstream's answer whose body is still to be read.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser // reading to io.EOF means that the answer is whole
	Length   int64         // -1 if the upstream did not state it
	Refused  bool          // the upstream's protocol says that it did not run the request
	Leaving  bool          // the upstream says that it is leaving
	Damaged  bool          // the headers show that this cannot be the endpoint's whole answer
	Replaced bool          // another incarnation than the granted one answered
	InFlight int           // load report; valid if Slots > 0
	Slots    int
	Waiting  int     // the part of InFlight that waits in the endpoint's queue, if it says so
	Slowness float64 // how many times as long as usual work takes there now; 0 if not told
}

// SendError tells how a request failed at one endpoint.
type SendError struct {
	Written bool // a byte of the request may have reached the upstream
	Err     error
}

func (e *SendError) Error() string { return fmt.Sprintf("send (written: %t): %v", e.Written, e.Err) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends one request to one endpoint, once. The error is a *SendError.
type Sender interface {
	Send(ctx context.Context, e endpoints.Endpoint, c *Call) (*Response, error)
}

// Marks records leaving endpoints and answers whether one is marked.
type Marks interface {
	MarkLeaving(id endpoints.ID) bool
	IsLeaving(id endpoints.ID) bool
}

// Config of an Executor.
type Config struct {
	Granter dispatch.Granter
	Sender  Sender
	Marks   Marks
	Keys    *keys.Table
	Relay   Relay            // nil refuses all keys of other hosts
	Now     func() time.Time // nil means time.Now
	// Hedge sends a second request for idempotent calls that are slow. Granter has to know which slots are free.
	Hedge   bool
	Metrics *metrics.Set // counts hedges; may be nil
}

// Executor runs calls. It is safe for concurrent use.
type Executor struct {
	cfg       Config
	allowance allowance
	times     answerTimes // used if hedging is on
}

// New returns an executor.
func New(cfg Config) *Executor {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Executor{cfg: cfg, allowance: allowance{buckets: map[limits.Key]*retryBucket{}}}
}

// BodyEnd tells how the reading of an answer's body ended.
type BodyEnd uint8

// Values of BodyEnd.
const (
	BodyWhole     BodyEnd = iota // read to io.EOF
	BodyCut                      // the upstream's body ended early
	BodyAbandoned                // the caller did not take the rest
)

// Answer is a response together with the grant that it holds. Finish must be called once the body was read or given up.
type Answer struct {
	*Response
	Endpoint endpoints.Endpoint
	finish   func(BodyEnd)
}

// Finish closes the body and releases the grant.
func (a *Answer) Finish(end BodyEnd) {
	if a.finish != nil {
		a.finish(end)
	}
}

const (
	// maxAttempts bounds the endpoints that are tried for one call, whatever the retry allowance is.
	maxAttempts = 3
	// maxDropped bounds the grants that are given back because their endpoint began to leave.
	maxDropped = 16
	// retryAfter is the delay after which another endpoint, or the same one, is likely to be usable: an ejected endpoint
	// is tried again after 500 ms at the latest.
	retryAfter = 500 * time.Millisecond
	// drainBytes bounds the body of a refusal by an upstream that is read so that its connection can be used again.
	drainBytes = 4 << 10
)

// Execute runs the call. The refusal lacks the fields that only the front end knows.
func (x *Executor) Execute(ctx context.Context, c *Call) (*Answer, *refusals.Refusal) {
	if c.Operation.Idempotent {
		return x.send(ctx, c)
	}
	return x.keyed(ctx, c, x.cfg.Relay)
}

// ExecuteRelayed runs a keyed call that another entry host passed on. It is never passed on again.
func (x *Executor) ExecuteRelayed(ctx context.Context, c *Call) (*Answer, *refusals.Refusal) {
	return x.keyed(ctx, c, nil)
}

// attempts is what a call has been through.
type attempts struct {
	request  dispatch.Request
	sent     int
	dropped  int
	possibly bool // a request without a known outcome went out
	last     *refusals.Refusal
}

// failed notes a request that was sent and not answered.
func (a *attempts) failed(r *refusals.Refusal) {
	a.sent++
	a.last = r
	a.possibly = a.possibly || r.Ran != refusals.RanNo
}

// end gives the refusal of a call that is not tried again. Once any attempt may have run, the call may have run.
func (a *attempts) end(r *refusals.Refusal, why string) *refusals.Refusal {
	if why != "" {
		r.Detail += "; " + why
	}
	if a.possibly && r.Ran == refusals.RanNo {
		r.Ran = refusals.RanUnknown
		r.Remedy = remedyUnknown
	}
	return r
}

// send obtains grants and sends the call until it is answered or may not be tried again.
func (x *Executor) send(ctx context.Context, c *Call) (*Answer, *refusals.Refusal) {
	if left := c.Deadline.Sub(x.cfg.Now()); left <= 0 {
		return nil, x.expired(c, "the deadline had passed before the request was queued")
	}
	if r := x.allowance.admit(x.cfg.Now(), c); r != nil {
		return nil, r
	}
	a := attempts{request: dispatch.Request{
		ID: c.RequestID, Customer: c.Limits.Customer, Service: c.Limits.Name,
		Class: c.Operation.Class, Idempotent: c.Operation.Idempotent, Deadline: c.Deadline,
	}}
	for {
		grant, err := x.cfg.Granter.Acquire(ctx, a.request)
		if err != nil {
			denial := x.denied(ctx, c, err)
			if a.last == nil {
				return nil, denial
			}
			return nil, a.end(a.last, "no other endpoint was granted: "+denial.Detail)
		}
		if slices.Contains(a.request.Avoid, grant.Endpoint.ID) {
			x.cfg.Granter.Release(grant, dispatch.Outcome{Result: dispatch.NotSent})
			return nil, a.end(a.last, "no other endpoint was granted")
		}
		a.request.Avoid = append(a.request.Avoid, grant.Endpoint.ID)
		a.request.Attempt++
		if x.cfg.Marks.IsLeaving(grant.Endpoint.ID) {
			x.cfg.Granter.Release(grant, dispatch.Outcome{Result: dispatch.NotSent, Leaving: true})
			a.dropped++
			if a.last == nil {
				a.last = leavingRefusal(grant)
			}
			if a.dropped >= maxDropped {
				return nil, a.end(a.last, "")
			}
			continue
		}
		var answer *Answer
		var refusal *refusals.Refusal
		if x.cfg.Hedge && c.Operation.Idempotent && a.sent == 0 {
			answer, refusal = x.hedged(ctx, c, grant, &a)
		} else {
			answer, refusal = x.attempt(ctx, c, grant)
		}
		if refusal == nil {
			return answer, nil
		}
		a.failed(refusal)
		if stop, why := x.stops(ctx, c, &a); stop {
			return nil, a.end(refusal, why)
		}
	}
}

// stops decides whether a failed call ends here, and why if that is worth telling.
func (x *Executor) stops(ctx context.Context, c *Call, a *attempts) (bool, string) {
	now := x.cfg.Now()
	switch {
	case a.possibly && !c.Operation.Idempotent:
		return true, ""
	case ctx.Err() != nil || !now.Before(c.Deadline):
		return true, "no time is left for another endpoint"
	case a.sent >= maxAttempts:
		return true, fmt.Sprintf("%d endpoints were tried", a.sent)
	case !x.allowance.take(now, c.Limits, c.Operation.Class):
		return true, "the retry allowance does not cover another endpoint"
	}
	return false, ""
}

func leavingRefusal(grant dispatch.Grant) *refusals.Refusal {
	return &refusals.Refusal{Reason: refusals.NoUpstream, Ran: refusals.RanNo, RetryAfter: retryAfter,
		Detail: "endpoint " + grant.Endpoint.Address + " began to leave before the request was sent", Remedy: remedyAgain}
}

// Remedies that several refusals share.
const (
	remedyAgain   = "send the request again after the stated delay"
	remedyUnknown = "find out at the service whether the request took effect before sending it as a new one"
)

// attempt sends the call to the granted endpoint. Without an answer the grant is released here.
func (x *Executor) attempt(ctx context.Context, c *Call, grant dispatch.Grant) (*Answer, *refusals.Refusal) {
	start := x.cfg.Now()
	resp, err := x.cfg.Sender.Send(ctx, grant.Endpoint, c)
	if err != nil {
		return nil, x.sendFailed(ctx, c, grant, err, x.cfg.Now().Sub(start))
	}
	if resp.Leaving || resp.Replaced {
		x.cfg.Marks.MarkLeaving(grant.Endpoint.ID)
	}
	outcome := dispatch.Outcome{Leaving: resp.Leaving || resp.Replaced, InFlight: resp.InFlight, Slots: resp.Slots}
	if resp.Refused {
		if resp.Length >= 0 && resp.Length <= drainBytes {
			io.Copy(io.Discard, resp.Body) // a failure closes the connection, nothing else
		}
		resp.Body.Close()
		outcome.Result = dispatch.Refused
		x.cfg.Granter.Release(grant, outcome)
		return nil, &refusals.Refusal{Reason: refusals.UpstreamRefused, Ran: refusals.RanNo, RetryAfter: upstreamDelay(resp.Header),
			Detail: "endpoint " + grant.Endpoint.Address + " refused the request without running it", Remedy: remedyAgain,
			Limit: float64(resp.Slots), Observed: float64(resp.InFlight), Unit: loadUnit(resp.Slots)}
	}
	finish := func(end BodyEnd) {
		resp.Body.Close()
		outcome.ServiceTime = x.cfg.Now().Sub(start)
		outcome.Result = answeredResult(ctx, resp.Status, end)
		x.cfg.Granter.Release(grant, outcome)
	}
	return &Answer{Response: resp, Endpoint: grant.Endpoint, finish: finish}, nil
}

func loadUnit(slots int) string {
	if slots > 0 {
		return "requests in flight at the endpoint"
	}
	return ""
}

// upstreamDelay returns the upstream's Retry-After in seconds, or the default.
func upstreamDelay(h http.Header) time.Duration {
	if s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return retryAfter
}

func answeredResult(ctx context.Context, status int, end BodyEnd) dispatch.Result {
	switch {
	case end == BodyAbandoned, end == BodyCut && ctx.Err() != nil:
		return dispatch.Cancelled
	case end == BodyCut:
		return dispatch.Lost
	case status >= http.StatusInternalServerError:
		return dispatch.Failed
	}
	return dispatch.Answered
}

func (x *Executor) sendFailed(ctx context.Context, c *Call, grant dispatch.Grant, err error, took time.Duration) *refusals.Refusal {
	var se *SendError
	written := !errors.As(err, &se) || se.Written
	outcome := dispatch.Outcome{Result: dispatch.NotSent, ServiceTime: took}
	r := &refusals.Refusal{Reason: refusals.UpstreamConnectFailed, Ran: refusals.RanNo, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("endpoint %s could not be reached: %v", grant.Endpoint.Address, err), Remedy: remedyAgain}
	if written {
		outcome.Result = dispatch.Lost
		r.Reason, r.Ran, r.RetryAfter = refusals.UpstreamLost, refusals.RanUnknown, 0
		r.Detail = fmt.Sprintf("endpoint %s gave no whole answer: %v", grant.Endpoint.Address, err)
		r.Remedy = remedyUnknown
	}
	if ctx.Err() != nil {
		outcome.Result = dispatch.Cancelled
		r = x.expired(c, "the request had not been sent when "+contextEnd(ctx))
		if written {
			r.Reason, r.Ran, r.Remedy, r.RetryAfter = refusals.DeadlinePassedRunning, refusals.RanUnknown, remedyUnknown, 0
			r.Detail = fmt.Sprintf("endpoint %s had not answered when %s", grant.Endpoint.Address, contextEnd(ctx))
		}
	}
	if written && c.Operation.Idempotent {
		r.Remedy, r.RetryAfter = "the operation is idempotent: "+remedyAgain, retryAfter
	}
	x.cfg.Granter.Release(grant, outcome)
	return r
}

func contextEnd(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return "the caller went away"
	}
	return "the deadline passed"
}

// expired returns the refusal of a request that ran out of time before anything was sent.
func (x *Executor) expired(c *Call, detail string) *refusals.Refusal {
	late := x.cfg.Now().Sub(c.Deadline)
	return &refusals.Refusal{Reason: refusals.DeadlineExpired, Ran: refusals.RanNo, Clause: deadlineClause(c), Detail: detail,
		Limit: float64(c.Operation.DeadlineMS), Observed: float64(c.Operation.DeadlineMS) + float64(late)/float64(time.Millisecond), Unit: "ms",
		RetryAfter: retryAfter, Remedy: "send the request again with more time, after the stated delay"}
}

// denied turns a refused or abandoned Acquire into a refusal. Nothing was sent.
func (x *Executor) denied(ctx context.Context, c *Call, err error) *refusals.Refusal {
	var d *dispatch.Denied
	if !errors.As(err, &d) {
		return x.expired(c, "the request was waiting for a slot when "+contextEnd(ctx))
	}
	return &refusals.Refusal{Reason: d.Reason, Ran: refusals.RanNo, Detail: d.Detail, Limit: d.Limit, Observed: d.Observed,
		Unit: d.Unit, RetryAfter: max(d.RetryAfter, minRetryAfter), Clause: c.Limits.Pointer(d.LimitName), Remedy: remedyAgain}
}

// minRetryAfter replaces a missing delay: all denials are about load, so coming back later helps.
const minRetryAfter = 50 * time.Millisecond

func deadlineClause(c *Call) string { return c.Limits.Pointer("deadline " + c.Operation.Name) }
