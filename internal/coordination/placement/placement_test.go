package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

const serviceTime = 60 * time.Millisecond

func view(name, zone string, l Load) EndpointView {
	return EndpointView{Endpoint: registry.Endpoint{Name: name, Endpoint: endpoints.Endpoint{
		ID:   endpoints.ID{Address: name, Incarnation: name},
		Zone: zone, Slots: l.Slots}}, Local: zone == "a", Load: l}
}

func idle() Load { return Load{Slots: 2, Slowness: 1} }

func none(endpoints.ID) bool { return false }

func inOrder(int) int { return 0 }

// TestBestAvoidsSlowedMachine guards against choosing by free slots alone. Other workloads slow a machine five times over for a fraction
// of a second; a busy endpoint on a machine of usual speed then answers sooner than an idle one on the slowed machine.
func TestBestAvoidsSlowedMachine(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	slowed, busy := idle(), idle()
	slowed.Slowness, busy.Running = 5, 1
	views := []EndpointView{view("slowed", "a", slowed), view("busy", "a", busy)}
	best, expected := cfg.Best(views, []int{0, 1}, serviceTime, true)
	is.Equal(best, 1)
	is.True(expected < 3*serviceTime)
}

// TestExpectedGrows guards against an expected duration that falls when an endpoint has more requests, is slower, is in another zone or
// is warming up. All decisions compare expected durations.
func TestExpectedGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		l := Load{Running: rapid.IntRange(0, 8).Draw(t, "running"), Waiting: rapid.IntRange(0, 8).Draw(t, "waiting"),
			Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Slowness: rapid.Float64Range(1, 6).Draw(t, "slowness")}
		v := view("x", "a", l)
		base := cfg.ExpectedDuration(&v, serviceTime)
		more := []func(v *EndpointView){
			func(v *EndpointView) { v.Load.Running++ }, func(v *EndpointView) { v.Load.Waiting++ }, func(v *EndpointView) { v.SentSinceLoad++ },
			func(v *EndpointView) { v.Load.Slowness++ }, func(v *EndpointView) { v.Local = false },
			func(v *EndpointView) { v.WarmUpLeft = time.Second },
		}
		for i, f := range more {
			worse := v
			f(&worse)
			if got := cfg.ExpectedDuration(&worse, serviceTime); got < base {
				t.Fatalf("change %d: expected %v, was %v", i, got, base)
			}
		}
	})
}

// TestOldLoadIsForgotten guards against decisions by a load report that is older than loadReportLifetime.
func TestOldLoadIsForgotten(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	fast := view("fast", "a", idle())
	fast.LoadAge = loadReportLifetime + time.Millisecond
	is.Equal(cfg.ExpectedDuration(&fast, serviceTime), time.Duration(assumedSlowness*float64(serviceTime)))
}

// TestRoundsPreferOwnZone guards against needless traffic between availability zones, which is expensive. The first round probes this
// host's zone only, later rounds also the others, and suspect endpoints are probed only if there is nothing else to probe.
func TestRoundsPreferOwnZone(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	views := []EndpointView{view("r1", "b", idle()), view("l1", "a", idle()), view("l2", "a", idle()), view("suspect", "a", idle()),
		view("r2", "b", idle())}
	for i := range views {
		views[i].LoadAge = -1
	}
	views[3].Suspect = true
	rounds := cfg.ProbeRounds(views, none, inOrder)
	is.Equal(len(rounds), 2)
	for _, i := range rounds[0] {
		is.True(views[i].Local && !views[i].Suspect)
	}
	is.Equal(len(rounds[1]), 2)
	rounds = cfg.ProbeRounds(views[3:4], none, inOrder)
	is.Equal(rounds, [][]int{{0}})
}

// TestRoundsProperties guards against probes of an endpoint twice, of an endpoint to avoid, and of one whose load is fresh or to which a
// probe is in flight.
func TestRoundsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		n := rapid.IntRange(0, 30).Draw(t, "n")
		var views []EndpointView
		for i := range n {
			v := view(string(rune('A'+i)), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), idle())
			v.LoadAge = rapid.SampledFrom([]time.Duration{-1, 0, time.Second}).Draw(t, "age")
			v.Suspect, v.ProbeInFlight = rapid.Bool().Draw(t, "suspect"), rapid.Bool().Draw(t, "probe in flight")
			views = append(views, v)
		}
		avoided := rapid.IntRange(0, 30).Draw(t, "avoided")
		rng := rapid.IntRange(0, 1000)
		seen := map[int]bool{}
		for _, round := range cfg.ProbeRounds(views, func(id endpoints.ID) bool { return id.Address == string(rune('A'+avoided)) },
			func(n int) int { return rng.Draw(t, "r") % n }) {
			for _, i := range round {
				if seen[i] || i == avoided || views[i].ProbeInFlight || views[i].HasFreshLoad(cfg.MaxLoadAge) {
					t.Fatalf("endpoint %d of %+v", i, views)
				}
				seen[i] = true
			}
		}
	})
}

