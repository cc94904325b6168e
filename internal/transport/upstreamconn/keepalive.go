package upstreamconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// statedIdleFraction is the fraction of the idle timeout stated by an upstream for which its connection is used. The rest is for a request's way and for the
// upstream's timers: what arrives after the upstream has closed the connection is lost, and may not be sent again if it is not idempotent.
const statedIdleFraction = 0.8

// idleTimeoutOf returns how long a connection may be idle before its next request: the pool's timeout, or less if the response states an idle timeout of the
// upstream in the Keep-Alive header field, in whole seconds.
func idleTimeoutOf(h http.Header, most time.Duration) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 31); err == nil {
				most = min(most, time.Duration(float64(s)*statedIdleFraction*float64(time.Second)))
			}
		}
	}
	return most
}

// idleTooLong reports whether an idle connection must not carry a further request.
func (c *conn) idleTooLong(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleTimeout }
