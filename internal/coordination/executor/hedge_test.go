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
	hedgedAnswers = iota
	hedgedRefused
	hedgedNotSent
	hedgedLost        // the connection is lost and the request does not run
	hedgedLostLateRun // the request runs after the connection was lost
	hedgedHangs       // no response until the send is cancelled
	hedgedBodyCut
	hedgedKinds
)

const (
	testDelay  = 10 * time.Millisecond // initial hedge delay; a few quick responses lower it by a few percent
	bodyPieces = 4
	// leavingAddress is the address of an endpoint that begins to leave after the grant and before the send.
	leavingAddress = "leaving"
)

// hedgedSend is one generated send with its outcome.
type hedgedSend struct {
	kind              int
	header, body      time.Duration // until the response header, then until the end of the body
	stubborn          time.Duration // how long the send ignores its cancellation
	began, ended      time.Time
	responded         bool
	grant, address    string // the grant's id, which the endpoint's zone carries
	immediate, failed bool
}

// hedgedCall is one generated call.
type hedgedCall struct {
	*Call
	at        time.Duration
	remaining time.Duration // until the deadline
	goesAway  time.Duration // 0 if the caller stays
	gone      time.Time
	denyWait  time.Duration // until an immediate request is granted or denied
	noSlot    bool
	repeats   bool          // the granter grants an endpoint that is to be avoided
	leaving   bool          // the hedge's endpoint begins to leave
	sends     []*hedgedSend // planned
	made      []*hedgedSend
	users     int  // references to the body buffer
	asking    bool // an immediate request is pending
	ran       []time.Time
}

// hedgeWorld is the granter and the sender of one executor. It records violations of the guarantees.
type hedgeWorld struct {
	mu        sync.Mutex
	calls     map[string]*hedgedCall
	open      map[uint64]*hedgedCall
	immediate map[string]bool // by grant
	granted   map[uint64]time.Time
	winner    map[uint64]bool
	next      uint64
	faults    []string
	late      sync.WaitGroup
}

func (w *hedgeWorld) fault(c *hedgedCall, format string, args ...any) {
	w.faults = append(w.faults, c.RequestID+" "+fmt.Sprintf(format, args...))
}

// Acquire implements dispatch.Granter. It grants or denies immediate requests after the delay of their call.
func (w *hedgeWorld) Acquire(ctx context.Context, r dispatch.Request) (dispatch.Grant, error) {
	w.mu.Lock()
	c := w.calls[r.ID]
	if r.Immediate && (!r.Idempotent || !c.Operation.Idempotent || r.Attempt == 0) {
		w.fault(c, "must not be hedged: %+v", r)
	}
	c.asking = r.Immediate
	w.mu.Unlock()
	if r.Immediate {
		select {
		case <-time.After(c.denyWait):
			w.stopAsking(c)
		case <-ctx.Done():
			w.stopAsking(c)
			return dispatch.Grant{}, ctx.Err()
		}
		if c.noSlot {
			return dispatch.Grant{}, &dispatch.Denied{Reason: refusals.NoUpstream, Detail: "no slot"}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	address := "e0"
	for i := 0; slices.ContainsFunc(r.Avoid, func(id endpoints.ID) bool { return id.Address == address }); i++ {
		address = fmt.Sprintf("e%d", i)
	}
	switch {
	case r.Immediate && c.repeats:
		address = r.Avoid[0].Address
	case r.Immediate && c.leaving:
		address = leavingAddress
	}
	w.next++
	w.open[w.next], w.immediate[fmt.Sprint(w.next)], w.granted[w.next] = c, r.Immediate, time.Now()
	return dispatch.Grant{ID: w.next, Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: address}, Zone: fmt.Sprint(w.next)}}, nil
}

func (w *hedgeWorld) stopAsking(c *hedgedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.asking = false
}

// Release implements dispatch.Granter.
func (w *hedgeWorld) Release(g dispatch.Grant, o dispatch.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.open[g.ID]
	if c == nil {
		w.faults = append(w.faults, fmt.Sprintf("grant %d was released twice", g.ID))
		return
	}
	delete(w.open, g.ID)
	var s *hedgedSend
	for _, made := range c.made {
		if made.grant == g.Endpoint.Zone {
			s = made
		}
	}
	held := time.Since(w.granted[g.ID])
	switch {
	case s == nil && o.Result != dispatch.Cancelled && !(o.Result == dispatch.NotSent && o.Leaving):
		w.fault(c, "an unused grant was released as %v", o.Result)
	case s == nil:
	case o.Result == dispatch.Answered && c.Operation.Idempotent && (!w.winner[g.ID] || o.ServiceTime < s.ended.Sub(s.began)):
		w.fault(c, "a request whose response was not used, or not yet read, is reported as answered, after %v", o.ServiceTime)
	case o.Result == dispatch.Cancelled && o.ServiceTime > held:
		w.fault(c, "a cancelled request held its grant for %v but reports a service time of %v", held, o.ServiceTime)
	case o.Result != dispatch.Answered && o.Result != dispatch.Cancelled && !s.failed:
		w.fault(c, "a request that did not fail is reported as the failure %v", o.Result)
	}
}

