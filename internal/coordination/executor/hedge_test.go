package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Outcomes of one send of a call that may be hedged.
const (
	hedgedResponds = iota
	hedgedRefused
	hedgedNotSent
	hedgedLost        // the connection is lost and the request does not run
	hedgedLostLateRun // the request runs after the connection was lost
	hedgedHangs       // no response until the send is cancelled
	hedgedBodyTruncated
	hedgedKinds
)

const (
	testHedgeDelay = 10 * time.Millisecond // initial hedge delay; a few quick responses lower it by a few percent
	bodyPieces     = 4
	// leavingAddress is the address of an endpoint that begins to leave after the grant and before the send.
	leavingAddress = "leaving"
)

// hedgedSend is one generated send with its outcome.
type hedgedSend struct {
	kind         int
	header, body time.Duration // until the response header, then until the end of the body
	cancelDelay  time.Duration // how long the send ignores its cancellation
	began, ended time.Time
	responded    bool
	// grant is the id of the grant, which the Zone of its endpoint carries. address is that of the endpoint.
	grant, address string
	noWait, failed bool
}

// hedgedCall is one generated call.
type hedgedCall struct {
	*Call
	at              time.Duration
	remaining       time.Duration // until the deadline
	disconnectAfter time.Duration // 0 if the caller stays
	callerEndsAt    time.Time     // when the caller disconnects or the deadline passes
	noWaitDelay     time.Duration // until a request with NoWait is granted or denied
	noSlot          bool
	grantsExcluded  bool          // the granter grants an excluded endpoint
	leaving         bool          // the hedge's endpoint begins to leave
	sends           []*hedgedSend // planned
	sendsMade       []*hedgedSend
	bodyRefs        int  // references to the body buffer
	acquiring       bool // a request with NoWait is pending
	executions      []time.Time
}

// hedgeSimulation is the granter and the sender of one executor. It records violations of the guarantees.
type hedgeSimulation struct {
	mu         sync.Mutex
	calls      map[string]*hedgedCall
	openGrants map[uint64]*hedgedCall
	noWait     map[string]bool // by grant
	grantedAt  map[uint64]time.Time
	winners    map[uint64]bool // grants whose response the caller got
	lastGrant  uint64
	violations []string
	background sync.WaitGroup // late executions and checks
}

func (sim *hedgeSimulation) addViolation(c *hedgedCall, format string, args ...any) {
	sim.violations = append(sim.violations, c.RequestID+" "+fmt.Sprintf(format, args...))
}

// Acquire implements dispatch.Granter. It grants or denies requests with NoWait after the delay of their call.
func (sim *hedgeSimulation) Acquire(ctx context.Context, r dispatch.Request) (dispatch.Grant, error) {
	sim.mu.Lock()
	c := sim.calls[r.ID]
	if r.NoWait && (!r.Idempotent || !c.Operation.Idempotent || r.Attempt == 0) {
		sim.addViolation(c, "must not be hedged: %+v", r)
	}
	c.acquiring = r.NoWait
	sim.mu.Unlock()
	if r.NoWait {
		select {
		case <-time.After(c.noWaitDelay):
			sim.endAcquiring(c)
		case <-ctx.Done():
			sim.endAcquiring(c)
			return dispatch.Grant{}, ctx.Err()
		}
		if c.noSlot {
			return dispatch.Grant{}, &dispatch.DeniedError{Reason: refusals.NoUpstream, Detail: "no slot"}
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	address := "e0"
	for i := 0; slices.ContainsFunc(r.ExcludedEndpoints, func(id endpoints.ID) bool { return id.Address == address }); i++ {
		address = fmt.Sprintf("e%d", i)
	}
	switch {
	case r.NoWait && c.grantsExcluded:
		address = r.ExcludedEndpoints[0].Address
	case r.NoWait && c.leaving:
		address = leavingAddress
	}
	sim.lastGrant++
	sim.openGrants[sim.lastGrant], sim.noWait[fmt.Sprint(sim.lastGrant)], sim.grantedAt[sim.lastGrant] = c, r.NoWait, time.Now()
	return dispatch.Grant{ID: sim.lastGrant,
		Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: address}, Zone: fmt.Sprint(sim.lastGrant)}}, nil
}

