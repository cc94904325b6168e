package forward

import (
	"io"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Outcome says how a request ended.
type Outcome string

// Outcomes. Those that begin with "refused" guarantee that no endpoint has run the request or will run it; the others do not.
const (
	Answered          Outcome = "answered"            // an endpoint answered, possibly with an error status
	RefusedNoEndpoint Outcome = "refused_no_endpoint" // the service has no usable endpoint
	RefusedTooLate    Outcome = "refused_too_late"    // no endpoint is expected to answer in time
	// RefusedAllRejecting means that every endpoint of the service has rejected a request with a delay that has not passed.
	RefusedAllRejecting Outcome = "refused_all_rejecting"
	// RefusedAllLimited means that every endpoint of the service limits its requests, and that no permit for one is to be had in time.
	RefusedAllLimited Outcome = "refused_all_limited"
	// RefusedQuarantined means that endpoints have ended while they ran this request, in this or an earlier attempt.
	RefusedQuarantined Outcome = "refused_quarantined"
	// RefusedRevoked means that the caller's key was removed before the request was sent.
	RefusedRevoked  Outcome = "refused_revoked"
	RefusedUpstream Outcome = "refused_upstream" // every endpoint that the request reached refused it without running it
	RefusedUnsent   Outcome = "refused_unsent"   // the deadline passed, or the caller left, before the request was sent
	RefusedConnect  Outcome = "refused_connect"  // no connection to an endpoint could be opened
	LostAnswer      Outcome = "lost_answer"      // the request was sent, and the connection ended before the answer was whole
	TimedOut        Outcome = "timed_out"        // the request was sent, and the deadline passed or the caller left before an answer
)

// GuaranteesNotRun reports whether the outcome guarantees that no endpoint has run the request or will run it.
func (o Outcome) GuaranteesNotRun() bool {
	switch o {
	case RefusedNoEndpoint, RefusedTooLate, RefusedAllRejecting, RefusedAllLimited, RefusedQuarantined, RefusedRevoked, RefusedUpstream, RefusedUnsent, RefusedConnect:
		return true
	}
	return false
}

// Sends returns the number of endpoints that the request may have reached.
func (r *Result) Sends() (n int) {
	for i := range r.Attempts {
		if !strings.HasPrefix(r.Attempts[i].Result, ResultNotSent) {
			n++
		}
	}
	return n
}

// ResultNotSent is the beginning of Attempt.Result if no byte of the request was written.
const ResultNotSent = "not sent: "

// ResultLost is the beginning of Attempt.Result if the connection ended after the request was written, without a whole answer.
const ResultLost = "lost: "

// Attempt describes one send, for the log.
type Attempt struct {
	Endpoint     string        `json:"endpoint"`
	Through      string        `json:"through,omitempty"` // host through which the request was sent; empty if this host sent it
	StartedAfter time.Duration `json:"after"`             // from the start of the request to the send
	Expected     time.Duration `json:"expected"`          // expected duration when the endpoint was chosen
	Load         placement.Load
	LoadAge      time.Duration
	Hedge        bool // the send is a hedge
	Result       string
	Duration     time.Duration // from the send to its end
}

// Result describes how a request ended.
type Result struct {
	Outcome            Outcome
	Response           *executor.Response // for Answered
	Body               []byte             // the whole body, or the part that was read before Stream
	Stream             io.ReadCloser      // what follows Body in answers that are not small; nil if Body is whole
	RetryAfter         time.Duration      // for refusals: the time until an endpoint is expected to be usable
	Attempts           []Attempt
	ProbesSent         int
	ProbesUnanswered   int          // probes that failed or were not answered in time
	ProbeRoundsSkipped int          // rounds of probes that the probe budget did not allow
	QueueWaits         int          // times that the request waited for an endpoint
	Candidates         int          // usable endpoints of the service
	ID                 endpoints.ID // endpoint that answered
	// Overload is the estimate that decided last whether the request waited or was refused; nil if it did not wait for a free slot.
	Overload *overload.Estimate
	// WaitedBefore is how long the caller had waited before this attempt, by the times that it states.
	WaitedBefore time.Duration
	Detail       string // cause of a failure, for the caller; empty if there is none to add
}