func (w *hedgeWorld) MarkLeaving(endpoints.ID) bool { return true }

// IsLeaving implements Marks: the endpoint at leavingAddress begins to leave between the grant of a hedge and its send.
func (w *hedgeWorld) IsLeaving(id endpoints.ID) bool {
	return id.Address == leavingAddress
}

func (w *hedgeWorld) run(c *hedgedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.ran = append(c.ran, time.Now())
}

// begin records a send and checks that it is allowed.
func (w *hedgeWorld) begin(e endpoints.Endpoint, c *hedgedCall) *hedgedSend {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := c.sends[min(len(c.made), len(c.sends)-1)]
	if len(c.made) >= maxAttempts {
		w.fault(c, "was sent more than %d times", maxAttempts)
	}
	s.began, s.grant, s.address, s.immediate = time.Now(), e.Zone, e.Address, w.immediate[e.Zone]
	for _, other := range c.made {
		if other.address == s.address || other.immediate && s.immediate {
			w.fault(c, "was hedged twice or sent twice to one endpoint")
		}
	}
	if s.immediate {
		first := c.made[0]
		switch {
		case len(c.made) != 1 || s.began.Before(first.began.Add(testDelay*95/100)):
			w.fault(c, "was hedged too early, after %v, or not as its second send", s.began.Sub(first.began))
		case !first.ended.IsZero() && first.ended.Before(s.began):
			w.fault(c, "was hedged %v after the first request had ended", s.began.Sub(first.ended))
		}
	}
	// A send at the very moment of its cancellation is allowed.
	if !s.began.Before(c.Deadline) || c.Operation.Idempotent && s.began.After(c.gone) || e.Address == leavingAddress {
		w.fault(c, "was sent after its deadline, after its caller went away, or to a leaving endpoint")
	}
	c.made = append(c.made, s)
	return s
}

// wait waits for d. If ctx ends first, it returns after the time for which the send ignores cancellation, but at most after
// another d.
func (s *hedgedSend) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		time.Sleep(min(s.stubborn, d))
	}
	return ctx.Err()
}