func (sim *hedgeSimulation) endAcquiring(c *hedgedCall) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	c.acquiring = false
}

// Release implements dispatch.Granter.
func (sim *hedgeSimulation) Release(g dispatch.Grant, o dispatch.Outcome) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	c := sim.openGrants[g.ID]
	if c == nil {
		sim.violations = append(sim.violations, fmt.Sprintf("grant %d was released twice", g.ID))
		return
	}
	delete(sim.openGrants, g.ID)
	var s *hedgedSend
	for _, made := range c.sendsMade {
		if made.grant == g.Endpoint.Zone {
			s = made
		}
	}
	held := time.Since(sim.grantedAt[g.ID])
	switch {
	case s == nil && o.Result != dispatch.ResultCancelled && !(o.Result == dispatch.ResultNotSent && o.Leaving):
		sim.addViolation(c, "an unused grant was released as %v", o.Result)
	case s == nil:
	case o.Result == dispatch.ResultCompleted && c.Operation.Idempotent && (!sim.winners[g.ID] || o.ServiceTime < s.ended.Sub(s.began)):
		sim.addViolation(c, "a request that did not win, or with too short a service time, is reported as completed, after %v", o.ServiceTime)
	case o.Result == dispatch.ResultCancelled && o.ServiceTime > held:
		sim.addViolation(c, "a cancelled request held its grant for %v but reports a service time of %v", held, o.ServiceTime)
	case o.Result != dispatch.ResultCompleted && o.Result != dispatch.ResultCancelled && !s.failed:
		sim.addViolation(c, "a request that did not fail is reported as the failure %v", o.Result)
	}
}

func (sim *hedgeSimulation) MarkLeaving(endpoints.ID) bool { return true }

// IsLeaving implements LeavingTracker: the endpoint at leavingAddress begins to leave between the grant of a hedge and its send.
func (sim *hedgeSimulation) IsLeaving(id endpoints.ID) bool {
	return id.Address == leavingAddress
}

func (sim *hedgeSimulation) run(c *hedgedCall) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	c.executions = append(c.executions, time.Now())
}

// begin records a send and checks that it is allowed.
func (sim *hedgeSimulation) begin(e endpoints.Endpoint, c *hedgedCall) *hedgedSend {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := c.sends[min(len(c.sendsMade), len(c.sends)-1)]
	if len(c.sendsMade) >= maxAttempts {
		sim.addViolation(c, "was sent more than %d times", maxAttempts)
	}
	s.began, s.grant, s.address, s.noWait = time.Now(), e.Zone, e.Address, sim.noWait[e.Zone]
	for _, other := range c.sendsMade {
		if other.address == s.address || other.noWait && s.noWait {
			sim.addViolation(c, "was hedged twice or sent twice to one endpoint")
		}
	}
	if s.noWait {
		first := c.sendsMade[0]
		switch {
		case len(c.sendsMade) != 1 || s.began.Before(first.began.Add(testHedgeDelay*95/100)):
			sim.addViolation(c, "was hedged too early, after %v, or not as its second send", s.began.Sub(first.began))
		case !first.ended.IsZero() && first.ended.Before(s.began):
			sim.addViolation(c, "was hedged %v after the first request had ended", s.began.Sub(first.ended))
		}
	}
	// A send at the very moment of its cancellation is allowed.
	if !s.began.Before(c.Deadline) || c.Operation.Idempotent && s.began.After(c.callerEndsAt) || e.Address == leavingAddress {
		sim.addViolation(c, "was sent after its deadline, after its caller went away, or to a leaving endpoint")
	}
	c.sendsMade = append(c.sendsMade, s)
	return s
}

// wait waits for d. If ctx ends first, it returns after the time for which the send ignores cancellation, but at most after
// another d.
func (s *hedgedSend) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		time.Sleep(min(s.cancelDelay, d))
	}
	return ctx.Err()
}

// Send implements Sender.
func (sim *hedgeSimulation) Send(ctx context.Context, e endpoints.Endpoint, call *Call) (*Response, error) {
	c := sim.calls[call.RequestID]
	s := sim.begin(e, c)
	end := func(failed bool) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		s.ended, s.failed = time.Now(), failed
	}
	err := s.wait(ctx, s.header/2)
	// A Sender that finds its first connection closed begins to read the body only when it has another one.
	release := call.RetainBody()
	defer release()
	if string(call.Body) != "body" {
		sim.mu.Lock()
		sim.addViolation(c, "was sent with the body %q", call.Body)
		sim.mu.Unlock()
	}
	if err != nil {
		end(false)
		return nil, &SendError{Written: s.kind != hedgedNotSent, Err: err}
	}
	switch s.kind {
	case hedgedNotSent:
		end(true)
		return nil, &SendError{Err: errors.New("connection refused")}
	case hedgedRefused:
		end(true)
		return &Response{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	case hedgedLostLateRun:
		sim.background.Go(func() {
			time.Sleep(17 * time.Millisecond)
			sim.run(c)
		})
		fallthrough
	case hedgedLost:
		end(true)
		return nil, &SendError{Written: true, Err: errors.New("reset")}
	case hedgedHangs:
		<-ctx.Done()
		end(false)
		return nil, &SendError{Written: true, Err: ctx.Err()}
	}
	sim.run(c)
	if err := s.wait(ctx, s.header-s.header/2); err != nil && s.cancelDelay == 0 { // a send that ignores cancellation still responds
		end(false)
		return nil, &SendError{Written: true, Err: err}
	}
	end(s.kind == hedgedBodyTruncated)
	sim.mu.Lock()
	s.responded = true
	sim.mu.Unlock()
	return &Response{Status: 200, Header: http.Header{"From": {e.Address}}, Length: -1,
		Body: &slowBody{ctx: ctx, s: s, text: bodyFrom(e, c)}}, nil
}

func bodyFrom(e endpoints.Endpoint, c *hedgedCall) string {
	return strings.Repeat(c.RequestID+"@"+e.Address+";", bodyPieces)
}

// slowBody is a response body that arrives in pieces. Reading fails if its send is cancelled.
type slowBody struct {
	ctx  context.Context
	s    *hedgedSend
	text string
	read int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.s.wait(b.ctx, b.s.body/bodyPieces) != nil || b.s.kind == hedgedBodyTruncated && b.read > 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if b.read == len(b.text) {
		return 0, io.EOF
	}
	n := copy(p, b.text[b.read:min(len(b.text), b.read+len(b.text)/bodyPieces)])
	b.read += n
	return n, nil
}

func (b *slowBody) Close() error { return nil }

