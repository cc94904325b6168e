package executor

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// ErrStopped is the cause of the context of a call that ends because this host stops.
var ErrStopped = errors.New("this host stops and did not wait any longer")

// stopped reports whether a context ended because this host stops.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopped) }

// stopRefusal returns the refusal of a call that had not been sent when this host stopped.
func stopRefusal() *refusals.Refusal {
	return &refusals.Refusal{Reason: refusals.HostDraining, Ran: refusals.RanNo, RetryAfter: minRetryAfter,
		Detail: "this host stops and has not sent the request", Remedy: "send the request to another host"}
}

// contextEndReason tells for a refusal's detail why the context ended.
func contextEndReason(ctx context.Context) string {
	if stopped(ctx) {
		return "this host stopped"
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return "the caller went away"
	}
	return "the deadline passed"
}

// expiredRefusal returns the refusal of a call whose deadline passed before anything was sent.
func (x *Executor) expiredRefusal(c *Call, detail string) *refusals.Refusal {
	overdue := x.cfg.Now().Sub(c.Deadline)
	return &refusals.Refusal{Reason: refusals.DeadlineExpired, Ran: refusals.RanNo, Clause: deadlineClause(c), Detail: detail,
		Limit: float64(c.Operation.DeadlineMS), Observed: float64(c.Operation.DeadlineMS) + float64(overdue)/float64(time.Millisecond),
		Unit: "ms", RetryAfter: defaultRetryAfter, Remedy: "send the request again with more time, after the stated delay"}
}

// acquireRefusal returns the refusal of a call for which Acquire returned err instead of a grant.
func (x *Executor) acquireRefusal(ctx context.Context, c *Call, err error) *refusals.Refusal {
	var d *dispatch.DeniedError
	if !errors.As(err, &d) {
		if stopped(ctx) {
			return stopRefusal()
		}
		return x.expiredRefusal(c, "the request was waiting for a slot when "+contextEndReason(ctx))
	}
	return &refusals.Refusal{Reason: d.Reason, Ran: refusals.RanNo, Detail: d.Detail, Limit: d.Limit, Observed: d.Observed,
		Unit: d.Unit, RetryAfter: max(d.RetryAfter, minRetryAfter), Clause: c.Limits.ClausePointer(d.LimitName), Remedy: remedySendAgain}
}

// minRetryAfter is the shortest delay that a refusal due to load states, even if the denial gives no delay. Denials of grants are
// all due to load, so a later request can succeed.
const minRetryAfter = 50 * time.Millisecond

func deadlineClause(c *Call) string { return c.Limits.ClausePointer("deadline " + c.Operation.Name) }