// Send implements Sender.
func (w *hedgeWorld) Send(ctx context.Context, e endpoints.Endpoint, call *Call) (*Response, error) {
	c := w.calls[call.RequestID]
	s := w.begin(e, c)
	end := func(failed bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.ended, s.failed = time.Now(), failed
	}
	err := s.wait(ctx, s.header/2)
	// A Sender that finds its first connection closed begins to read the body only when it has another one.
	release := call.RetainBody()
	defer release()
	if string(call.Body) != "body" {
		w.mu.Lock()
		w.fault(c, "was sent with the body %q", call.Body)
		w.mu.Unlock()
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
		return &Response{Status: 503, Refused: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	case hedgedLostLateRun:
		w.late.Go(func() {
			time.Sleep(17 * time.Millisecond)
			w.run(c)
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
	w.run(c)
	if err := s.wait(ctx, s.header-s.header/2); err != nil && s.stubborn == 0 { // a send that ignores cancellation still responds
		end(false)
		return nil, &SendError{Written: true, Err: err}
	}
	end(s.kind == hedgedBodyCut)
	w.mu.Lock()
	s.responded = true
	w.mu.Unlock()
	return &Response{Status: 200, Header: http.Header{"From": {e.Address}}, Length: -1, Body: &slowBody{ctx: ctx, s: s, text: answerOf(e, c)}}, nil
}

func answerOf(e endpoints.Endpoint, c *hedgedCall) string {
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
	if b.s.wait(b.ctx, b.s.body/bodyPieces) != nil || b.s.kind == hedgedBodyCut && b.read > 0 {
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
func (w *hedgeWorld) execute(x *Executor, c *hedgedCall) {
	time.Sleep(c.at)
	c.Deadline = time.Now().Add(c.remaining)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	c.gone = c.Deadline
	if c.goesAway > 0 {
		c.gone = time.Now().Add(c.goesAway)
		defer time.AfterFunc(c.goesAway, cancel).Stop()
	}
	c.users = 1
	released := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if c.users--; c.users == 0 {
			copy(c.Body, "used") // the buffer is reused for another call
		}
	}
	c.RetainBody = func() func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		c.users++
		return released
	}
	defer released()
	answer, refusal := x.Execute(ctx, c.Call)
	w.mu.Lock()
	ended := time.Now()
	if refusal != nil {
		if refusal.Ran == refusals.RanNo {
			w.late.Go(func() {
				time.Sleep(time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				if len(c.ran) > 0 {
					w.fault(c, "was refused as %s, not run, at %v, but ran at %v", refusal.Reason, ended, c.ran)
				}
			})
		}
		w.mu.Unlock()
		return
	}
	for _, s := range c.made {
		if s.grant == answer.Endpoint.Zone {
			for _, other := range c.made {
				if other.responded && other.ended.Before(s.ended) {
					w.fault(c, "got the response of %v, but the other one came first, at %v", s.ended, other.ended)
				}
			}
		}
	}
	w.late.Go(func() {
		time.Sleep(time.Nanosecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		unused := c.asking
		for _, s := range c.made {
			unused = unused || s.ended.IsZero() && s.stubborn == 0
		}
		if unused {
			w.fault(c, "got a response, but its other request was not cancelled")
		}
	})
	var id uint64
	fmt.Sscan(answer.Endpoint.Zone, &id)
	w.winner[id] = true
	w.mu.Unlock()
	data, err := io.ReadAll(answer.Body)
	end := BodyWhole
	if err != nil {
		end = BodyCut
	}
	answer.Finish(end)
	w.mu.Lock()
	defer w.mu.Unlock()
	if want := answerOf(answer.Endpoint, c); err == nil && string(data) != want || answer.Header.Get("From") != answer.Endpoint.Address || !strings.HasPrefix(want, string(data)) {
		w.fault(c, "got the body %q from %v with the header %v", data, answer.Endpoint.Address, answer.Header)
	}
	won := w.calls[c.RequestID].made
	if err != nil && ctx.Err() == nil && won[len(won)-1].kind != hedgedBodyCut && won[0].kind != hedgedBodyCut {
		w.fault(c, "got an incomplete response: %v", err)
	}
}

func drawHedgedCalls(t *rapid.T) (calls []*hedgedCall) {
	ms := func(name string, choices ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(choices).Draw(t, name)) * time.Millisecond
	}
	for i := range 9 - rapid.IntRange(0, 8).Draw(t, "fewer calls") {
		op := &contract.Operation{Name: "op", Idempotent: rapid.IntRange(0, 4).Draw(t, "once") < 4, DeadlineMS: 1}
		c := &hedgedCall{Call: &Call{RequestID: fmt.Sprintf("r%d", i), Operation: op, Method: "PUT", Path: "/x", Body: []byte("body"),
			Copy: keys.Copy{Number: rapid.SampledFrom([]uint16{0, 0, 0, 1}).Draw(t, "attempt")}}, remaining: ms("remaining", 500, 80, 40, 12, 9),
			at: ms("at", 0, 0, 1, 5, 30), goesAway: ms("away", 0, 0, 0, 0, 11, 25), denyWait: ms("wait", 0, 0, 1, 30),
			noSlot: rapid.IntRange(0, 4).Draw(t, "no slot") == 4, repeats: rapid.IntRange(0, 9).Draw(t, "repeats") == 9,
			leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 9}
		for range maxAttempts {
			c.sends = append(c.sends, &hedgedSend{kind: max(0, rapid.IntRange(-hedgedKinds, hedgedKinds-1).Draw(t, "kind")), header: ms("header", 60, 20, 11, 10, 9, 2),
				body: ms("body", 0, 0, 8, 40), stubborn: ms("stubborn", 0, 0, 3, 50)})
		}
		calls = append(calls, c)
	}
	return calls
}

// TestHedgedCalls guards against hedges that take no token from the retry allowance, that are sent early, late, twice, to the
// same endpoint or for operations that are not idempotent; against responses that are mixed, cut off by the cancellation of the
// other request, or not the first to arrive; against cancelled requests that are reported as failed or as answered, grants that
// are never released or released twice, "not run" for a request that ran, a body buffer that is reused while a cancelled send
// may still read it, and leaked goroutines.
func TestHedgedCalls(t *testing.T) {
	hedged, won, unpaid := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		calls := drawHedgedCalls(rt)
		saved := 6 - rapid.IntRange(0, 6).Draw(rt, "spent")
		l := &limits.Service{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: time.Hour, Rate: 100,
			RetryPercent: rapid.SampledFrom([]int{40, 0, 5}).Draw(rt, "percent")}
		var faults []string
		faketime.Test(t, func(*testing.T) {
			counts := metrics.New()
			w, x := newHedgeWorld(l, saved, counts)
			for _, c := range calls {
				c.Limits = l
				w.calls[c.RequestID] = c
				if !c.Operation.Idempotent {
					c.Key = x.KeyPrefix() + "." + strings.Repeat(c.RequestID, 8)
				}
			}
			var wg sync.WaitGroup
			for i, c := range calls {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Microsecond)
					w.execute(x, c)
				})
			}
			wg.Wait()
			w.late.Wait()
			time.Sleep(time.Second) // after it, all cancelled sends have ended
			hedged += w.audit(x, l, saved)
			won += int(counts.Value(hedgesWon))
			unpaid += int(counts.Value(hedgesOverAllowance))
			faults = w.faults
		})
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n"))
		}
	})
	t.Logf("%d hedges were sent, %d responded first, %d exceeded the retry allowance", hedged, won, unpaid)
	if hedged == 0 || won == 0 || unpaid == 0 {
		t.Error("the generated calls do not cover all three cases")
	}
}

