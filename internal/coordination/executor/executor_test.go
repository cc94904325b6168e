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
	sendAnswers = iota
	sendConnectFails
	sendCutBeforeRun
	sendCutAfterRun
	sendRefused
	sendBodyCut
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

// plan is one generated call with its outcome.
type plan struct {
	at, pause   time.Duration
	host, key   int
	body        int
	copied      keys.Copy
	idempotent  bool
	goesAway    bool
	sends       []int
	relay       int
	ignoreAvoid bool
	id, keyText string
	deadlineMS  int
	result      *Answer
	refusal     *refusals.Refusal
	text        string
	textErr     error
	ended       time.Time
}

// ran is one execution of a request by an upstream.
type ran struct {
	at     time.Time
	body   string
	number uint16
}

// world simulates three hosts and their upstreams. It records all executions of requests and all violations of guarantees.
type world struct {
	mu      sync.Mutex
	hosts   []*Executor
	plans   map[string]*plan
	runs    map[string][]ran // by key or request id
	sends   map[string]int   // by request id and endpoint
	resends int
	grants  map[uint64]bool
	next    uint64
	faults  []string
	pending sync.WaitGroup
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) Acquire(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	avoid := map[endpoints.ID]bool{}
	for _, id := range r.Avoid {
		avoid[id] = !w.plans[r.ID].ignoreAvoid
	}
	for i := range 4 {
		id := endpoints.ID{Address: fmt.Sprintf("e%d", (int(w.next)+i)%4)}
		if !avoid[id] {
			w.next++
			w.grants[w.next] = true
			return dispatch.Grant{ID: w.next, Endpoint: endpoints.Endpoint{ID: id}}, nil
		}
	}
	return dispatch.Grant{}, &dispatch.Denied{Reason: refusals.NoUpstream, Detail: "none left"}
}

func (w *world) Release(g dispatch.Grant, _ dispatch.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.grants[g.ID] {
		w.fault("grant %d released twice", g.ID)
	}
	delete(w.grants, g.ID)
}

func (w *world) MarkLeaving(endpoints.ID) bool { return true }
func (w *world) IsLeaving(endpoints.ID) bool   { return false }

func (w *world) run(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := ran{time.Now(), string(c.Body), c.Copy.Number}
	w.runs[c.RequestID] = append(w.runs[c.RequestID], run)
	if c.Key != "" {
		w.runs[c.Key] = append(w.runs[c.Key], run)
		if len(w.runs[c.Key]) > 1 {
			w.fault("key %s ran twice", c.Key)
		}
	}
}

