package executor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// Outcomes of one send in a test.
const (
	sendResponds = iota
	sendConnectFails
	sendCutBeforeRun
	sendCutAfterRun
	sendRefused
	sendBodyTruncated
	sendHangsNotRun
	sendHangsRun
	sendRunsLate // the connection is lost before the upstream runs the request
	sendKinds
)

// Outcomes of one relayed call in a test.
const (
	relayWorks = iota
	relayNotReached
	relayReplyLost
	relayLate // delivered after the relaying host has given up, as if the other host was paused
	relayKinds
)

// plannedCall is one generated call with its outcome.
type plannedCall struct {
	at, pause         time.Duration
	host, key         int
	body              int
	attempt           keys.Attempt
	idempotent        bool
	callerDisconnects bool
	sends             []int
	relay             int
	ignoreExcluded    bool
	id, keyText       string
	deadlineMS        int
	result            *GrantedResponse
	refusal           *refusals.Refusal
	responseBody      string
	readErr           error
	ended             time.Time
}

// execution is one execution of a request by an upstream.
type execution struct {
	at     time.Time
	body   string
	number uint16 // of the caller's attempt
}

// simulation simulates three hosts and their upstreams. It records all executions of requests and all violations of guarantees.
type simulation struct {
	mu         sync.Mutex
	hosts      []*Executor
	plans      map[string]*plannedCall
	executions map[string][]execution // by key or request id
	sends      map[string]int         // by request id and endpoint
	resends    int                    // retries, hedges and repeats by callers
	grants     map[uint64]bool
	lastGrant  uint64
	violations []string
	pending    sync.WaitGroup // executions and relays that happen after the sender gave up
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) Acquire(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	excluded := map[endpoints.ID]bool{}
	for _, id := range r.ExcludedEndpoints {
		excluded[id] = !sim.plans[r.ID].ignoreExcluded
	}
	for i := range 4 {
		id := endpoints.ID{Address: fmt.Sprintf("e%d", (int(sim.lastGrant)+i)%4)}
		if !excluded[id] {
			sim.lastGrant++
			sim.grants[sim.lastGrant] = true
			return dispatch.Grant{ID: sim.lastGrant, Endpoint: endpoints.Endpoint{ID: id}}, nil
		}
	}
	return dispatch.Grant{}, &dispatch.DeniedError{Reason: refusals.NoUpstream, Detail: "none left"}
}

func (sim *simulation) Release(g dispatch.Grant, _ dispatch.Outcome) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !sim.grants[g.ID] {
		sim.addViolation("grant %d released twice", g.ID)
	}
	delete(sim.grants, g.ID)
}

func (sim *simulation) MarkLeaving(endpoints.ID) bool { return true }
func (sim *simulation) IsLeaving(endpoints.ID) bool   { return false }

func (sim *simulation) run(c *Call) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	run := execution{time.Now(), string(c.Body), c.Attempt.Number}
	sim.executions[c.RequestID] = append(sim.executions[c.RequestID], run)
	if c.Key != "" {
		sim.executions[c.Key] = append(sim.executions[c.Key], run)
		if len(sim.executions[c.Key]) > 1 {
			sim.addViolation("key %s ran twice", c.Key)
		}
	}
}