// newHedgeWorld returns an executor that hedges after testDelay. Its retry allowance holds the saved number of retries.
func newHedgeWorld(l *limits.Service, saved int, counts *metrics.Set) (*hedgeWorld, *Executor) {
	w := &hedgeWorld{calls: map[string]*hedgedCall{}, open: map[uint64]*hedgedCall{}, immediate: map[string]bool{},
		granted: map[uint64]time.Time{}, winner: map[uint64]bool{}}
	x := New(Config{Granter: w, Sender: w, Marks: w, Keys: newTestKeys(0, 0), Hedge: true, Metrics: counts})
	*x.responseTimes.forService(l.Name) = responseTimeEstimator{estimate: testDelay, observed: hedgeMinObservations}
	x.allowance.bucketFor(time.Now(), l).bucket.Take(time.Now(), float64(maxSavedRetries-saved))
	return w, x
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
				l := &limits.Service{Customer: "c", Name: "s", RetryPercent: 1}
				w, x := newHedgeWorld(l, 1, nil)
				// The first request fails after 15 or 30 ms, the hedge 10 ms after it was sent.
				c := &hedgedCall{Call: &Call{RequestID: "r", Operation: &contract.Operation{Idempotent: true}, Limits: l, Body: []byte("body"),
					Deadline: time.Now().Add(time.Second), RetainBody: func() func() { return func() {} }}, gone: time.Now().Add(time.Second),
					sends: []*hedgedSend{{kind: kinds[0], header: 30 * time.Millisecond}, {kind: kinds[1], header: 20 * time.Millisecond}}}
				if firstFailsLast {
					c.sends[0].header *= 2
				}
				w.calls["r"] = c
				_, r := x.Execute(t.Context(), c.Call)
				w.late.Wait()
				if r == nil || r.Ran != want || len(c.made) != 2 || !c.made[1].immediate || c.made[0].ended.After(c.made[1].ended) != firstFailsLast {
					t.Errorf("kinds %v, first fails last: %t: %+v after %d sends, want ran %s", kinds, firstFailsLast, r, len(c.made), want)
				}
				if len(w.faults)+len(w.open) > 0 {
					t.Errorf("%v, %d grants are open", w.faults, len(w.open))
				}
			})
		}
	}
}

// audit checks the guarantees that hold after all calls have ended: the retry allowance, the body buffers and the grants. It
// returns the number of hedges.
func (w *hedgeWorld) audit(x *Executor, l *limits.Service, saved int) (hedged int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	extra, tokens := 0, float64(saved)
	for _, c := range w.calls {
		extra += max(0, len(c.made)-1)
		if c.Copy.Number == 0 {
			tokens += float64(l.RetryPercent) / 100
		} else if len(c.made) > 0 {
			extra++
		}
		for _, s := range c.made {
			if s.immediate {
				hedged++
			}
		}
		if c.users != 0 {
			w.fault(c, "%d references to the body are left", c.users)
		}
	}
	b := x.allowance.bucketFor(time.Now(), l)
	b.mu.Lock()
	defer b.mu.Unlock()
	if left := b.bucket.Tokens(time.Now()); l.RetryPercent > 0 && math.Abs(tokens-float64(extra)-left) > 1e-9 || l.RetryPercent == 0 && extra > 0 {
		w.faults = append(w.faults, fmt.Sprintf("%d extra sends with an allowance of %g, of which %g is left", extra, tokens, left))
	}
	if len(w.open) != 0 {
		w.faults = append(w.faults, fmt.Sprintf("%d grants were never released", len(w.open)))
	}
	return hedged
}

// TestAnswerTime guards against a hedge delay that is not the 95th percentile, that falls because slow requests are cancelled in
// favour of their hedges, or that is used before enough times were observed.
func TestAnswerTime(t *testing.T) {
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
