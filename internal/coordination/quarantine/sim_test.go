package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// simulation runs the guards of a deployment's hosts on a fake clock: endpoints that run requests and end, hosts that send requests to them and
// exchange updates, some of which is lost.
type simulation struct {
	mu        sync.Mutex
	rng       *rand.Rand
	hosts     []*simHost
	endpoints []*simEndpoint
	loss      float64
	ctx       context.Context
	running   sync.WaitGroup

	poisonRuns    []time.Time // ends of endpoints by the request that ends them
	refusedProper int         // proper requests that were refused as quarantined
	proper        int
}

type simHost struct {
	guard  *Guard
	zone   int
	urgent chan struct{}
}

type simEndpoint struct {
	name  string
	start int // number of the process; odd numbers are those that run
	ended chan struct{}
}

const (
	poison       = "poison"
	simRestart   = 3 * time.Second
	simAttempts  = 2
	simZones     = 3
	settleTime   = 3 * time.Second // from the third end until few more requests may be sent
	allowedAfter = 3
)

func newSimulation(ctx context.Context, seed uint64, hosts, processes int, loss float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), loss: loss, ctx: ctx}
	for i := range processes {
		s.endpoints = append(s.endpoints, &simEndpoint{name: fmt.Sprint("e", i), start: 1, ended: make(chan struct{})})
	}
	for i := range hosts {
		h := &simHost{zone: i % simZones, urgent: make(chan struct{}, 1)}
		h.guard = New(Config{RefusesConnections: func(_ context.Context, e endpoints.Endpoint) bool { return s.hasEnded(e.ID) }, OnCrash: func(Crash, string) {},
			OnVerdict: func(Verdict, int, string) {}, OnUrgent: func() {
				select {
				case h.urgent <- struct{}{}:
				default:
				}
			}})
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.running.Go(func() { s.sendUpdates(h) })
	}
	return s
}

func (s *simulation) random(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *simulation) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// process returns the id of an endpoint's running process, and the channel that is closed at its end.
func (s *simulation) process(e *simEndpoint) (endpoints.ID, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return endpoints.ID{Address: e.name, Incarnation: fmt.Sprint(e.start)}, e.ended, e.start%2 == 1
}

func (s *simulation) hasEnded(id endpoints.ID) bool {
	for _, e := range s.endpoints {
		if current, _, up := s.process(e); current.Address == id.Address {
			return !up || current != id
		}
	}
	return true
}

// end ends a process. The next one starts after a while.
func (s *simulation) end(e *simEndpoint, id endpoints.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fmt.Sprint(e.start) != id.Incarnation || e.start%2 == 0 {
		return false
	}
	e.start++
	close(e.ended)
	time.AfterFunc(simRestart, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.start++
		e.ended = make(chan struct{})
	})
	return true
}

// sendUpdates sends a host's updates to its zone and to two hosts of each other zone, at once or every 200 ms.
func (s *simulation) sendUpdates(h *simHost) {
	for s.ctx.Err() == nil {
		now := time.Now()
		zone, relayed := h.guard.ZoneUpdate(now), h.guard.RelayUpdate(now)
		relays := map[int]int{}
		for _, to := range s.hosts {
			update := zone
			if to.zone != h.zone {
				if relays[to.zone]++; relays[to.zone] > 2 {
					continue
				}
				update = relayed
			}
			if to == h || update.Empty() || float64(s.random(1000)) < 1000*s.loss {
				continue
			}
			time.AfterFunc(2*time.Millisecond, func() { to.guard.HandleUpdate(update, "h", to.zone == h.zone, time.Now()) })
		}
		s.sleep(20 * time.Millisecond)
		select {
		case <-h.urgent:
		case <-time.After(180 * time.Millisecond):
		case <-s.ctx.Done():
		}
	}
}

