package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

const (
	defaultMaxTotalBodyBytes = 64 << 20
	copyBufferBytes          = 32 << 10
	// pooledBufferBytes is the largest buffer that is kept for reuse, so that the memory of a large body is freed.
	pooledBufferBytes = 128 << 10
	// bodiesRetryAfter is about the time in which requests with small bodies that together fill the memory are answered.
	bodiesRetryAfter = 100 * time.Millisecond
	// serverReadTimeout is the read timeout of the host's HTTP server. Unless it is lifted, it cancels calls that run longer.
	serverReadTimeout = 15 * time.Second
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// bodyBuffers provides buffers for request bodies and limits the memory for all of them.
type bodyBuffers struct {
	limit int64
	used  atomic.Int64
	pool  sync.Pool // *bytes.Buffer
}

// reserve reserves n bytes of memory for a body that is about to be read. It returns false if the limit would be exceeded.
func (b *bodyBuffers) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// readBody reads the complete request body into call.Body, so that a slow sender occupies no slot of an endpoint. The request is refused
// if the body has not arrived by the deadline. release must be called once the call no longer uses the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, call *executor.Call) (release func(), refusal *refusals.Refusal) {
	l, deadline := call.Limits, call.Deadline
	rc := http.NewResponseController(w)
	if r.ContentLength == 0 {
		if time.Until(deadline) > serverReadTimeout/2 {
			rc.SetReadDeadline(time.Time{}) // the server's read timeout would cancel the call
		}
		return noRelease, nil
	}
	tooLarge := &refusals.Refusal{Reason: refusals.BodyTooLarge, Ran: refusals.RanNo, Clause: l.ClausePointer("max_body"), Limit: float64(l.MaxBodyBytes),
		Observed: float64(r.ContentLength), Unit: "bytes", Detail: "the request body is larger than the contract allows", Remedy: "send a smaller body"}
	if r.ContentLength > l.MaxBodyBytes {
		return noRelease, tooLarge
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = l.MaxBodyBytes
	}
	if !s.bodies.reserve(reserved) {
		return noRelease, &refusals.Refusal{Reason: refusals.QueueFull, Ran: refusals.RanNo, Limit: float64(s.bodies.limit),
			Observed: float64(s.bodies.used.Load() + reserved), Unit: "bytes of request bodies in memory", RetryAfter: bodiesRetryAfter,
			Detail: "the memory of this host for request bodies is in use", Remedy: "send the request again after the stated delay"}
	}
	buf, _ := s.bodies.pool.Get().(*bytes.Buffer)
	if buf == nil {
		buf = &bytes.Buffer{}
	}
	buf.Reset()
	// A connection can still write from the buffer after its call has ended, so the buffer goes back to the pool when its last user
	// is done. If a user is never done, the buffer is not reused, but the reserved memory is released with the call all the same.
	var refs atomic.Int32
	refs.Store(1)
	unref := func() {
		if refs.Add(-1) == 0 && buf.Cap() <= pooledBufferBytes {
			s.bodies.pool.Put(buf)
		}
	}
	call.RetainBody = func() func() { refs.Add(1); return unref }
	release = func() { unref(); s.bodies.used.Add(-reserved) }
	rc.SetReadDeadline(deadline)
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, l.MaxBodyBytes))
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		tooLarge.Observed = float64(maxBytesErr.Limit + 1)
		return release, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return release, &refusals.Refusal{Reason: refusals.DeadlineExpired, Ran: refusals.RanNo, Observed: float64(buf.Len()), Limit: float64(reserved), Unit: "bytes received",
			Detail: "the body had not arrived when the deadline passed", Remedy: "send the body faster or ask for more time"}
	case err != nil:
		return release, malformed(fmt.Sprintf("the request body could not be read: %v", err), "send a body that matches its length or chunk headers")
	}
	rc.SetReadDeadline(time.Time{}) // the server sets it again for the next request
	call.Body = buf.Bytes()
	return release, nil
}