// Send implements Sender. Each step takes some time, so that calls overlap.
func (sim *simulation) Send(ctx context.Context, e endpoints.Endpoint, c *Call) (*Response, error) {
	sim.mu.Lock()
	p := sim.plans[c.RequestID]
	if len(p.sends) < sendKinds { // sends beyond the planned ones get a response
		p.sends = append(p.sends, sendResponds)
	}
	kind := p.sends[0]
	p.sends = p.sends[1:]
	sim.sends[c.RequestID+e.Address]++
	if sim.sends[c.RequestID+e.Address] > 1 {
		sim.addViolation("%s was sent twice to %s", c.RequestID, e.Address)
	}
	sim.sends[c.RequestID]++
	if sim.sends[c.RequestID] > 1 || c.Attempt.Number > 0 {
		sim.resends++
	}
	if !time.Now().Before(c.Deadline) {
		sim.addViolation("%s was sent after its deadline", c.RequestID)
	}
	sim.mu.Unlock()
	time.Sleep(3 * time.Millisecond)
	switch kind {
	case sendConnectFails:
		return nil, &SendError{Err: errors.New("refused")}
	case sendCutBeforeRun:
		return nil, &SendError{Written: true, Err: errors.New("reset")}
	case sendRefused:
		return &Response{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	case sendHangsNotRun:
		<-ctx.Done()
		return nil, &SendError{Written: true, Err: ctx.Err()}
	case sendRunsLate:
		sim.pending.Add(1)
		go func() {
			defer sim.pending.Done()
			time.Sleep(29 * time.Millisecond)
			sim.run(c)
		}()
		return nil, &SendError{Written: true, Err: errors.New("reset")}
	}
	sim.run(c)
	time.Sleep(2 * time.Millisecond)
	switch kind {
	case sendCutAfterRun:
		return nil, &SendError{Written: true, Err: io.ErrUnexpectedEOF}
	case sendHangsRun:
		<-ctx.Done()
		return nil, &SendError{Written: true, Err: ctx.Err()}
	}
	text := bodyFor(c.RequestID, c.Key, string(c.Body))
	body := io.Reader(strings.NewReader(text))
	if kind == sendBodyTruncated {
		body = io.MultiReader(strings.NewReader(text[:len(text)/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	return &Response{Status: 200, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(body)}, nil
}

// bodyFor returns the response body for a request: its id and body, or for a request with a key its key and body, because a
// repeat has another id.
func bodyFor(id, key, body string) string {
	if key != "" {
		id = key
	}
	return strings.Repeat(id+" "+body+";", 3)
}

// Relay implements Relayer between the simulated hosts.
func (sim *simulation) Relay(ctx context.Context, host string, c *Call) (*GrantedResponse, *refusals.Refusal, error) {
	sim.mu.Lock()
	kind := sim.plans[c.RequestID].relay
	var target *Executor
	for i, x := range sim.hosts {
		if fmt.Sprintf("h%d", i) == host {
			target = x
		}
	}
	sim.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch kind {
	case relayNotReached:
		return nil, nil, errors.New("host not reached")
	case relayReplyLost:
		if a, _ := target.ExecuteRelayed(ctx, c); a != nil {
			a.Finish(BodyAbandoned)
		}
		return nil, nil, errors.New("reply lost")
	case relayLate:
		sim.pending.Add(1)
		go func() {
			defer sim.pending.Done()
			time.Sleep(41 * time.Millisecond)
			if a, _ := target.ExecuteRelayed(context.Background(), c); a != nil {
				a.Finish(BodyAbandoned)
			}
		}()
		return nil, nil, errors.New("no response")
	}
	a, r := target.ExecuteRelayed(ctx, c)
	return a, r, nil
}

func (sim *simulation) host(i, generation int) *Executor {
	x := New(Config{Granter: sim, Sender: sim, Leaving: sim, Relay: sim, Keys: newTestKeys(i, generation), Hedge: i == 1})
	*x.responseTimes.forService(testLimits.Name) = responseTimeEstimator{estimate: 4 * time.Millisecond, observed: hedgeMinObservations}
	return x
}

func newTestKeys(host, generation int) *keys.Table {
	return keys.NewTable(keys.Config{Host: fmt.Sprintf("h%d", host), Incarnation: fmt.Sprintf("%016x", generation), Origin: time.Now()})
}

var testLimits = &limits.ServiceLimits{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: 2 * time.Minute, RetryPercent: 20, Rate: 100}

func (sim *simulation) call(p *plannedCall, key string) {
	time.Sleep(p.at)
	op := &contract.Operation{Name: "op", Idempotent: p.idempotent, DeadlineMS: p.deadlineMS}
	c := &Call{RequestID: p.id, Operation: op, Limits: testLimits, Method: "POST", Path: "/x", Body: []byte{byte('a' + p.body)},
		Deadline: time.Now().Add(time.Duration(p.deadlineMS) * time.Millisecond), Attempt: p.attempt}
	if !p.idempotent {
		c.Key, p.keyText = key, key
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	if p.callerDisconnects {
		time.AfterFunc(4*time.Millisecond, cancel)
	}
	time.Sleep(p.pause) // the host is paused after it has received the request
	sim.mu.Lock()
	x := sim.hosts[p.host]
	sim.mu.Unlock()
	p.result, p.refusal = x.Execute(ctx, c)
	p.ended = time.Now()
	if p.result != nil {
		data, err := io.ReadAll(p.result.Body)
		p.responseBody, p.readErr = string(data), err
		end := BodyComplete
		if err != nil {
			end = BodyTruncated
		}
		p.result.Finish(end)
	}
	sim.check(p, c)
}

// check compares the outcome of a call with the executions so far and records violations of the guarantees.
func (sim *simulation) check(p *plannedCall, c *Call) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	want := bodyFor(c.RequestID, c.Key, string(c.Body))
	switch {
	case p.result != nil && p.readErr == nil && p.responseBody != want:
		sim.addViolation("%s got the body %q", p.id, p.responseBody)
	case p.result != nil && len(sim.executions[c.RequestID])+len(sim.executions[c.Key]) == 0:
		sim.addViolation("%s got a response but was never run", p.id)
	case p.refusal != nil && p.refusal.Ran == refusals.RanNo:
		if c.Key == "" || p.refusal.Reason == refusals.KeyReused {
			return
		}
		for _, run := range sim.executions[c.Key] {
			if run.at.Before(p.ended) {
				sim.addViolation("%s was refused as %s, not run, but its key ran", p.id, p.refusal.Reason)
			}
		}
	}
	if p.refusal != nil && (p.refusal.Reason == "" || p.refusal.Ran == "" || p.refusal.Detail == "" || p.refusal.Remedy == "") {
		sim.addViolation("%s: incomplete refusal %+v", p.id, p.refusal)
	}
}

// TestAtMostOnceAndTruthfulNotRun guards against a request that runs twice under one idempotency key, a refusal as "not run" of a
// request that ran or of which an earlier attempt runs afterwards, a response that belongs to another request, two sends of a call
// to one endpoint, sends after the deadline, more retries than the allowance covers, and grants that are never released or
// released twice. The generated calls overlap and repeat keys at the same host and at other hosts. Sends and relays fail at each
// step, and hosts restart, pause and see large jumps of time.
func TestAtMostOnceAndTruthfulNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans, restarts := drawCalls(rt)
		var violations []string
		faketime.Test(t, func(*testing.T) { violations = runCalls(plans, restarts) })
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}

func drawCalls(t *rapid.T) (plans []*plannedCall, restarts []time.Duration) {
	for i := range rapid.IntRange(1, 14).Draw(t, "calls") {
		p := &plannedCall{id: fmt.Sprintf("r%d", i), at: time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Millisecond,
			host: rapid.IntRange(0, 2).Draw(t, "host"), key: rapid.IntRange(0, 2).Draw(t, "key"),
			body:       rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
			attempt:    keys.Attempt{Number: rapid.SampledFrom([]uint16{0, 0, 1}).Draw(t, "attempt"), Numbered: true},
			idempotent: rapid.IntRange(0, 2).Draw(t, "idempotent") == 0, callerDisconnects: rapid.IntRange(0, 4).Draw(t, "away") == 0,
			sends: rapid.SliceOfN(rapid.IntRange(0, sendKinds-1), 3, 3).Draw(t, "sends"), relay: rapid.IntRange(0, relayKinds-1).Draw(t, "relay"),
			ignoreExcluded: rapid.IntRange(0, 5).Draw(t, "ignore") == 0, deadlineMS: rapid.SampledFrom([]int{4, 20, 500}).Draw(t, "deadline")}
		// Rarely, the pause is long enough for keys to expire.
		p.pause = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 7, 400, 100_000, 400_000}).Draw(t, "pause")) * time.Millisecond
		if rapid.IntRange(0, 6).Draw(t, "late") == 0 {
			p.at += time.Duration(rapid.IntRange(1, 8).Draw(t, "minutes")) * time.Minute
		}
		plans = append(plans, p)
	}
	numberAttempts(plans, rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "numbered"))
	for range rapid.IntRange(0, 2).Draw(t, "restarts") {
		restarts = append(restarts, time.Duration(rapid.IntRange(0, 50).Draw(t, "restart"))*time.Millisecond)
	}
	return plans, restarts
}

