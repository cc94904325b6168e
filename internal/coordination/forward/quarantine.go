package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// CrashGuard recognises requests that end the endpoints which run them.
type CrashGuard interface {
	// Active reports whether any request is suspected or quarantined.
	Active() bool
	// Quarantined returns until when a request is not to be sent. It returns false if it may be sent.
	Quarantined(f quarantine.Fingerprint, now time.Time) (until time.Time, quarantined bool)
	// Try reports whether a quarantined request is to be sent once all the same.
	Try(f quarantine.Fingerprint, now time.Time) bool
	// ConnectionBroke records that the connection of a request to an endpoint ended without a whole answer.
	ConnectionBroke(ctx context.Context, e endpoints.Endpoint, f quarantine.Fingerprint)
	// Succeeded records that an endpoint has answered a request.
	Succeeded(f quarantine.Fingerprint, now time.Time)
}

// fingerprint returns what identifies the request in all its attempts.
func (c *Call) fingerprint() quarantine.Fingerprint {
	c.fingerprintOnce.Do(func() { c.fingerprintMemo = quarantine.NewFingerprint(c.Caller, c.Method, c.Host, c.Path, c.Body) })
	return c.fingerprintMemo
}

// checkQuarantine reports whether the request may be sent. If it may not and was not sent yet, the request is refused.
func (r *activeRequest) checkQuarantine() bool {
	guard := r.forwarder.cfg.CrashGuard
	if guard == nil || !guard.Active() {
		return true
	}
	now := time.Now()
	until, quarantined := guard.Quarantined(r.call.fingerprint(), now)
	if !quarantined {
		return true
	}
	if r.sends == 0 && r.inFlight == 0 && (r.onTrial || guard.Try(r.call.fingerprint(), now)) {
		r.onTrial = true
		return true
	}
	r.result.Detail = "endpoints have ended while they ran this request"
	if r.sends == 0 && r.inFlight == 0 {
		r.result.Outcome, r.result.RetryAfter = RefusedQuarantined, until.Sub(now)
	}
	return false
}

// recordSuccess records that an endpoint has answered the request and has not failed it.
func (r *activeRequest) recordSuccess(got *sendResult) {
	guard := r.forwarder.cfg.CrashGuard
	if guard != nil && guard.Active() && got.resp.Status < http.StatusInternalServerError && got.stream == nil {
		guard.Succeeded(r.call.fingerprint(), time.Now())
	}
}