// Send implements Sender. Each step takes some time, so that calls overlap.
func (w *world) Send(ctx context.Context, e endpoints.Endpoint, c *Call) (*Response, error) {
	w.mu.Lock()
	p := w.plans[c.RequestID]
	if len(p.sends) < sendKinds {
		p.sends = append(p.sends, sendAnswers)
	}
	kind := p.sends[0]
	p.sends = p.sends[1:]
	w.sends[c.RequestID+e.Address]++
	if w.sends[c.RequestID+e.Address] > 1 {
		w.fault("%s was sent twice to %s", c.RequestID, e.Address)
	}
	w.sends[c.RequestID]++
	if w.sends[c.RequestID] > 1 || c.Copy.Number > 0 {
		w.resends++
	}
	if !time.Now().Before(c.Deadline) {
		w.fault("%s was sent after its deadline", c.RequestID)
	}
	w.mu.Unlock()
	time.Sleep(3 * time.Millisecond)
	switch kind {
	case sendConnectFails:
		return nil, &SendError{Err: errors.New("refused")}
	case sendCutBeforeRun:
		return nil, &SendError{Written: true, Err: errors.New("reset")}
	case sendRefused:
		return &Response{Status: 503, Refused: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	case sendHangsNotRun:
		<-ctx.Done()
		return nil, &SendError{Written: true, Err: ctx.Err()}
	case sendRunsLate:
		w.pending.Add(1)
		go func() {
			defer w.pending.Done()
			time.Sleep(29 * time.Millisecond)
			w.run(c)
		}()
		return nil, &SendError{Written: true, Err: errors.New("reset")}
	}
	w.run(c)
	time.Sleep(2 * time.Millisecond)
	switch kind {
	case sendCutAfterRun:
		return nil, &SendError{Written: true, Err: io.ErrUnexpectedEOF}
	case sendHangsRun:
		<-ctx.Done()
		return nil, &SendError{Written: true, Err: ctx.Err()}
	}
	text := answerTo(c.RequestID, c.Key, string(c.Body))
	body := io.Reader(strings.NewReader(text))
	if kind == sendBodyCut {
		body = io.MultiReader(strings.NewReader(text[:len(text)/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	return &Response{Status: 200, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(body)}, nil
}

// answerTo returns the response body for a request: its id and body, or for a request with a key its key and body, because a
// repeat has another id.
func answerTo(id, key, body string) string {
	if key != "" {
		id = key
	}
	return strings.Repeat(id+" "+body+";", 3)
}

// Relay implements the relay between the hosts of the world.
func (w *world) Relay(ctx context.Context, host string, c *Call) (*Answer, *refusals.Refusal, error) {
	w.mu.Lock()
	kind := w.plans[c.RequestID].relay
	var target *Executor
	for i, x := range w.hosts {
		if fmt.Sprintf("h%d", i) == host {
			target = x
		}
	}
	w.mu.Unlock()
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
		w.pending.Add(1)
		go func() {
			defer w.pending.Done()
			time.Sleep(41 * time.Millisecond)
			if a, _ := target.ExecuteRelayed(context.Background(), c); a != nil {
				a.Finish(BodyAbandoned)
			}
		}()
		return nil, nil, errors.New("no answer")
	}
	a, r := target.ExecuteRelayed(ctx, c)
	return a, r, nil
}

func (w *world) host(i, generation int) *Executor {
	x := New(Config{Granter: w, Sender: w, Marks: w, Relay: w, Keys: newTestKeys(i, generation), Hedge: i == 1})
	*x.responseTimes.forService(testLimits.Name) = responseTimeEstimator{estimate: 4 * time.Millisecond, observed: hedgeMinObservations}
	return x
}

func newTestKeys(host, generation int) *keys.Table {
	return keys.NewTable(keys.Config{Host: fmt.Sprintf("h%d", host), Incarnation: fmt.Sprintf("%016x", generation), Origin: time.Now()})
}

var testLimits = &limits.Service{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: 2 * time.Minute, RetryPercent: 20, Rate: 100}

func (w *world) call(p *plan, key string) {
	time.Sleep(p.at)
	op := &contract.Operation{Name: "op", Idempotent: p.idempotent, DeadlineMS: p.deadlineMS}
	c := &Call{RequestID: p.id, Operation: op, Limits: testLimits, Method: "POST", Path: "/x", Body: []byte{byte('a' + p.body)},
		Deadline: time.Now().Add(time.Duration(p.deadlineMS) * time.Millisecond), Copy: p.copied}
	if !p.idempotent {
		c.Key, p.keyText = key, key
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	if p.goesAway {
		time.AfterFunc(4*time.Millisecond, cancel)
	}
	time.Sleep(p.pause) // the host is paused after it has received the request
	w.mu.Lock()
	x := w.hosts[p.host]
	w.mu.Unlock()
	p.result, p.refusal = x.Execute(ctx, c)
	p.ended = time.Now()
	if p.result != nil {
		data, err := io.ReadAll(p.result.Body)
		p.text, p.textErr = string(data), err
		end := BodyWhole
		if err != nil {
			end = BodyCut
		}
		p.result.Finish(end)
	}
	w.check(p, c)
}

// check compares the outcome of a call with the executions so far and records violations of the guarantees.
func (w *world) check(p *plan, c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	want := answerTo(c.RequestID, c.Key, string(c.Body))
	switch {
	case p.result != nil && p.textErr == nil && p.text != want:
		w.fault("%s got the answer %q", p.id, p.text)
	case p.result != nil && len(w.runs[c.RequestID])+len(w.runs[c.Key]) == 0:
		w.fault("%s got a response but was never run", p.id)
	case p.refusal != nil && p.refusal.Ran == refusals.RanNo:
		if c.Key == "" || p.refusal.Reason == refusals.KeyReused {
			return
		}
		for _, run := range w.runs[c.Key] {
			if run.at.Before(p.ended) {
				w.fault("%s was refused as %s, not run, but its key ran", p.id, p.refusal.Reason)
			}
		}
	}
	if p.refusal != nil && (p.refusal.Reason == "" || p.refusal.Ran == "" || p.refusal.Detail == "" || p.refusal.Remedy == "") {
		w.fault("%s: incomplete refusal %+v", p.id, p.refusal)
	}
}

// TestNeverTwiceNeverFalselyNo guards against a request that runs twice under one idempotency key, a refusal as "not run" of a
// request that ran or of which an earlier copy runs afterwards, a response that belongs to another request, two sends of a call
// to one endpoint, sends after the deadline, more retries than the allowance covers, and grants that are never released or
// released twice. The generated calls overlap and repeat keys at the same host and at other hosts. Sends and relays fail at each
// step, and hosts restart, pause and see large jumps of time.
func TestNeverTwiceNeverFalselyNo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans, restarts := drawPlans(rt)
		var faults []string
		faketime.Test(t, func(*testing.T) { faults = runPlans(plans, restarts) })
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n"))
		}
	})
}

func drawPlans(t *rapid.T) (plans []*plan, restarts []time.Duration) {
	for i := range rapid.IntRange(1, 14).Draw(t, "calls") {
		p := &plan{id: fmt.Sprintf("r%d", i), at: time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Millisecond,
			host: rapid.IntRange(0, 2).Draw(t, "host"), key: rapid.IntRange(0, 2).Draw(t, "key"),
			body:       rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
			copied:     keys.Copy{Number: rapid.SampledFrom([]uint16{0, 0, 1}).Draw(t, "attempt"), Stated: true},
			idempotent: rapid.IntRange(0, 2).Draw(t, "idempotent") == 0, goesAway: rapid.IntRange(0, 4).Draw(t, "away") == 0,
			sends: rapid.SliceOfN(rapid.IntRange(0, sendKinds-1), 3, 3).Draw(t, "sends"), relay: rapid.IntRange(0, relayKinds-1).Draw(t, "relay"),
			ignoreAvoid: rapid.IntRange(0, 5).Draw(t, "ignore") == 0, deadlineMS: rapid.SampledFrom([]int{4, 20, 500}).Draw(t, "deadline")}
		// Rarely, a pause as long as the time after which keys expire.
		p.pause = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 7, 400, 100_000, 400_000}).Draw(t, "pause")) * time.Millisecond
		if rapid.IntRange(0, 6).Draw(t, "late") == 0 {
			p.at += time.Duration(rapid.IntRange(1, 8).Draw(t, "minutes")) * time.Minute
		}
		plans = append(plans, p)
	}
	numberCopies(plans, rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "stated"))
	for range rapid.IntRange(0, 2).Draw(t, "restarts") {
		restarts = append(restarts, time.Duration(rapid.IntRange(0, 50).Draw(t, "restart"))*time.Millisecond)
	}
	return plans, restarts
}