// TestAdmit checks admission under overload. A request that finds a free slot in time is sent at once. One that finds no slot waits while
// it can meet its target, and is refused as soon as it cannot. One for which only a slow endpoint has a slot is sent there, but only after
// it has looked for a faster one.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	free := view("free", "a", idle())
	full := view("full", "a", Load{Running: 2, Slots: 2, Slowness: 1})
	early := RequestTiming{ServiceTime: serviceTime, UntilLate: 180 * time.Millisecond, UntilDeadline: 480 * time.Millisecond}
	looked := early
	looked.Waited, looked.UntilLate = 60*time.Millisecond, 120*time.Millisecond
	late := looked
	late.Waited, late.UntilLate, late.UntilDeadline = 150*time.Millisecond, 30*time.Millisecond, 330*time.Millisecond
	is.Equal(cfg.Admit(&free, serviceTime, early), Send)
	is.Equal(cfg.Admit(&free, 300*time.Millisecond, early), Wait)  // looks for a faster endpoint first
	is.Equal(cfg.Admit(&free, 300*time.Millisecond, looked), Send) // no faster endpoint was found
	is.Equal(cfg.Admit(&full, 150*time.Millisecond, early), Wait)
	is.Equal(cfg.Admit(&full, 150*time.Millisecond, looked), Wait)
	is.Equal(cfg.Admit(&full, 150*time.Millisecond, late), Refuse)
	is.Equal(cfg.Admit(&free, 100*time.Millisecond, late), Send) // late, but a slot is free
	is.Equal(cfg.Admit(&free, 400*time.Millisecond, late), Refuse)
	is.Equal(cfg.Admit(nil, 0, early), Wait)
	is.Equal(cfg.Admit(nil, 0, late), Refuse)
}

// TestRetryAfterBounds guards against refusals that let callers retry at once, or that hold them off for longer than an overload lasts.
func TestRetryAfterBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(RetryAfter(serviceTime, serviceTime), minRetryAfter)
	is.Equal(RetryAfter(serviceTime+300*time.Millisecond, serviceTime), 300*time.Millisecond)
	is.Equal(RetryAfter(time.Minute, serviceTime), maxRetryAfter)
}

// TestProbeBudget guards the limit on probes: since the start not more than the rate allows, plus the size of the bucket.
func TestProbeBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 50.0
		b := NewProbeBudget(func() float64 { return rate })
		start := time.Unix(1000, 0)
		now, taken := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			taken += b.Take(rapid.IntRange(0, 11).Draw(t, "n"), now)
			if bound := rate*now.Sub(start).Seconds() + rate*probeBurstSeconds + 1e-6; float64(taken) > bound {
				t.Fatalf("%d probes in %v, want at most %.1f", taken, now.Sub(start), bound)
			}
		}
	})
}

// TestRepeatsOverHosts guards the limit for all hosts together: in each window the repeats of a service are at most the ratio of its
// requests plus the burst. Each host decides by itself. The 15 hosts divide the burst by 11, as happens for a while when 4 hosts join.
func TestRepeatsOverHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RepeatBudget{Ratio: 0.2, Burst: 58, Window: 10 * time.Second}
		const hosts, sharers = 15, 11
		all := make([]*RepeatLimiter, hosts)
		for i := range all {
			all[i] = NewRepeatLimiter(budget, func() int { return sharers })
		}
		now := time.Unix(1000, 0)
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			r := all[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			r.AddRequest("lotdesk", now)
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				if r.Take("lotdesk", now) {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			requests, repeats := 0, 0
			for j := i; j < len(events) && events[j].at.Sub(events[i].at) <= budget.Window; j++ {
				if events[j].repeat {
					repeats++
				} else {
					requests++
				}
			}
			if float64(repeats) > budget.Ratio*float64(requests)+budget.Burst {
				t.Fatalf("%d repeats for %d requests in one window", repeats, requests)
			}
		}
	})
}

// TestRepeatsRefunded guards against a budget that repeats use up although they were not sent.
func TestRepeatsRefunded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRepeatLimiter(RepeatBudget{Ratio: 0, Burst: 10, Window: 10 * time.Second}, func() int { return 1 })
	is.True(r.Take("s", now))
	is.True(r.Take("s", now))
	is.True(!r.Take("s", now)) // a new bucket holds 2 of 4 tokens, see usedBurstShare and initialBurstShare
	r.Refund("s", now)
	is.True(r.Take("s", now))
}

// TestEndpointStatsCountsOwnRequests guards against a burst that goes to one endpoint as a whole: requests that this host has just sent are
// not in the load that the endpoint reported before, and must be added to it.
func TestEndpointStatsCountsOwnRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	stats := NewEndpointStats(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	stats.RecordLoad(e.Endpoint, Load{Running: 1, Slots: 2, Slowness: 1}, now)
	stats.ReserveSend(e.ID, now)
	v := stats.View(e, now)
	busy, _ := v.occupancy()
	is.Equal(busy, 2)
	stats.RecordEnd(e.ID, false, now)
	v = stats.View(e, now)
	busy, _ = v.occupancy()
	is.Equal(busy, 1)
}