// request sends a request through a host, as often as its route allows. It reports whether an endpoint answered, and whether it was refused.
func (s *simulation) request(name string, work time.Duration) (answered, refused bool) {
	h := s.hosts[s.random(len(s.hosts))]
	f := fingerprint(name)
	for range simAttempts {
		if _, quarantined := h.guard.Quarantined(f, time.Now()); quarantined {
			return false, true
		}
		e := s.endpoints[s.random(len(s.endpoints))]
		id, ended, up := s.process(e)
		if !up {
			continue // the connection is refused
		}
		select {
		case <-ended:
			h.guard.ConnectionBroke(s.ctx, endpoints.Endpoint{ID: id}, f)
			continue
		case <-time.After(work):
		}
		if name != poison {
			h.guard.Succeeded(f, time.Now())
			return true, false
		}
		if s.end(e, id) {
			s.mu.Lock()
			s.poisonRuns = append(s.poisonRuns, time.Now())
			s.mu.Unlock()
		}
		h.guard.ConnectionBroke(s.ctx, endpoints.Endpoint{ID: id}, f)
	}
	return false, false
}

// client sends a request, and once more if it was not answered.
func (s *simulation) client(name string, work time.Duration) {
	for range 2 {
		answered, refused := s.request(name, work)
		if name != poison && refused {
			s.mu.Lock()
			s.refusedProper++
			s.mu.Unlock()
		}
		if answered || refused {
			return
		}
	}
}

// every starts f at random times, on average in each interval, until the context ends.
func (s *simulation) every(interval time.Duration, f func()) {
	s.running.Go(func() {
		for s.sleep(time.Duration(s.random(int(2 * interval)))) {
			s.running.Go(f)
		}
	})
}

// TestBothErrors measures both errors of the guards: how often a request that ends endpoints is sent on after it has ended three, and how often
// proper requests are refused, new ones and ones that come again. Endpoints also end for other reasons, and messages are lost.
func TestBothErrors(t *testing.T) {
	for _, c := range []struct {
		hosts, endpoints int
		loss             float64
		ordinary         time.Duration // between ends of endpoints for other reasons
		from             time.Duration // when the request that ends endpoints comes first
	}{{15, 12, 0, 0, 0}, {15, 12, 0.03, 2 * time.Second, 0}, {15, 12, 0.2, 500 * time.Millisecond, 0}, {122, 60, 0.03, time.Second, 0},
		{15, 12, 0.2, 500 * time.Millisecond, 8 * time.Second}, {122, 60, 0.03, time.Second, 8 * time.Second}} {
		t.Run(fmt.Sprintf("%d hosts, %.0f%% lost, ordinary ends %v, from %v", c.hosts, 100*c.loss, c.ordinary, c.from), func(t *testing.T) {
			var after, ends, refused, proper int
			for seed := range uint64(6) {
				faketime.Test(t, func(t *testing.T) {
					ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
					defer stop()
					s := newSimulation(ctx, seed, c.hosts, c.endpoints, c.loss)
					s.running.Go(func() {
						if s.sleep(c.from) {
							s.every(250*time.Millisecond, func() { s.client(poison, 90*time.Millisecond) })
						}
					})
					n := 0
					s.every(8*time.Millisecond, func() {
						s.mu.Lock()
						n++
						s.proper++
						name := fmt.Sprint("new", n)
						if n%2 == 0 {
							name = fmt.Sprint("again", n/2%20)
						}
						s.mu.Unlock()
						s.client(name, time.Duration(20+s.random(200))*time.Millisecond)
					})
					if c.ordinary > 0 {
						s.every(c.ordinary, func() {
							e := s.endpoints[s.random(len(s.endpoints))]
							id, _, _ := s.process(e)
							s.end(e, id)
						})
					}
					<-ctx.Done()
					s.running.Wait()
					time.Sleep(simRestart) // the last processes start
					late := 0
					for _, at := range s.poisonRuns {
						if len(s.poisonRuns) > 2 && at.After(s.poisonRuns[2].Add(settleTime)) {
							late++
						}
					}
					is.New(t).True(late <= allowedAfter)
					after, ends, refused, proper = max(after, late), max(ends, len(s.poisonRuns)), refused+s.refusedProper, proper+s.proper
				})
			}
			t.Logf("at most %d endpoints ended, %d of them later than %v after the third; %d of %d proper requests refused", ends, after, settleTime, refused, proper)
			is.New(t).True(float64(refused) <= 0.001*float64(proper))
		})
	}
}
