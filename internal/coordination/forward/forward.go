// Package forward handles one request of a route: it probes the load of endpoints and sends the request to the one that is expected to
// answer first. It repeats the request, as a retry or a hedge, if that is safe, within the repeat budget and still in time.
package forward

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// LoadProber probes the load of endpoints.
type LoadProber interface {
	// ProbeLoad requests path from the endpoint and returns the load that the answer reports.
	ProbeLoad(ctx context.Context, e endpoints.Endpoint, path string) (placement.Load, error)
}

// Config holds the parts that a Forwarder uses.
type Config struct {
	Sender        executor.Sender
	Prober        LoadProber
	EndpointStats *placement.EndpointStats
	RepeatLimiter *placement.RepeatLimiter
	ProbeBudget   *placement.ProbeBudget
	// RateLimiter gets permits for endpoints with a rate limit. It is the one of EndpointStats; nil if that has none.
	RateLimiter RateLimiter
	Endpoints   func() *registry.Snapshot
	// Withdrawn reports whether an endpoint of an earlier snapshot must not get new requests any more. Nil means that none is.
	Withdrawn func(id endpoints.ID) bool
	// Stopped reports whether this host sends no further requests, because its planned stop ends. Nil means that it does not stop.
	Stopped func() bool
	// MayBeCut reports whether this host stops too soon for a request that is sent now and has the given deadline. Such a request is not sent, unless an
	// endpoint may have run it already. Nil means that none is cut.
	MayBeCut func(due time.Time) bool
	Random   func(n int) int // nil means placement.Random
	// OrderByValue reports whether requests that find no free slot are ordered and refused by what their callers lose, see package overload. If it
	// returns false, they wait by priority and lateness until they can only be late. Nil means that they are.
	OrderByValue func() bool
	// CrashGuard knows the requests that end the endpoints which run them. Nil means that none is known.
	CrashGuard CrashGuard
	// Detour knows whether this host has lost its way to a service, and sends requests through other hosts. Nil means that there are no other hosts.
	Detour Detour
	// Lateness records when this host is late. Nil means that nothing is recorded.
	Lateness *lateness.Meter
	// ReserveMemory reserves memory for the bodies of answers, apart from small ones, and ReleaseMemory gives it back. Answers for which there is none are
	// passed on while they are read. Nil means no limit.
	ReserveMemory func(bytes int64) bool
	ReleaseMemory func(bytes int64)
	// OnCut is called after an endpoint's answer has ended early or without progress, except if the request's log entry tells so. Nil means no call.
	OnCut func(Cut)
	// OnSilence is called when a request counts as dropped by its endpoint, or was unanswered at its deadline. Nil means no call.
	OnSilence func(Silence)
	// OnPanic is called after a panic that ended a send or a probe. Nil means that a panic ends the process.
	OnPanic func(requestID string, value any, stack []byte)
}

// Forwarder forwards requests to endpoints. It is safe for concurrent use.
type Forwarder struct {
	cfg          Config
	serviceTimes serviceTimeEstimator
	queues       sync.Map // service name -> *overload.Queue
	waits        overload.Waits

	bufferedBytes atomic.Int64 // memory that is reserved for the bodies of answers
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Random == nil {
		cfg.Random = placement.Random
	}
	if cfg.Withdrawn == nil {
		cfg.Withdrawn = func(endpoints.ID) bool { return false }
	}
	if cfg.Stopped == nil {
		cfg.Stopped = func() bool { return false }
	}
	if cfg.MayBeCut == nil {
		cfg.MayBeCut = func(time.Time) bool { return false }
	}
	if cfg.OrderByValue == nil {
		cfg.OrderByValue = func() bool { return true }
	}
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(_ string, value any, _ []byte) { panic(value) }
	}
	return &Forwarder{cfg: cfg}
}

// Call is a caller's request with its route and the service that was picked for it.
type Call struct {
	*executor.Call
	Route   *routing.Route
	Service *routing.Service
	// Due is the deadline of the caller or of the route, whichever is earlier.
	Due time.Time
	// CallerDue is until when the caller waits, as it states. It is later than Due if the route's timeout is shorter, and zero if it is not known.
	CallerDue time.Time
	// Arrived is when the request reached this host, also if it was read later.
	Arrived time.Time
	// AnswerDelay is how long this host takes at present to see what has arrived, and so to end a wait: the request does not wait for an endpoint in the last
	// such time before Due, so that its refusal reaches the caller.
	AnswerDelay time.Duration
	// Caller is the address of the caller, without a port.
	Caller netip.Addr
	// Version is the version of the configuration that has the route.
	Version uint64
	// Customer is the name of the customer whose key the caller has sent; empty if it is not known.
	Customer string
	// CustomerPriority is the priority of the customer's requests; 0 is the most urgent. It is that of the route if the customer is not known or
	// states none.
	CustomerPriority int
	// Handover is set if the request came through another host.
	Handover *Handover

	waitedBefore *time.Duration // see Forwarder.waitedBefore; nil before the first call

	fingerprintOnce sync.Once
	fingerprintMemo quarantine.Fingerprint
}