// execute runs one call as the front end does and checks its outcome.
func (sim *hedgeSimulation) execute(x *Executor, c *hedgedCall) {
	time.Sleep(c.at)
	c.Deadline = time.Now().Add(c.remaining)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	c.callerEndsAt = c.Deadline
	if c.disconnectAfter > 0 {
		c.callerEndsAt = time.Now().Add(c.disconnectAfter)
		defer time.AfterFunc(c.disconnectAfter, cancel).Stop()
	}
	c.bodyRefs = 1
	released := func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if c.bodyRefs--; c.bodyRefs == 0 {
			copy(c.Body, "used") // the buffer is reused for another call
		}
	}
	c.RetainBody = func() func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		c.bodyRefs++
		return released
	}
	defer released()
	response, refusal := x.Execute(ctx, c.Call)
	sim.mu.Lock()
	ended := time.Now()
	if refusal != nil {
		if refusal.Ran == refusals.RanNo {
			sim.background.Go(func() {
				time.Sleep(time.Second)
				sim.mu.Lock()
				defer sim.mu.Unlock()
				if len(c.executions) > 0 {
					sim.addViolation(c, "was refused as %s, not run, at %v, but ran at %v", refusal.Reason, ended, c.executions)
				}
			})
		}
		sim.mu.Unlock()
		return
	}
	for _, s := range c.sendsMade {
		if s.grant == response.Endpoint.Zone {
			for _, other := range c.sendsMade {
				if other.responded && other.ended.Before(s.ended) {
					sim.addViolation(c, "got the response of %v, but the other one came first, at %v", s.ended, other.ended)
				}
			}
		}
	}
	sim.background.Go(func() {
		time.Sleep(time.Nanosecond)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		notCancelled := c.acquiring
		for _, s := range c.sendsMade {
			notCancelled = notCancelled || s.ended.IsZero() && s.cancelDelay == 0
		}
		if notCancelled {
			sim.addViolation(c, "got a response, but its other request was not cancelled")
		}
	})
	var id uint64
	fmt.Sscan(response.Endpoint.Zone, &id)
	sim.winners[id] = true
	sim.mu.Unlock()
	data, err := io.ReadAll(response.Body)
	end := BodyComplete
	if err != nil {
		end = BodyTruncated
	}
	response.Finish(end)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if want := bodyFrom(response.Endpoint, c); err == nil && string(data) != want ||
		response.Header.Get("From") != response.Endpoint.Address || !strings.HasPrefix(want, string(data)) {
		sim.addViolation(c, "got the body %q from %v with the header %v", data, response.Endpoint.Address, response.Header)
	}
	made := sim.calls[c.RequestID].sendsMade
	if err != nil && ctx.Err() == nil && made[len(made)-1].kind != hedgedBodyTruncated && made[0].kind != hedgedBodyTruncated {
		sim.addViolation(c, "got an incomplete response: %v", err)
	}
}

func drawHedgedCalls(t *rapid.T) (calls []*hedgedCall) {
	ms := func(name string, choices ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(choices).Draw(t, name)) * time.Millisecond
	}
	for i := range 9 - rapid.IntRange(0, 8).Draw(t, "fewer calls") {
		op := &contract.Operation{Name: "op", Idempotent: rapid.IntRange(0, 4).Draw(t, "once") < 4, DeadlineMS: 1}
		c := &hedgedCall{Call: &Call{RequestID: fmt.Sprintf("r%d", i), Operation: op, Method: "PUT", Path: "/x", Body: []byte("body"),
			Attempt: keys.Attempt{Number: rapid.SampledFrom([]uint16{0, 0, 0, 1}).Draw(t, "attempt")}}, remaining: ms("remaining", 500, 80, 40, 12, 9),
			at: ms("at", 0, 0, 1, 5, 30), disconnectAfter: ms("away", 0, 0, 0, 0, 11, 25), noWaitDelay: ms("wait", 0, 0, 1, 30),
			noSlot: rapid.IntRange(0, 4).Draw(t, "no slot") == 4, grantsExcluded: rapid.IntRange(0, 9).Draw(t, "repeats") == 9,
			leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 9}
		for range maxAttempts {
			c.sends = append(c.sends, &hedgedSend{kind: max(0, rapid.IntRange(-hedgedKinds, hedgedKinds-1).Draw(t, "kind")),
				header: ms("header", 60, 20, 11, 10, 9, 2), body: ms("body", 0, 0, 8, 40), cancelDelay: ms("stubborn", 0, 0, 3, 50)})
		}
		calls = append(calls, c)
	}
	return calls
}

