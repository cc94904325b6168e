package executor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Relayer sends a call to the host that issued the prefix of its idempotency key.
type Relayer interface {
	// Relay sends the call to the host once and returns its response or refusal. An error means that there was no reply; the
	// call may have run.
	Relay(ctx context.Context, host string, c *Call) (*GrantedResponse, *refusals.Refusal, error)
}

// KeyPrefix returns the prefix for new idempotency keys on this host.
func (x *Executor) KeyPrefix() string { return x.cfg.Keys.Prefix(x.cfg.Now()) }

// ConfirmNotRun reports whether a call with an idempotency key that is refused before Execute may be reported as "not run". It must
// not if an earlier attempt may have run, or may still run because it waits at another host. If ConfirmNotRun returns true, neither
// this attempt nor an earlier one is accepted afterwards.
func (x *Executor) ConfirmNotRun(customer, key string, a keys.Attempt) bool {
	k, err := keys.Parse(key)
	if err != nil {
		return true // no host accepts a malformed key
	}
	return x.cfg.Keys.ConfirmNotRun(x.cfg.Now(), customer, k, a)
}

// executeKeyed runs a call that is not idempotent and must run at most once. A nil relayer refuses keys of other hosts.
func (x *Executor) executeKeyed(ctx context.Context, c *Call, relayer Relayer) (*GrantedResponse, *refusals.Refusal) {
	if c.Key == "" {
		return nil, &refusals.Refusal{Reason: refusals.KeyMissing, Ran: refusals.RanNo,
			Detail: fmt.Sprintf("operation %s is not idempotent, so it needs an idempotency key", c.Operation.Name),
			Remedy: "send Idempotency-Key: " + x.KeyPrefix() + ".NONCE with 16 to 64 characters of [A-Za-z0-9_-] that you have not used before"}
	}
	k, err := keys.Parse(c.Key)
	if err != nil {
		return nil, x.malformedKeyRefusal(err.Error())
	}
	if !x.cfg.Keys.Owns(k) {
		return x.executeForeignKey(ctx, c, k, relayer)
	}
	request := keys.Request{Key: k, Limits: c.Limits, Attempt: c.Attempt,
		Fingerprint: keys.FingerprintOf(c.Limits.Name, c.Operation.Name, c.Method, c.Path, c.Body)}
	outcome, recorded := x.cfg.Keys.Begin(x.cfg.Now(), request)
	switch outcome {
	case keys.Accepted:
		return x.sendAndRecord(ctx, c, request)
	case keys.Recorded:
		return ResponseFromRecord(recorded), nil
	}
	return nil, x.keyRefusal(outcome, request)
}

// sendAndRecord sends a call that the key table has accepted and records the outcome. It continues if the caller disconnects, so
// that a repeat gets the recorded response, but not if this host stops.
func (x *Executor) sendAndRecord(caller context.Context, c *Call, request keys.Request) (*GrantedResponse, *refusals.Refusal) {
	unlessStopped, stop := context.WithCancelCause(context.WithoutCancel(caller))
	context.AfterFunc(caller, func() {
		if stopped(caller) {
			stop(ErrStopped)
		}
	})
	ctx, cancel := context.WithDeadline(unlessStopped, c.Deadline)
	response, refusal := x.send(ctx, c)
	if refusal != nil {
		cancel()
		if refusal.Ran == refusals.RanNo {
			x.cfg.Keys.FinishNotRun(x.cfg.Now(), request)
		} else {
			x.cfg.Keys.FinishMayHaveRun(x.cfg.Now(), request, false, nil)
		}
		return nil, refusal
	}
	bodyStart, err := io.ReadAll(io.LimitReader(response.Body, keys.MaxRecordedBodyBytes+1))
	switch {
	case err != nil:
		response.Finish(BodyTruncated)
		cancel()
		x.cfg.Keys.FinishMayHaveRun(x.cfg.Now(), request, false, nil)
		return nil, &refusals.Refusal{Reason: refusals.UpstreamLost, Ran: refusals.RanUnknown, Remedy: remedyCheckOutcome,
			Detail: fmt.Sprintf("the answer of endpoint %s was cut: %v", response.Endpoint.Address, err)}
	case len(bodyStart) <= keys.MaxRecordedBodyBytes:
		recorded := &keys.RecordedResponse{Status: response.Status, Header: response.Header.Clone(), Body: bodyStart, Upstream: response.Endpoint.Address}
		response.Finish(BodyComplete)
		cancel()
		x.cfg.Keys.FinishMayHaveRun(x.cfg.Now(), request, true, recorded)
		return ResponseFromRecord(recorded), nil
	}
	// The response is too large to be recorded, so the rest of its body is streamed.
	rest, release := response.Body, response.finish
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(bodyStart), rest), rest}
	response.finish = func(end BodyEnd) {
		release(end)
		cancel()
		x.cfg.Keys.FinishMayHaveRun(x.cfg.Now(), request, end == BodyComplete, nil)
	}
	return response, nil
}

// ResponseFromRecord returns a GrantedResponse with a recorded response. It holds no grant.
func ResponseFromRecord(recorded *keys.RecordedResponse) *GrantedResponse {
	return &GrantedResponse{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: recorded.Upstream}},
		Response: &Response{Status: recorded.Status, Header: recorded.Header, Length: int64(len(recorded.Body)),
			Body: io.NopCloser(bytes.NewReader(recorded.Body))}}
}