// numberAttempts numbers the attempts of each key in the order in which they are sent, if numbered is set for the key. Otherwise it
// marks the first attempt as sent with a new key.
func numberAttempts(plans []*plannedCall, numbered []bool) {
	sent := slices.Clone(plans)
	slices.SortStableFunc(sent, func(a, b *plannedCall) int { return cmp.Compare(a.at, b.at) })
	var next [3]uint16
	for _, p := range sent {
		if p.idempotent {
			continue
		}
		p.attempt = keys.Attempt{NewKey: next[p.key] == 0}
		if numbered[p.key] {
			p.attempt = keys.Attempt{Number: next[p.key], Numbered: true}
		}
		next[p.key]++
	}
}

// newSimulation returns a simulation of three hosts that run the planned calls.
func newSimulation(plans []*plannedCall) *simulation {
	sim := &simulation{plans: map[string]*plannedCall{}, executions: map[string][]execution{}, sends: map[string]int{},
		grants: map[uint64]bool{}}
	for _, p := range plans {
		sim.plans[p.id] = p
	}
	for i := range 3 {
		sim.hosts = append(sim.hosts, sim.host(i, 0))
	}
	return sim
}

// runCalls runs the calls concurrently, restarts hosts after the given pauses, and returns the violations.
func runCalls(plans []*plannedCall, restarts []time.Duration) []string {
	sim := newSimulation(plans)
	var callerKeys []string
	for i, x := range sim.hosts {
		callerKeys = append(callerKeys, x.KeyPrefix()+"."+strings.Repeat(fmt.Sprint(i), 16))
	}
	firstAttempts := 0
	var wg sync.WaitGroup
	for _, p := range plans {
		if p.attempt.Number == 0 {
			firstAttempts++
		}
		wg.Go(func() { sim.call(p, callerKeys[p.key]) })
	}
	for i, after := range restarts {
		time.Sleep(after)
		sim.mu.Lock()
		sim.hosts[i] = sim.host(i, 1)
		sim.mu.Unlock()
	}
	wg.Wait()
	sim.pending.Wait()
	for _, p := range plans {
		if p.refusal == nil || p.refusal.Ran != refusals.RanNo {
			continue
		}
		if len(sim.executions[p.id]) > 0 {
			sim.addViolation("%s was refused as %s, not run, but it ran", p.id, p.refusal.Reason)
		}
		for _, run := range sim.executions[p.keyText] {
			if !p.attempt.IsFirst() && run.body == string(rune('a'+p.body)) && run.number <= p.attempt.Number {
				sim.addViolation("%s was refused as %s, not run, but attempt %d of it ran %v later", p.id, p.refusal.Reason, run.number,
					run.at.Sub(p.ended))
			}
		}
	}
	if len(sim.grants) != 0 {
		sim.addViolation("%d grants were never released", len(sim.grants))
	}
	if bound := float64(maxSavedRetries*(3+len(restarts))) + float64(firstAttempts)*0.2; float64(sim.resends) > bound {
		sim.addViolation("%d resends, bound %g", sim.resends, bound)
	}
	return sim.violations
}

