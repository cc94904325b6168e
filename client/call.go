package client

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// responseMargin is subtracted from the remaining time that is sent to a host, so that its refusal at the deadline still arrives.
// It covers twice the return path from a host 8 ms away, and scheduling delays.
const responseMargin = 25 * time.Millisecond

// call is one request in progress.
type call struct {
	c        *Client
	r        *Request
	id       string
	attempts int
	ran      Ran // whether any attempt was run; while it is RanUnknown, the key is kept

	key         string            // idempotency key of the attempts so far, or empty
	newKey      bool              // the key was not used by an earlier attempt
	keyHost     callerapi.Address // host that the key names
	keyHostDown bool              // the host that the key names cannot be reached, so other hosts are tried with the same key
	lastAddress callerapi.Address
	problem     *Problem
	cause       error
}

func (k *call) do(ctx context.Context) (*Response, error) {
	for k.attempts < k.c.cfg.MaxAttempts {
		to, err := k.nextAddress(ctx)
		if err != nil {
			k.cause = errors.Join(k.cause, err)
			break
		}
		resp, wait, again := k.attempt(ctx, to)
		if resp != nil {
			return resp, nil
		}
		if !again || !k.waitFits(ctx, wait) || k.c.sleep(ctx, wait) != nil {
			break
		}
	}
	return nil, &Error{RequestID: k.id, Key: k.key, Host: k.lastAddress.Address, Attempts: k.attempts, Ran: k.ran, Problem: k.problem, Cause: k.cause}
}

// waitFits reports whether there is time for another attempt after the wait and before the deadline.
func (k *call) waitFits(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// nextAddress returns the address of the next attempt.
func (k *call) nextAddress(ctx context.Context) (callerapi.Address, error) {
	if k.ran != RanNo && k.key != "" && !k.keyHostDown {
		return k.keyHost, nil
	}
	list, err := k.c.addresses(ctx, k.r.Service)
	if err != nil {
		return callerapi.Address{}, err
	}
	for _, a := range k.c.directory.order(list, time.Now()) {
		if !k.keyHostDown || a.Address != k.keyHost.Address {
			return a, nil
		}
	}
	return callerapi.Address{}, errors.New("there is no other host to try with the same key")
}

// attempt makes one attempt. It returns the upstream's response, or whether to make another attempt and after which wait.
func (k *call) attempt(ctx context.Context, to callerapi.Address) (*Response, time.Duration, bool) {
	if k.newKey = !k.r.Idempotent && k.ran == RanNo; k.newKey {
		k.key, k.keyHost = "", to
		if to.KeyPrefix != "" {
			k.key = to.KeyPrefix + "." + rand.Text()
		}
	}
	ctx, cancel := k.attemptContext(ctx)
	defer cancel()
	req, err := k.request(ctx, to)
	if err != nil {
		k.cause = err
		return nil, 0, false
	}
	k.lastAddress, k.problem, k.cause = to, nil, nil
	k.attempts++
	a, failed := k.c.pool.send(ctx, to.Address, req, k.r.Body)
	if failed != nil {
		k.cause = failed
		k.c.directory.markFailed(to.Address, time.Now())
		return nil, minRetryWait, k.afterFailure(failed.sent)
	}
	if k.problem = decodeProblem(a); k.problem != nil {
		wait, again := k.afterRefusal(a.header)
		return nil, wait, again
	}
	return &Response{Status: a.status, Header: a.header, Body: a.body, RequestID: k.id, Host: a.header.Get(callerapi.HeaderHost),
		Upstream: a.header.Get(callerapi.HeaderUpstream), Attempts: k.attempts}, 0, false
}

func (k *call) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := k.c.cfg.AttemptTimeout
	if deadline, ok := ctx.Deadline(); ok && limit == 0 && k.r.Idempotent && k.attempts == 0 {
		limit = time.Until(deadline) / 2
	}
	if limit == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}

func (k *call) request(ctx context.Context, to callerapi.Address) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, k.r.Method, "http://"+to.Address+callerapi.ServicePathPrefix+k.r.Service+k.r.Path, nil)
	if err != nil {
		return nil, err
	}
	if k.r.Header != nil {
		req.Header = k.r.Header.Clone()
	}
	k.c.authorize(req)
	req.Header.Set(callerapi.HeaderRequestID, k.id)
	req.Header.Set(callerapi.HeaderAttempt, strconv.Itoa(k.attempts))
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		left -= min(left/10, responseMargin)
		req.Header.Set(callerapi.HeaderDeadlineMS, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	}
	if k.key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, k.key)
		if k.newKey {
			req.Header.Set(callerapi.HeaderNewKey, "true") // so that the host does not have to remember a refusal
		}
	}
	return req, nil
}

// afterFailure decides whether to retry after an attempt that got no complete response.
func (k *call) afterFailure(sent bool) (again bool) {
	if sent {
		k.ran = RanUnknown
	}
	if k.r.Idempotent || k.ran == RanNo {
		return true
	}
	if !sent {
		// The host that the key names cannot be reached any more.
		k.keyHostDown = true
	}
	return k.key != ""
}

// afterRefusal decides whether to retry after a refusal, and after which wait.
func (k *call) afterRefusal(h http.Header) (wait time.Duration, again bool) {
	p := k.problem
	if p.Ran != RanNo || k.key != "" {
		k.ran = p.Ran // RanNo for a keyed request also covers its earlier attempts
	}
	wait, stated := retryAfter(p, h)
	switch p.Reason {
	case refusals.HostDraining, refusals.HostIsolated, refusals.HostCatchingUp:
		k.c.directory.markFailed(k.lastAddress.Address, time.Now())
		if k.ran == RanNo || k.r.Idempotent {
			return 0, true // another host can serve at once
		}
		return wait, k.key != ""
	case refusals.KeyInProgress:
		return wait, true
	case refusals.KeyForeign, refusals.KeyExpired:
		// No host can tell the outcome of this key. The addresses are looked up again, because their key prefixes are outdated.
		k.c.directory.expire(time.Now())
		return 0, false
	case refusals.UpstreamLost, refusals.DeadlinePassedRunning:
		return wait, k.r.Idempotent
	}
	return wait, stated && (k.r.Idempotent || k.ran == RanNo || k.key != "")
}

// retryAfter returns how long to wait before the next attempt, and whether the host stated a delay: a refusal without one is
// final. The document's milliseconds take precedence over the header's seconds.
func retryAfter(p *Problem, h http.Header) (time.Duration, bool) {
	if p.RetryAfterMS > 0 {
		return time.Duration(p.RetryAfterMS) * time.Millisecond, true
	}
	if seconds, err := strconv.ParseInt(h.Get("Retry-After"), 10, 32); err == nil {
		return max(minRetryWait, time.Duration(seconds)*time.Second), true
	}
	return minRetryWait, false
}

func (c *Client) authorize(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.cfg.Customer+"."+c.cfg.Secret)
}