// TestHedgedCalls guards against hedges that take no token from the retry allowance, that are sent early, late, twice, to the
// same endpoint or for operations that are not idempotent; against responses that are mixed, cut off by the cancellation of the
// other request, or not the first to arrive; against cancelled requests that are reported as failed or as completed, grants that
// are never released or released twice, "not run" for a request that ran, a body buffer that is reused while a cancelled send
// may still read it, and leaked goroutines.
func TestHedgedCalls(t *testing.T) {
	hedged, won, overAllowance := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		calls := drawHedgedCalls(rt)
		saved := 6 - rapid.IntRange(0, 6).Draw(rt, "spent")
		l := &limits.ServiceLimits{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: time.Hour, Rate: 100,
			RetryPercent: rapid.SampledFrom([]int{40, 0, 5}).Draw(rt, "percent")}
		var violations []string
		faketime.Test(t, func(*testing.T) {
			counts := metrics.New()
			sim, x := newHedgeSimulation(l, saved, counts)
			for _, c := range calls {
				c.Limits = l
				sim.calls[c.RequestID] = c
				if !c.Operation.Idempotent {
					c.Key = x.KeyPrefix() + "." + strings.Repeat(c.RequestID, 8)
				}
			}
			var wg sync.WaitGroup
			for i, c := range calls {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Microsecond)
					sim.execute(x, c)
				})
			}
			wg.Wait()
			sim.background.Wait()
			time.Sleep(time.Second) // after it, all cancelled sends have ended
			hedged += sim.checkEnd(x, l, saved)
			won += int(counts.Value(hedgesWon))
			overAllowance += int(counts.Value(hedgesOverAllowance))
			violations = sim.violations
		})
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
	t.Logf("%d hedges were sent, %d responded first, %d exceeded the retry allowance", hedged, won, overAllowance)
	if hedged == 0 || won == 0 || overAllowance == 0 {
		t.Error("the generated calls do not cover all three cases")
	}
}

// newHedgeSimulation returns an executor that hedges after testHedgeDelay. Its retry allowance holds the saved number of retries.
func newHedgeSimulation(l *limits.ServiceLimits, saved int, counts *metrics.Registry) (*hedgeSimulation, *Executor) {
	sim := &hedgeSimulation{calls: map[string]*hedgedCall{}, openGrants: map[uint64]*hedgedCall{}, noWait: map[string]bool{},
		grantedAt: map[uint64]time.Time{}, winners: map[uint64]bool{}}
	x := New(Config{Granter: sim, Sender: sim, Leaving: sim, Keys: newTestKeys(0, 0), Hedge: true, Metrics: counts})
	*x.responseTimes.forService(l.Name) = responseTimeEstimator{estimate: testHedgeDelay, observed: hedgeMinObservations}
	x.allowance.bucketFor(time.Now(), l).bucket.Take(time.Now(), float64(maxSavedRetries-saved))
	return sim, x
}

