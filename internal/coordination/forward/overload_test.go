package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// slottedService simulates endpoints that run at most as many requests as they have slots, and queue some more.
type slottedService struct {
	*fakeService
	rejected int
}

// slottedQueue is the number of requests that a simulated endpoint queues.
const slottedQueue = 4

// newSlottedService returns a service of endpoints with two slots each.
func newSlottedService(count int) *slottedService {
	ups := map[string]*fakeUpstream{}
	for n := range count {
		ups[fmt.Sprint(n)] = &fakeUpstream{duration: usualDuration}
	}
	return &slottedService{fakeService: newFakeService(ups)}
}

// forwarder returns a forwarder for the service.
func (f *slottedService) forwarder() *Forwarder {
	fw := f.fakeService.forwarder(0)
	fw.cfg.Sender, fw.cfg.Prober, fw.cfg.Random = f, f, placement.Random
	return fw
}

// Send implements executor.Sender.
func (f *slottedService) Send(ctx context.Context, e endpoints.Endpoint, c *executor.Call) (*executor.Response, error) {
	f.mu.Lock()
	u := f.ups[e.Address]
	if u.load.Running+u.load.Waiting >= u.load.Slots+slottedQueue {
		f.rejected++
		f.mu.Unlock()
		return refusedResponse()
	}
	wait := time.Duration(0)
	if u.load.Running == u.load.Slots {
		u.load.Waiting++
		wait = u.duration * time.Duration(u.load.Waiting) / time.Duration(u.load.Slots)
	} else {
		u.load.Running++
	}
	f.mu.Unlock()
	time.Sleep(wait)
	resp, err := f.fakeService.Send(ctx, e, c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.load.Waiting > 0 {
		u.load.Waiting--
	} else {
		u.load.Running--
	}
	if err == nil {
		resp.Slots, resp.InFlight, resp.Waiting = u.load.Slots, u.load.Running+u.load.Waiting, u.load.Waiting
	}
	return resp, err
}

// TestOverloadedServiceRefusesAtOnce guards against refusals that come after a wait, slots that stay unused, and answers that come late, while twice as
// many requests arrive as the endpoints can run.
func TestOverloadedServiceRefusesAtOnce(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, length = 10, 4 * time.Second
		interval := usualDuration / (2 * 2 * count)
		f := newSlottedService(count)
		fw := f.forwarder()
		var wg sync.WaitGroup
		var mu sync.Mutex
		inTime, late, refused := 0, 0, 0
		var refusalWait time.Duration
		for n := range int(length / interval) {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * interval)
				c := request(true)
				c.Due = c.Arrived.Add(2 * time.Second)
				r := fw.Run(t.Context(), c)
				took := time.Since(c.Arrived)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.Outcome == Answered && r.Response.Status == http.StatusOK && took <= c.Route.TargetLatency:
					inTime++
				case r.Outcome == Answered:
					late++
				default:
					is.True(r.Outcome.GuaranteesNotRun())
					refused++
					refusalWait += took
				}
			})
		}
		wg.Wait()
		capacity := int(length/usualDuration) * 2 * count
		t.Logf("of %d that can be run: %d in time, %d late; %d refused after %v on average, %d by endpoints", capacity, inTime, late, refused,
			refusalWait/time.Duration(max(1, refused)), f.rejected)
		is.True(inTime >= capacity*8/10)
		is.True(late <= inTime/10)
		is.True(refusalWait/time.Duration(refused) < 40*time.Millisecond) // a fifth of the target latency
		time.Sleep(time.Minute)
	})
}
