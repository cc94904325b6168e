package frontend

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// TestBodyBuffers checks that a buffer is not reused while a connection still writes from it, and that bodies above the total limit are
// refused.
func TestBodyBuffers(t *testing.T) {
	is := is.New(t)
	s := &Server{bodies: bodyBuffers{limit: 10}}
	read := func(text string) (*executor.Call, func(), *refusals.Refusal) {
		c := &executor.Call{Limits: &limits.ServiceLimits{MaxBodyBytes: 100}, Deadline: time.Now().Add(time.Minute)}
		release, refusal := s.readBody(httptest.NewRecorder(), httptest.NewRequest("PUT", "/", strings.NewReader(text)), c)
		return c, release, refusal
	}
	for range 100 { // sync.Pool may drop a buffer, so a single round may not reuse one
		first, release, refusal := read("first")
		is.Equal(refusal, nil)
		_, _, refusal = read("second")
		is.Equal(refusal.Reason, refusals.QueueFull)
		is.True(refusal.RetryAfter > 0)
		connectionDone := first.RetainBody()
		release() // the call has ended, but its connection still uses the body
		_, release, refusal = read("second")
		is.Equal(refusal, nil)
		is.Equal(string(first.Body), "first")
		release()
		connectionDone()
	}
	is.Equal(s.bodies.used.Load(), int64(0))
}