// executeForeignKey runs a call whose key was issued by another host or by an earlier incarnation of this one. It relays the
// call to the other host. It refuses keys of an earlier incarnation, because the records of that incarnation are lost.
func (x *Executor) executeForeignKey(ctx context.Context, c *Call, k keys.Key, relayer Relayer) (*GrantedResponse, *refusals.Refusal) {
	r := &refusals.Refusal{Reason: refusals.KeyForeign, Ran: refusals.RanUnknown, Remedy: remedyCheckOutcome,
		Detail: fmt.Sprintf("the key is bound to incarnation %s of host %s, which is not this one", k.Incarnation, k.Host)}
	if relayer == nil || x.cfg.Keys.SameHost(k) { // an earlier incarnation of this host cannot reply any more
		return nil, r
	}
	response, refusal, err := relayer.Relay(ctx, k.Host, c)
	switch {
	case err == nil:
		return response, refusal
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		expired := x.expiredRefusal(c, fmt.Sprintf("host %s, to which the key is bound, had not answered when the deadline passed", k.Host))
		expired.Reason, expired.Ran, expired.Remedy = refusals.DeadlinePassedRunning, refusals.RanUnknown, r.Remedy
		return nil, expired
	}
	r.Detail = fmt.Sprintf("the key is bound to incarnation %s of host %s, which gave no answer: %v", k.Incarnation, k.Host, err)
	r.RetryAfter, r.Remedy = time.Second, "send the same request with the same key after the stated delay, or "+remedyCheckOutcome
	return nil, r
}

// malformedKeyRefusal returns the refusal of a call whose key has no valid form.
func (x *Executor) malformedKeyRefusal(detail string) *refusals.Refusal {
	return &refusals.Refusal{Reason: refusals.KeyMalformed, Ran: refusals.RanNo, Detail: detail,
		Remedy: "send a key that starts with " + x.KeyPrefix() + ". and ends with a nonce of 16 to 64 characters"}
}

// keyRefusal returns the refusal for an outcome of Begin other than Accepted and Recorded.
func (x *Executor) keyRefusal(o keys.Outcome, request keys.Request) *refusals.Refusal {
	l := request.Limits
	r := &refusals.Refusal{Ran: refusals.RanUnknown, Remedy: remedyCheckOutcome}
	switch o {
	case keys.InProgress:
		r.Reason, r.RetryAfter = refusals.KeyInProgress, defaultRetryAfter
		r.Detail, r.Remedy = "the first request with this key still runs", "send the same request with the same key after the stated delay"
	case keys.Unknown:
		r.Reason, r.Detail = refusals.KeyOutcomeUnknown, "the first request with this key may have run; no whole answer came"
	case keys.ResponseNotRecorded:
		r.Reason, r.Ran = refusals.KeyAnswerNotKept, refusals.RanYes
		r.Limit, r.Unit = keys.MaxRecordedBodyBytes, "bytes of body"
		r.Detail = "the first request with this key ran and was answered, but its answer was too large to be kept"
		r.Remedy = "read the result at the service"
	case keys.Reused:
		r.Reason, r.Ran = refusals.KeyReused, refusals.RanNo
		r.Detail = "the key was used for another request: service, operation, path and body must be the same in a repeat"
		r.Remedy = "use a new key for a new request"
	case keys.Expired:
		r.Reason, r.Clause = refusals.KeyExpired, l.ClausePointer("key_window")
		r.Limit, r.Unit = l.KeyWindow.Seconds(), "s"
		r.Observed = x.cfg.Keys.Age(x.cfg.Now(), request.Key).Seconds()
		r.Detail = "the key is too old to be new, and no request with it is remembered"
	case keys.NotIssued:
		m := x.malformedKeyRefusal("the epoch of the key has not begun, so this host never gave its prefix out")
		m.Ran = ranIfUnrecorded(request)
		return m
	case keys.RefusedNotRun:
		r.Reason, r.Ran = refusals.KeyRefused, refusals.RanNo
		r.Detail = "a later copy of the request, or one without a number, was refused as not run, so this copy must not run"
		r.Remedy = "use a new key, or number the attempts with Arbutusspan-Attempt and send a higher number"
	case keys.Full:
		r.Reason, r.Ran, r.Clause = refusals.KeyTableFull, ranIfUnrecorded(request), l.ClausePointer("keys_per_host")
		r.Limit, r.Observed, r.Unit = float64(l.KeysPerHost), float64(x.cfg.Keys.KeyCount(l)), "keys"
		r.Detail = "this host remembers as many keys as the contract or its memory allows"
		r.RetryAfter = max(minRetryAfter, x.cfg.Keys.NextExpiry(x.cfg.Now(), request))
		r.Remedy = "use another entry host with a new key, or come back after the stated delay"
	}
	return r
}

// ranIfUnrecorded returns whether a refused request whose key is not recorded was run. If it is not the caller's first attempt,
// that is unknown: an earlier attempt may wait at another host and be accepted later.
func ranIfUnrecorded(request keys.Request) refusals.Ran {
	if request.Attempt.IsFirst() {
		return refusals.RanNo
	}
	return refusals.RanUnknown
}
