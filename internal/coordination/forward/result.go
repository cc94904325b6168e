package forward

import (
	"io"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
)

// Outcome tells how a request ended.
type Outcome string

// Outcomes. Only those that begin with "refused" promise that the request has not run and will not.
const (
	Answered          Outcome = "answered"            // an endpoint's answer
	RefusedNoEndpoint Outcome = "refused_no_endpoint" // no endpoint of the service can be used
	RefusedTooLate    Outcome = "refused_too_late"    // no endpoint is expected to answer in time
	RefusedUpstream   Outcome = "refused_upstream"    // endpoints refused it without running it
	RefusedUnsent     Outcome = "refused_unsent"      // the time passed, or the caller left, before it was sent
	RefusedConnect    Outcome = "refused_connect"     // no connection could be opened
	LostAnswer        Outcome = "lost_answer"         // sent, and the connection ended without a whole answer
	TimedOut          Outcome = "timed_out"           // sent, and no answer came in time
)

// Promises reports whether the outcome says that the request has not run and will not.
func (o Outcome) Promises() bool {
	switch o {
	case RefusedNoEndpoint, RefusedTooLate, RefusedUpstream, RefusedUnsent, RefusedConnect:
		return true
	}
	return false
}

// Attempt records one send, for logs.
type Attempt struct {
	Endpoint string        `json:"endpoint"`
	After    time.Duration `json:"after"` // from the start of the request
	Expected time.Duration `json:"expected"`
	Load     placement.Load
	LoadAge  time.Duration
	Hedge    bool
	Result   string
	Took     time.Duration
}

// Result is how a request ended.
type Result struct {
	Outcome    Outcome
	Response   *executor.Response // for Answered
	Body       []byte             // the whole body, or the part that was read before Rest
	Rest       io.ReadCloser      // what follows Body in large answers; nil if Body is whole
	RetryAfter time.Duration      // for refusals: when an endpoint is expected to be usable
	Attempts   []Attempt
	Asked      int // endpoints asked for their load
	Unanswered int // of them, without an answer
	Unasked    int // rounds of questions that the budget did not allow
	Waits      int // times that the request waited for room
	Candidates int // usable endpoints of the service
	Detail     string
}