// TestBothSendsFail guards against "not run" for a call of which the first request or its hedge may have run, whichever of the
// two fails last.
func TestBothSendsFail(t *testing.T) {
	for _, kinds := range [][2]int{{hedgedLost, hedgedRefused}, {hedgedRefused, hedgedLost}, {hedgedLostLateRun, hedgedNotSent},
		{hedgedRefused, hedgedRefused}, {hedgedNotSent, hedgedRefused}, {hedgedLost, hedgedLost}} {
		for _, firstFailsLast := range []bool{false, true} {
			want := refusals.RanNo
			for _, kind := range kinds {
				if kind != hedgedRefused && kind != hedgedNotSent {
					want = refusals.RanUnknown
				}
			}
			faketime.Test(t, func(t *testing.T) {
				l := &limits.ServiceLimits{Customer: "c", Name: "s", RetryPercent: 1}
				sim, x := newHedgeSimulation(l, 1, nil)
				// The first request fails after 15 or 30 ms, the hedge 10 ms after it was sent.
				c := &hedgedCall{Call: &Call{RequestID: "r", Operation: &contract.Operation{Idempotent: true}, Limits: l, Body: []byte("body"),
					Deadline: time.Now().Add(time.Second), RetainBody: func() func() { return func() {} }}, callerEndsAt: time.Now().Add(time.Second),
					sends: []*hedgedSend{{kind: kinds[0], header: 30 * time.Millisecond}, {kind: kinds[1], header: 20 * time.Millisecond}}}
				if firstFailsLast {
					c.sends[0].header *= 2
				}
				sim.calls["r"] = c
				_, r := x.Execute(t.Context(), c.Call)
				sim.background.Wait()
				if r == nil || r.Ran != want || len(c.sendsMade) != 2 || !c.sendsMade[1].noWait ||
					c.sendsMade[0].ended.After(c.sendsMade[1].ended) != firstFailsLast {
					t.Errorf("kinds %v, first fails last: %t: %+v after %d sends, want ran %s", kinds, firstFailsLast, r, len(c.sendsMade), want)
				}
				if len(sim.violations)+len(sim.openGrants) > 0 {
					t.Errorf("%v, %d grants are open", sim.violations, len(sim.openGrants))
				}
			})
		}
	}
}

// checkEnd checks the guarantees that hold after all calls have ended: the retry allowance, the body buffers and the grants. It
// returns the number of hedges.
func (sim *hedgeSimulation) checkEnd(x *Executor, l *limits.ServiceLimits, saved int) (hedged int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	extra, tokens := 0, float64(saved)
	for _, c := range sim.calls {
		extra += max(0, len(c.sendsMade)-1)
		if c.Attempt.Number == 0 {
			tokens += float64(l.RetryPercent) / 100
		} else if len(c.sendsMade) > 0 {
			extra++
		}
		for _, s := range c.sendsMade {
			if s.noWait {
				hedged++
			}
		}
		if c.bodyRefs != 0 {
			sim.addViolation(c, "%d references to the body are left", c.bodyRefs)
		}
	}
	b := x.allowance.bucketFor(time.Now(), l)
	b.mu.Lock()
	defer b.mu.Unlock()
	if left := b.bucket.Tokens(time.Now()); l.RetryPercent > 0 && math.Abs(tokens-float64(extra)-left) > 1e-9 ||
		l.RetryPercent == 0 && extra > 0 {
		sim.violations = append(sim.violations, fmt.Sprintf("%d extra sends with an allowance of %g, of which %g is left", extra, tokens, left))
	}
	if len(sim.openGrants) != 0 {
		sim.violations = append(sim.violations, fmt.Sprintf("%d grants were never released", len(sim.openGrants)))
	}
	return hedged
}

// TestResponseTimeEstimator guards against a hedge delay that is not the 95th percentile, that falls because slow requests are
// cancelled in favour of their hedges, or that is used before enough times were observed.
func TestResponseTimeEstimator(t *testing.T) {
	for _, censored := range []bool{false, true} {
		e := &responseTimeEstimator{}
		rnd := rand.New(rand.NewPCG(1, 2))
		sum, n := 0.0, 0
		for i := range 50_000 {
			d, known := e.hedgeDelay()
			if known != (i >= hedgeMinObservations) {
				t.Fatalf("known after %d observations: %t", i, known)
			}
			took := time.Duration(rnd.ExpFloat64() * float64(10*time.Millisecond))
			if censored && known && took > d+time.Millisecond {
				e.observe(d+time.Millisecond, false)
			} else {
				e.observe(took, true)
			}
			e.observe(time.Nanosecond, false) // a request that was cancelled early must not change the estimate
			if i > 1000 {
				sum, n = sum+d.Seconds(), n+1
			}
		}
		want := 0.010 * math.Log(20)
		if mean := sum / float64(n); math.Abs(mean-want) > 0.1*want {
			t.Errorf("censored %t: mean delay of %.4f s, want the 95th percentile of %.4f s", censored, mean, want)
		}
	}
}