// TestEndpointStatsSuspects guards against requests to endpoints that do not answer: such an endpoint is suspect for longer each time,
// until it reports its load again.
func TestEndpointStatsSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	stats := NewEndpointStats(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	stats.RecordUnreachable(e.ID, now)
	is.True(stats.View(e, now.Add(minSuspectTime-1)).Suspect)
	is.True(!stats.View(e, now.Add(minSuspectTime)).Suspect)
	stats.RecordUnreachable(e.ID, now)
	is.True(stats.View(e, now.Add(2*minSuspectTime-1)).Suspect)
	stats.RecordLoad(e.Endpoint, idle(), now)
	is.True(!stats.View(e, now).Suspect)
}

// TestEndpointStatsProbesOnce guards against probes that pile up at an endpoint that does not answer.
func TestEndpointStatsProbesOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	stats := NewEndpointStats(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	is.True(stats.StartProbe(e.ID, now))
	is.True(!stats.StartProbe(e.ID, now))
	is.True(stats.View(e, now).ProbeInFlight)
	stats.EndProbe(e.ID, now)
	is.True(stats.StartProbe(e.ID, now))
}

// TestServiceReportsNoLoad guards against probes of a service whose endpoints report no load.
func TestServiceReportsNoLoad(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	stats := NewEndpointStats(DefaultConfig())
	e := view("e", "a", idle()).Endpoint.Endpoint
	e.Service = "s"
	is.True(!stats.ReportsNoLoad("s", now))
	stats.RecordLoad(e, Load{}, now)
	is.True(stats.ReportsNoLoad("s", now))
	is.True(!stats.ReportsNoLoad("s", now.Add(noLoadLifetime)))
}

// TestEvictUnused guards against statistics that grow with every endpoint that ever existed, and against removing an endpoint that still
// has requests of this host in flight.
func TestEvictUnused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	stats := NewEndpointStats(DefaultConfig())
	gone, used := view("gone", "a", idle()).Endpoint, view("used", "a", idle()).Endpoint
	stats.RecordUnreachable(gone.ID, now)
	stats.ReserveSend(used.ID, now)
	stats.EvictUnused(time.Second, now.Add(time.Minute))
	is.True(!stats.View(gone, now).Suspect)
	is.Equal(stats.View(used, now).InFlight, 1)
}

// TestLostAnswersAreAvoided guards against choosing an endpoint that loses many of its answers while its health and load look good. An
// endpoint that takes twice as long is better, above all for a request that cannot be sent again.
func TestLostAnswersAreAvoided(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	losing, slower := view("losing", "a", idle()), view("slower", "a", Load{Slots: 2, Slowness: 2})
	losing.FailureRate = 0.4
	views := []EndpointView{losing, slower}
	for _, idempotent := range []bool{true, false} {
		best, _ := cfg.Best(views, []int{0, 1}, serviceTime, idempotent)
		is.Equal(best, 1)
	}
	is.True(!cfg.GoodEnough(&losing, serviceTime, serviceTime)) // so that further endpoints are probed
	losing.FailureRate = 0.1
	views[0] = losing
	best, _ := cfg.Best(views, []int{0, 1}, serviceTime, true)
	is.Equal(best, 0)
	best, _ = cfg.Best(views, []int{0, 1}, serviceTime, false)
	is.Equal(best, 1)
}

// TestFailuresFade guards against avoiding an endpoint that has recovered: it gets no requests, so its failure rate must decay with time.
func TestFailuresFade(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	stats := NewEndpointStats(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	stats.ReserveSend(e.ID, now)
	stats.RecordEnd(e.ID, true, now)
	is.Equal(stats.View(e, now).FailureRate, failureWeight)
	is.True(stats.View(e, now.Add(10*failureDecayTime)).FailureRate < maxGoodFailureRate)
}

// TestProbeBudgetClock guards against a budget below zero, which makes the process panic. Requests read the clock before they take from the
// budget, so that Take can be called with an earlier time than in the call before. Seen on tvr-gateway-grown scale-1 at 11.35 s.
func TestProbeBudgetClock(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewProbeBudget(func() float64 { return 1000 })
	is.Equal(b.Take(5000, now.Add(10*time.Millisecond)), 3000)
	is.Equal(b.Take(4, now), 0)
	is.Equal(b.Take(4, now.Add(5*time.Millisecond)), 0)
	is.Equal(b.Take(40, now.Add(20*time.Millisecond)), 10)
}

// TestReserveSlot guards against two requests that take the last free slot of an endpoint: both saw it free before either was sent.
func TestReserveSlot(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	stats := NewEndpointStats(DefaultConfig())
	e := registry.Endpoint{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: "a", Incarnation: "a"}, Slots: 2}}
	stats.RecordLoad(e.Endpoint, Load{Running: 1, Slots: 2, Slowness: 1}, now)
	first, second := stats.View(e, now), stats.View(e, now)
	is.True(stats.ReserveSlot(&first, now))
	is.True(!stats.ReserveSlot(&second, now))
	is.Equal(stats.View(e, now).InFlight, 1)
	stats.RecordEnd(e.ID, false, now)
	is.True(stats.ReserveSlot(&second, now))
}