// TestLateAttempt guards against an attempt of a request that waits at a paused host and runs after a later attempt was refused as
// "not run".
func TestLateAttempt(t *testing.T) {
	for _, numbered := range []bool{false, true} {
		sim := newSimulation(nil)
		x := sim.hosts[0]
		key := x.KeyPrefix() + "." + strings.Repeat("k", 16)
		send := func(id string, number uint16, kind int) refusals.Reason {
			sim.plans[id] = &plannedCall{id: id, sends: slices.Repeat([]int{kind}, sendKinds)}
			a, r := x.ExecuteRelayed(t.Context(), &Call{RequestID: id, Operation: &contract.Operation{Name: "op"}, Limits: testLimits,
				Deadline: time.Now().Add(time.Hour), Key: key, Attempt: keys.Attempt{Number: number, Numbered: numbered}})
			if a != nil {
				a.Finish(BodyComplete)
				return ""
			}
			if r.Ran != refusals.RanNo {
				t.Errorf("numbered %t, attempt %s: ran %s, want no", numbered, id, r.Ran)
			}
			return r.Reason
		}
		second, third, last := uint16(0), uint16(0), refusals.KeyRefused
		if numbered {
			second, third, last = 1, 2, ""
		}
		got := []refusals.Reason{send("second", second, sendConnectFails), send("first", 0, sendResponds), send("third", third, sendResponds)}
		if want := []refusals.Reason{refusals.UpstreamConnectFailed, refusals.KeyRefused, last}; !slices.Equal(got, want) {
			t.Errorf("numbered %t: %q, want %q", numbered, got, want)
		}
		if len(sim.violations) > 0 {
			t.Error(sim.violations)
		}
	}
}