// numberCopies numbers the copies of each key in the order in which they are sent, if stated is set for the key. Otherwise it
// marks the first copy as sent with a new key.
func numberCopies(plans []*plan, stated []bool) {
	sent := slices.Clone(plans)
	slices.SortStableFunc(sent, func(a, b *plan) int { return cmp.Compare(a.at, b.at) })
	var next [3]uint16
	for _, p := range sent {
		if p.idempotent {
			continue
		}
		p.copied = keys.Copy{NewKey: next[p.key] == 0}
		if stated[p.key] {
			p.copied = keys.Copy{Number: next[p.key], Stated: true}
		}
		next[p.key]++
	}
}

// newWorld returns a world with three hosts for the calls.
func newWorld(plans []*plan) *world {
	w := &world{plans: map[string]*plan{}, runs: map[string][]ran{}, sends: map[string]int{}, grants: map[uint64]bool{}}
	for _, p := range plans {
		w.plans[p.id] = p
	}
	for i := range 3 {
		w.hosts = append(w.hosts, w.host(i, 0))
	}
	return w
}

// runPlans runs the calls concurrently, restarts hosts after the given pauses, and returns the violations.
func runPlans(plans []*plan, restarts []time.Duration) []string {
	w := newWorld(plans)
	var made []string
	for i, x := range w.hosts {
		made = append(made, x.KeyPrefix()+"."+strings.Repeat(fmt.Sprint(i), 16))
	}
	firsts := 0
	var wg sync.WaitGroup
	for _, p := range plans {
		if p.copied.Number == 0 {
			firsts++
		}
		wg.Go(func() { w.call(p, made[p.key]) })
	}
	for i, after := range restarts {
		time.Sleep(after)
		w.mu.Lock()
		w.hosts[i] = w.host(i, 1)
		w.mu.Unlock()
	}
	wg.Wait()
	w.pending.Wait()
	for _, p := range plans {
		if p.refusal == nil || p.refusal.Ran != refusals.RanNo {
			continue
		}
		if len(w.runs[p.id]) > 0 {
			w.fault("%s was refused as %s, not run, but it ran", p.id, p.refusal.Reason)
		}
		for _, run := range w.runs[p.keyText] {
			if !p.copied.First() && run.body == string(rune('a'+p.body)) && run.number <= p.copied.Number {
				w.fault("%s was refused as %s, not run, but copy %d of it ran %v later", p.id, p.refusal.Reason, run.number, run.at.Sub(p.ended))
			}
		}
	}
	if len(w.grants) != 0 {
		w.fault("%d grants were never released", len(w.grants))
	}
	if bound := float64(maxSavedRetries*(3+len(restarts))) + float64(firsts)*0.2; float64(w.resends) > bound {
		w.fault("%d resends, bound %g", w.resends, bound)
	}
	return w.faults
}

