package load

import (
	"context"
	"sync"
	"time"
)

// Ran tells whether an upstream ran a request, as far as the response to the caller says.
type Ran string

// Values of Ran.
const (
	RanYes     Ran = "yes"
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// NoAnswer is the reason of an outcome for which no host sent a response.
const NoAnswer = "no_answer"

// Outcome is the outcome of one request as its caller saw it.
type Outcome struct {
	Answered bool   // a complete response of an upstream arrived
	Failed   bool   // the response's status is 500 or above
	Body     string // of the response
	Ran      Ran
	Reason   string // why there is no response of an upstream
	Host     string // the entry host of the last attempt: its address, or the name that it gave in its response
	Attempts int    // number of attempts that the caller made, at all hosts together
}

// Result is the outcome of a request with its latency.
type Result struct {
	Outcome
	Latency time.Duration // from the intended start to the end
	Late    time.Duration // from the intended start to the actual one
}

// Run starts each request of a plan at its intended time, whether or not earlier ones have completed (open loop). At most
// maxInFlight requests are in flight. A request that waits for this limit starts late, and its latency includes the wait. The
// results are in the order of the plan. Once the context has ended, the remaining requests are not started; their outcome is RanNo
// with the reason not_started.
func Run(ctx context.Context, plan []Request, maxInFlight int, do func(context.Context, *Request) Outcome) []Result {
	results := make([]Result, len(plan))
	inFlight := make(chan struct{}, maxInFlight)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range plan {
		intended := start.Add(plan[i].At)
		if !sleepUntil(ctx, intended) {
			results[i] = Result{Outcome: Outcome{Ran: RanNo, Reason: "not_started"}}
			continue
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			late := time.Since(intended)
			out := do(ctx, &plan[i])
			results[i] = Result{Outcome: out, Latency: time.Since(intended), Late: late}
		})
	}
	wg.Wait()
	return results
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