// TestAllowance guards against more retries than the retry percentage allows, whether the executor or the caller makes them.
func TestAllowance(t *testing.T) {
	sim := newSimulation(nil)
	x := sim.hosts[0]
	refused := 0
	for i := range 1000 {
		p := &plannedCall{id: fmt.Sprint(i), sends: []int{sendRefused, sendRefused, sendRefused},
			attempt: keys.Attempt{Number: uint16(i % 2), Numbered: true}}
		sim.plans[p.id] = p
		_, r := x.Execute(t.Context(), &Call{RequestID: p.id, Operation: &contract.Operation{Idempotent: true}, Limits: testLimits,
			Deadline: time.Now().Add(time.Hour), Attempt: p.attempt})
		if r.Reason == refusals.RetryAllowanceExceeded {
			refused++
		}
	}
	if sim.resends > maxSavedRetries+100 || sim.resends < 100 || refused == 0 {
		t.Fatalf("%d resends for 500 first attempts at a retry percentage of 20, %d repeats refused", sim.resends, refused)
	}
}

// TestUrgentRetries guards against retries of other calls that use up the retries reserved for urgent calls, and against a
// reserve that raises the total number of retries.
func TestUrgentRetries(t *testing.T) {
	sim := newSimulation(nil)
	x := sim.hosts[0]
	repeat := func(id string, class contract.Class) bool {
		sim.plans[id] = &plannedCall{id: id, sends: slices.Repeat([]int{sendResponds}, sendKinds)}
		a, _ := x.Execute(t.Context(), &Call{RequestID: id, Operation: &contract.Operation{Idempotent: true, Class: class}, Limits: testLimits,
			Deadline: time.Now().Add(time.Hour), Attempt: keys.Attempt{Number: 1, Numbered: true}})
		if a != nil {
			a.Finish(BodyComplete)
		}
		return a != nil
	}
	allowed := map[contract.Class]int{}
	for i := range 100 {
		for _, class := range []contract.Class{contract.Background, contract.Normal} {
			if repeat(fmt.Sprint(class, i), class) {
				allowed[class]++
			}
		}
	}
	for i := range 100 {
		if repeat(fmt.Sprint("urgent", i), contract.Urgent) {
			allowed[contract.Urgent]++
		}
	}
	if others := allowed[contract.Normal] + allowed[contract.Background]; others != maxSavedRetries-urgentReservedRetries ||
		allowed[contract.Urgent] != urgentReservedRetries {
		t.Fatalf("%v repeats allowed, want %d urgent and %d others", allowed, urgentReservedRetries, maxSavedRetries-urgentReservedRetries)
	}
}