// TestLateCopy guards against a copy of a request that waits at a paused host and runs after a later copy was refused as "not
// run".
func TestLateCopy(t *testing.T) {
	for _, stated := range []bool{false, true} {
		w := newWorld(nil)
		x := w.hosts[0]
		key := x.KeyPrefix() + "." + strings.Repeat("k", 16)
		send := func(id string, number uint16, kind int) refusals.Reason {
			w.plans[id] = &plan{id: id, sends: slices.Repeat([]int{kind}, sendKinds)}
			a, r := x.ExecuteRelayed(t.Context(), &Call{RequestID: id, Operation: &contract.Operation{Name: "op"}, Limits: testLimits,
				Deadline: time.Now().Add(time.Hour), Key: key, Copy: keys.Copy{Number: number, Stated: stated}})
			if a != nil {
				a.Finish(BodyWhole)
				return ""
			}
			if r.Ran != refusals.RanNo {
				t.Errorf("stated %t, copy %s: ran %s, want no", stated, id, r.Ran)
			}
			return r.Reason
		}
		second, third, last := uint16(0), uint16(0), refusals.KeyRefused
		if stated {
			second, third, last = 1, 2, ""
		}
		got := []refusals.Reason{send("second", second, sendConnectFails), send("first", 0, sendAnswers), send("third", third, sendAnswers)}
		if want := []refusals.Reason{refusals.UpstreamConnectFailed, refusals.KeyRefused, last}; !slices.Equal(got, want) {
			t.Errorf("stated %t: %q, want %q", stated, got, want)
		}
		if len(w.faults) > 0 {
			t.Error(w.faults)
		}
	}
}

// TestAllowance guards against more retries than the retry percentage allows, whether the executor or the caller makes them.
func TestAllowance(t *testing.T) {
	w := newWorld(nil)
	x := w.hosts[0]
	refused := 0
	for i := range 1000 {
		p := &plan{id: fmt.Sprint(i), sends: []int{sendRefused, sendRefused, sendRefused}, copied: keys.Copy{Number: uint16(i % 2), Stated: true}}
		w.plans[p.id] = p
		_, r := x.Execute(t.Context(), &Call{RequestID: p.id, Operation: &contract.Operation{Idempotent: true}, Limits: testLimits,
			Deadline: time.Now().Add(time.Hour), Copy: p.copied})
		if r.Reason == refusals.RetryAllowanceExceeded {
			refused++
		}
	}
	if w.resends > maxSavedRetries+100 || w.resends < 100 || refused == 0 {
		t.Fatalf("%d resends for 500 first attempts at a retry percentage of 20, %d repeats refused", w.resends, refused)
	}
}

// TestUrgentRetries guards against retries of other calls that use up the retries reserved for urgent calls, and against a
// reserve that raises the total number of retries.
func TestUrgentRetries(t *testing.T) {
	w := newWorld(nil)
	x := w.hosts[0]
	repeat := func(id string, class contract.Class) bool {
		w.plans[id] = &plan{id: id, sends: slices.Repeat([]int{sendAnswers}, sendKinds)}
		a, _ := x.Execute(t.Context(), &Call{RequestID: id, Operation: &contract.Operation{Idempotent: true, Class: class}, Limits: testLimits,
			Deadline: time.Now().Add(time.Hour), Copy: keys.Copy{Number: 1, Stated: true}})
		if a != nil {
			a.Finish(BodyWhole)
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
	if others := allowed[contract.Normal] + allowed[contract.Background]; others != maxSavedRetries-urgentReservedRetries || allowed[contract.Urgent] != urgentReservedRetries {
		t.Fatalf("%v repeats allowed, want %d urgent and %d others", allowed, urgentReservedRetries, maxSavedRetries-urgentReservedRetries)
	}
}