// callerDue returns CallerDue, or Due if it is not known.
func (c *Call) callerDue() time.Time {
	if c.CallerDue.After(c.Due) {
		return c.CallerDue
	}
	return c.Due
}

const (
	// probeTimeout bounds a probe, including the set-up of a connection to a busy endpoint.
	probeTimeout = 150 * time.Millisecond
	// firstProbeWait is how long a request waits for the first answer to a round of probes. An answer usually takes 1 to 2 ms from this
	// host's zone and 5 ms from others, and twice as long on a new connection.
	firstProbeWait = 12 * time.Millisecond
	// otherProbesWait is how much longer it waits after the first answer, and after each answer of an endpoint that is good enough.
	otherProbesWait = 3 * time.Millisecond
	// maxConnectRetries bounds how often the request is sent to another endpoint because no connection to the chosen one could be opened.
	maxConnectRetries = 4
	// callerRoundTrip is the network round trip between host and caller. It is subtracted from the target latency, because the caller
	// measures the latency with it.
	callerRoundTrip = 20 * time.Millisecond
	// defaultRetryAfter is the delay stated in a refusal if it is unknown when an endpoint will be usable.
	defaultRetryAfter = 250 * time.Millisecond
	// retryAfterShed is the delay stated if an endpoint with free slots refused the request: endpoints have room, so waiting is of no use.
	retryAfterShed = 20 * time.Millisecond
	// minRejectionRetryAfter is the least delay stated if all endpoints want no requests for a while. The stated delay is longer by a random
	// part of up to retrySpreadFraction of it, or of minRetrySpread if that is more.
	minRejectionRetryAfter = 50 * time.Millisecond
	minRetrySpread         = 100 * time.Millisecond
	retrySpreadFraction    = 0.25
)

// activeRequest is the state of one request while it is forwarded.
type activeRequest struct {
	forwarder   *Forwarder
	call        *Call
	start       time.Time
	serviceTime time.Duration  // usual duration of the route's requests
	lateAt      time.Time      // when the answer is late: at the target latency or the deadline, whichever is earlier; at the deadline for a repeat
	plain       bool           // it waits by priority and lateness alone, see Config.OrderByValue
	waitedFor   time.Duration  // how long the caller had waited before this attempt, by the times that it states
	targetAt    time.Time      // when the target latency is exceeded, counted from the caller's first attempt; at most the deadline
	tried       []endpoints.ID // endpoints to which the request was sent, also by another host
	through     []string       // hosts through which it was sent
	counted     bool           // it counts for the repeat budget
	result      *Result
	sendResults chan sendResult
	inFlight    int           // sends in flight
	silences    chan struct{} // one element for each send that has come to count as dropped
	silent      int           // the part of inFlight that counts as dropped
	// allRejectingUntil is the time before which no endpoint of the service wants requests; zero if one does, as found by the last search.
	allRejectingUntil time.Time
	limits            limitedEndpoints  // found by the last search
	onTrial           bool              // the request is quarantined and is sent once
	woken             bool              // the last wait ended by a wake-up
	overload          overload.Estimate // the last one while the request waited
	direct            bool              // the request looks for an endpoint although this host has lost its way
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun  bool
	sends       int                  // sends that count as attempts: all but those that failed before a byte was written
	cancels     []context.CancelFunc // by index in Result.Attempts; nil for the send whose answer is returned
	lastFailure *sendResult          // the last failure with a response, or the last one of all if none has a response
}

// sendResult is the result of one send.
type sendResult struct {
	attempt int // index in Result.Attempts
	resp    *executor.Response
	body    []byte            // the whole body, or the part that was read before stream
	stream  io.ReadCloser     // what follows body in large answers; nil if body is whole
	id      endpoints.ID      // endpoint to which this host sent the request
	through string            // host through which the request was sent; empty if this host sent it to an endpoint
	hop     *detour.HopResult // what that host says of it; nil after an error
	allowed int               // endpoints to which that host was allowed to send it
	// reserved is the memory in bytes that is reserved for body.
	reserved int64
	// progress is the size of body when it last made progress, and progressAt the time of that.
	progress   int
	progressAt time.Time
	err        error
	written    bool // a byte of the request may have reached the endpoint
	silent     bool // the request counted as dropped before its end
}

