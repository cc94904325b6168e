package executor

import (
	"io"
	"net/http"
	"time"
)

// Response is an upstream's response whose body is not read yet.
type Response struct {
	Status     int
	Header     http.Header
	Body       io.ReadCloser // complete only if it is read to io.EOF; Close ends a Read in progress
	Length     int64         // of Body in bytes; -1 if the upstream did not state it
	NotRun     bool          // the response states, by the upstream's protocol, that the request was not run
	Leaving    bool          // the response states that the endpoint is leaving
	Incomplete bool          // the headers show that this is not the endpoint's complete response
	Replaced   bool          // the response is from another incarnation than the granted one
	InFlight   int           // reported requests in flight at the endpoint; valid if Slots > 0
	Slots      int           // reported slots of the endpoint; 0 without a load report
	Waiting    int           // the part of InFlight that waits in the endpoint's queue, if reported
	Slowness   float64       // current service time at the endpoint as a multiple of the usual one; 0 if not reported
	// RejectedFor is how long the endpoint, which rejected this request, wants no requests from this host; 0 if it states no delay.
	RejectedFor time.Duration
	// MalformedDelay is the delay that a rejection states if it cannot be read, for logs.
	MalformedDelay string
	// RateLimit is the number of requests per second that the endpoint takes from all hosts together, as this response names it. It is valid if
	// HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// MalformedRateLimit is the limit that the response names if it cannot be read, for logs.
	MalformedRateLimit string
	// ColdFor is how much longer the endpoint is cold after its start, as this response states it. It is valid if HasColdFor is set.
	ColdFor    time.Duration
	HasColdFor bool
	// HealthCheck says that the response is one to a health check or load probe.
	HealthCheck bool
	// SentAt and ReadAt enclose the time at which the upstream made the response: when the request was passed to the connection, and when the
	// response's header had been read. SentAt is earlier if the response may belong to an earlier health check of the connection.
	SentAt, ReadAt time.Time
	// ConnectedAt is when the response's connection had been opened. Another process may have answered over a later one, even if the endpoint has not
	// registered again.
	ConnectedAt time.Time
}

const (
	// maxDiscardedBytes is the size in bytes of the largest body that is read and discarded so that its connection can be reused.
	maxDiscardedBytes = 4 << 10
	// discardTimeout bounds this read. A short body usually arrives together with the header.
	discardTimeout = 20 * time.Millisecond
)

// Discard closes the body of a response that is not used. It reads a short body to its end first, so that its connection can be reused.
func (r *Response) Discard() {
	defer r.Body.Close()
	if r.Length == 0 || r.Length > maxDiscardedBytes {
		return
	}
	timer := time.AfterFunc(discardTimeout, func() { r.Body.Close() })
	defer timer.Stop()
	// An error means only that the connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes+1))
}
