package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// slottedService simulates endpoints that run at most as many requests as they have slots, and queue some more.
type slottedService struct {
	*fakeService
	rejected  int
	perSecond map[string]float64 // requests per second that an endpoint accepts; unbounded if missing
	accepted  map[string]int
	begin     time.Time
}

// slottedQueue is the number of requests that a simulated endpoint queues.
const slottedQueue = 4

// newSlottedService returns a service of endpoints with two slots each.
func newSlottedService(count int) *slottedService {
	ups := map[string]*fakeUpstream{}
	for n := range count {
		ups[fmt.Sprint(n)] = &fakeUpstream{duration: usualDuration}
	}
	return &slottedService{fakeService: newFakeService(ups), accepted: map[string]int{}, begin: time.Now()}
}

// Send implements executor.Sender.
func (f *slottedService) Send(ctx context.Context, e endpoints.Endpoint, c *executor.Call) (*executor.Response, error) {
	f.mu.Lock()
	u := f.ups[e.Address]
	rate, bounded := f.perSecond[e.Address]
	if u.load.Running+u.load.Waiting >= u.load.Slots+slottedQueue || bounded && float64(f.accepted[e.Address]) >= 1+rate*time.Since(f.begin).Seconds() {
		f.rejected++
		load := u.load
		f.mu.Unlock()
		resp, err := refusedResponse()
		resp.Slots, resp.InFlight, resp.Waiting = load.Slots, load.Running+load.Waiting, load.Waiting
		return resp, err
	}
	f.accepted[e.Address]++
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