// Run forwards the request and returns how it ended. The caller of Run must close Result.Stream if it is not nil. ctx ends when the caller
// of the request has left.
func (f *Forwarder) Run(ctx context.Context, c *Call) *Result {
	now := time.Now()
	r := &activeRequest{forwarder: f, call: c, start: now, serviceTime: f.serviceTimes.estimate(c.Route), result: &Result{}, plain: !f.cfg.OrderByValue(),
		sendResults: make(chan sendResult, 8), silences: make(chan struct{}, 8)}
	if !r.plain {
		r.waitedFor = f.waitedBefore(c, now)
	}
	r.result.WaitedBefore = r.waitedFor
	r.targetAt = c.targetAt(r.waitedFor)
	r.lateAt = r.targetAt
	if c.Handover != nil {
		r.tried, r.counted = slices.Clone(c.Handover.Tried), c.Handover.Counted
		if c.Handover.Late {
			r.lateAt = c.Due
		}
	}
	if !r.checkQuarantine() {
		return r.result
	}
	request := r.overloadRequest()
	f.queue(c.Service.Name).Arrived(&request, now)
	ctx, cancel := context.WithDeadline(ctx, c.Due)
	r.serve(ctx)
	if r.result.Stream == nil {
		cancel()
	} else {
		r.result.Stream = &cancelOnClose{r.result.Stream, cancel}
	}
	return r.result
}

// errPanicked is the result of a send or a probe that panicked. The request may have run.
var errPanicked = errors.New("internal error: this host's log has the details")

// recoverPanic reports a panic, so that it ends one send or probe and not the process.
func (f *Forwarder) recoverPanic(requestID string) {
	if value := recover(); value != nil {
		f.cfg.OnPanic(requestID, value, debug.Stack())
	}
}

// serve sends the request and its repeats until an endpoint has answered, no further send is possible or ctx has ended.
func (r *activeRequest) serve(ctx context.Context) {
	defer r.cancelSends()
	defer r.discardLastFailure()
	if !r.findAndSend(ctx, false) {
		return
	}
	hedgeTimer := lateness.NewTimer(nil, r.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case got := <-r.sendResults:
			if r.recordSendResult(ctx, got) {
				return
			}
			if r.inFlight > 0 {
				if got.through != "" {
					hedgeTimer.Reset(r.hedgeDelay()) // the other send still hangs
				}
				continue
			}
			if !r.repeat(ctx) {
				r.setFailure(ctx)
				return
			}
			hedgeTimer.Reset(r.hedgeDelay())
		case <-r.silences:
			if r.silent++; r.inFlight > r.silent {
				continue // another send is awaited
			}
			if delay := r.hedge(ctx); delay > 0 {
				hedgeTimer.Reset(delay)
			}
		case <-hedgeTimer.C:
			if !hedgeTimer.Expired() {
				continue
			}
			if delay := r.hedge(ctx); delay > 0 {
				hedgeTimer.Reset(delay)
			}
		case <-ctx.Done():
			if !r.recordReadyResults(ctx) {
				r.setFailure(ctx)
			}
			return
		}
	}
}

// findAndSend finds an endpoint and starts to send the request to it. It reports whether a send was started.
func (r *activeRequest) findAndSend(ctx context.Context, hedge bool) bool {
	if sent, decided := r.takeDetour(ctx, hedge); decided {
		return sent
	}
	r.count()
	view, expected, ok := r.findEndpoint(ctx, hedge)
	if !ok {
		return r.mayDetour() && r.sendThroughHost(ctx, hedge)
	}
	if ctx.Err() != nil || r.stopped() || r.call.IsRevoked() || !r.checkQuarantine() {
		r.forwarder.cfg.EndpointStats.RecordEndWithoutOutcome(view.ID, time.Now())
		r.forwarder.queue(r.call.Service.Name).WakeNext()
		if r.lastFailure == nil && !hedge && r.result.Outcome != RefusedQuarantined {
			r.result.Outcome, r.result.RetryAfter = RefusedUnsent, defaultRetryAfter
		}
		return false
	}
	r.send(ctx, view, expected, hedge)
	return true
}
