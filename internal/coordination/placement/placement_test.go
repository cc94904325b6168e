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

const work = 60 * time.Millisecond

func view(name, zone string, l Load) View {
	return View{Endpoint: registry.Endpoint{Name: name, Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: name, Incarnation: name}, Zone: zone, Slots: l.Slots}},
		Local: zone == "a", Load: l}
}

func idle() Load { return Load{Slots: 2, Slowness: 1} }

func none(endpoints.ID) bool { return false }

func inOrder(int) int { return 0 }

// TestBestAvoidsSlowedMachine answers endpoints that neighbours slow five times over for a fraction of a second: a busy endpoint on a
// usual machine answers sooner than an idle one on a slowed machine.
func TestBestAvoidsSlowedMachine(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	slowed, busy := idle(), idle()
	slowed.Slowness, busy.Running = 5, 1
	views := []View{view("slowed", "a", slowed), view("busy", "a", busy)}
	best, expected := cfg.Best(views, []int{0, 1}, work, true)
	is.Equal(best, 1)
	is.True(expected < 3*work)
}

// TestExpectedGrows guards the order that all decisions rest on: more work or slowness never make an endpoint look faster.
func TestExpectedGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		l := Load{Running: rapid.IntRange(0, 8).Draw(t, "running"), Waiting: rapid.IntRange(0, 8).Draw(t, "waiting"),
			Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Slowness: rapid.Float64Range(1, 6).Draw(t, "slowness")}
		v := view("x", "a", l)
		base := cfg.Expected(&v, work)
		more := []func(v *View){
			func(v *View) { v.Load.Running++ }, func(v *View) { v.Load.Waiting++ }, func(v *View) { v.Since++ },
			func(v *View) { v.Load.Slowness++ }, func(v *View) { v.Local = false },
			func(v *View) { v.WarmLeft = time.Second },
		}
		for i, f := range more {
			worse := v
			f(&worse)
			if got := cfg.Expected(&worse, work); got < base {
				t.Fatalf("change %d: expected %v, was %v", i, got, base)
			}
		}
	})
}

// TestOldLoadIsForgotten guards against decisions by what an endpoint said before its machine changed.
func TestOldLoadIsForgotten(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	fast := view("fast", "a", idle())
	fast.LoadAge = reportLife + time.Millisecond
	is.Equal(cfg.Expected(&fast, work), time.Duration(usualSlowness*float64(work)))
}

// TestRoundsPreferOwnZone answers bytes between availability zones being dear: the own zone is asked first, others only if it has
// nothing good, and endpoints that could not be reached only if nothing else is left.
func TestRoundsPreferOwnZone(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	views := []View{view("r1", "b", idle()), view("l1", "a", idle()), view("l2", "a", idle()), view("dark", "a", idle()), view("r2", "b", idle())}
	for i := range views {
		views[i].LoadAge = -1
	}
	views[3].Suspect = true
	rounds := cfg.Rounds(views, none, inOrder)
	is.Equal(len(rounds), 2)
	for _, i := range rounds[0] {
		is.True(views[i].Local && !views[i].Suspect)
	}
	is.Equal(len(rounds[1]), 2)
	rounds = cfg.Rounds(views[3:4], none, inOrder)
	is.Equal(rounds, [][]int{{0}})
}

// TestRoundsProperties guards against endpoints that are asked twice, though avoided, or though their load is fresh.
func TestRoundsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		n := rapid.IntRange(0, 30).Draw(t, "n")
		var views []View
		for i := range n {
			v := view(string(rune('A'+i)), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), idle())
			v.LoadAge = rapid.SampledFrom([]time.Duration{-1, 0, time.Second}).Draw(t, "age")
			v.Suspect, v.Asked = rapid.Bool().Draw(t, "suspect"), rapid.Bool().Draw(t, "asked")
			views = append(views, v)
		}
		avoided := rapid.IntRange(0, 30).Draw(t, "avoided")
		rng := rapid.IntRange(0, 1000)
		seen := map[int]bool{}
		for _, round := range cfg.Rounds(views, func(id endpoints.ID) bool { return id.Address == string(rune('A'+avoided)) }, func(n int) int { return rng.Draw(t, "r") % n }) {
			for _, i := range round {
				if seen[i] || i == avoided || views[i].Asked || views[i].Fresh(cfg.ReuseAge) {
					t.Fatalf("endpoint %d of %+v", i, views)
				}
				seen[i] = true
			}
		}
	})
}

// TestAdmit answers overload: a request with room goes out at once; one without waits while it can be in time and is refused as soon as it
// cannot; one that a slow endpoint could still serve goes there only after looking for a better one.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	free := view("free", "a", idle())
	full := view("full", "a", Load{Running: 2, Slots: 2, Slowness: 1})
	early := Demand{Work: work, Target: 180 * time.Millisecond, Left: 480 * time.Millisecond}
	looked := early
	looked.Waited, looked.Target = 60*time.Millisecond, 120*time.Millisecond
	late := looked
	late.Waited, late.Target, late.Left = 150*time.Millisecond, 30*time.Millisecond, 330*time.Millisecond
	is.Equal(cfg.Admit(&free, work, early), Send)
	is.Equal(cfg.Admit(&free, 300*time.Millisecond, early), Wait)  // look for a faster one first
	is.Equal(cfg.Admit(&free, 300*time.Millisecond, looked), Send) // nothing faster was found
	is.Equal(cfg.Admit(&full, 150*time.Millisecond, early), Wait)
	is.Equal(cfg.Admit(&full, 150*time.Millisecond, looked), Wait)
	is.Equal(cfg.Admit(&full, 150*time.Millisecond, late), Refuse)
	is.Equal(cfg.Admit(&free, 100*time.Millisecond, late), Send) // late, but there is room
	is.Equal(cfg.Admit(&free, 400*time.Millisecond, late), Refuse)
	is.Equal(cfg.Admit(nil, 0, early), Wait)
	is.Equal(cfg.Admit(nil, 0, late), Refuse)
}

// TestRetryAfterBounds guards against refusals that send callers back at once, or away for longer than an overload lasts.
func TestRetryAfterBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(RetryAfter(work, work), minRetryAfter)
	is.Equal(RetryAfter(work+300*time.Millisecond, work), 300*time.Millisecond)
	is.Equal(RetryAfter(time.Minute, work), maxRetryAfter)
}

// TestQueueOrder answers a burst: when an endpoint gets room, the most urgent request is woken first, then the one that is late first.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	now := time.Unix(1000, 0)
	lookup := q.Join(2, now.Add(time.Millisecond))
	later := q.Join(1, now.Add(2*time.Second))
	sooner := q.Join(1, now.Add(time.Second))
	for _, want := range []*Waiter{sooner, later, lookup} {
		q.Released()
		select {
		case <-want.Wake:
		default:
			t.Fatal("another request was woken")
		}
		q.Leave(want)
	}
	is.Equal(q.Len(), 0)
	q.Released() // nobody waits
}

// TestQueueWakesNext guards against a wake-up that is lost because the first request is already awake.
func TestQueueWakesNext(t *testing.T) {
	is := is.New(t)
	var q Queue
	first, second := q.Join(1, time.Unix(1, 0)), q.Join(1, time.Unix(2, 0))
	q.Released()
	q.Released()
	is.Equal(len(first.Wake), 1)
	is.Equal(len(second.Wake), 1)
}

// TestAskBudget guards the bound on questions: over any time not more than the rate allows, plus what was saved up.
func TestAskBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 50.0
		b := NewAskBudget(func() float64 { return rate })
		start := time.Unix(1000, 0)
		now, taken := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			taken += b.Take(rapid.IntRange(0, 11).Draw(t, "n"), now)
			if bound := rate*now.Sub(start).Seconds() + rate*askBurst + 1e-6; float64(taken) > bound {
				t.Fatalf("%d questions in %v, allowed are %.1f", taken, now.Sub(start), bound)
			}
		}
	})
}

// TestRepeatsOverHosts guards the bound over all hosts together: in each window the repeats of a service stay below the ratio of its
// requests plus the burst, though each host decides by itself, and though 15 hosts are used that share the burst as if they were 11.
func TestRepeatsOverHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RepeatBudget{Ratio: 0.2, Burst: 58, Window: 10 * time.Second}
		const hosts, sharers = 15, 11
		all := make([]*Repeats, hosts)
		for i := range all {
			all[i] = NewRepeats(budget, func() int { return sharers })
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
			r.Earn("lotdesk", now)
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
				t.Fatalf("%d repeats of %d requests in one window", repeats, requests)
			}
		}
	})
}

// TestRepeatsGivenBack guards against a budget that shrinks by repeats that were not sent.
func TestRepeatsGivenBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRepeats(RepeatBudget{Ratio: 0, Burst: 10, Window: 10 * time.Second}, func() int { return 1 })
	is.True(r.Take("s", now))
	is.True(r.Take("s", now))
	is.True(!r.Take("s", now)) // half of the used burst at the start
	r.GiveBack("s", now)
	is.True(r.Take("s", now))
}

// TestBoardCountsOwnRequests answers a burst on one host: requests that it has just sent are not in the load that the endpoint told
// before, and must not all go to the same endpoint.
func TestBoardCountsOwnRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBoard(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	b.Reported(e.Endpoint, Load{Running: 1, Slots: 2, Slowness: 1}, now)
	b.Sent(e.ID, now)
	v := b.View(e, now)
	busy, _ := v.busy()
	is.Equal(busy, 2)
	b.Ended(e.ID, false, now)
	v = b.View(e, now)
	busy, _ = v.busy()
	is.Equal(busy, 1)
}

// TestBoardSuspects answers endpoints that fall silent: they are left alone for longer each time, and trusted again after an answer.
func TestBoardSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBoard(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	b.Unreachable(e.ID, now)
	is.True(b.View(e, now.Add(suspectFirst-1)).Suspect)
	is.True(!b.View(e, now.Add(suspectFirst)).Suspect)
	b.Unreachable(e.ID, now)
	is.True(b.View(e, now.Add(2*suspectFirst-1)).Suspect)
	b.Reported(e.Endpoint, idle(), now)
	is.True(!b.View(e, now).Suspect)
}

// TestBoardAsksOnce guards against questions that pile up at an endpoint that does not answer.
func TestBoardAsksOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBoard(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	is.True(b.Asking(e.ID, now))
	is.True(!b.Asking(e.ID, now))
	is.True(b.View(e, now).Asked)
	b.Asked(e.ID, now)
	is.True(b.Asking(e.ID, now))
}

// TestSilentService guards against questions to a service whose endpoints tell no load.
func TestSilentService(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBoard(DefaultConfig())
	e := view("e", "a", idle()).Endpoint.Endpoint
	e.Service = "s"
	is.True(!b.Silent("s", now))
	b.Reported(e, Load{}, now)
	is.True(b.Silent("s", now))
	is.True(!b.Silent("s", now.Add(silentServiceLife)))
}

// TestForget guards the board's memory against endpoints that are gone, without losing requests that still run.
func TestForget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBoard(DefaultConfig())
	gone, used := view("gone", "a", idle()).Endpoint, view("used", "a", idle()).Endpoint
	b.Unreachable(gone.ID, now)
	b.Sent(used.ID, now)
	b.Forget(time.Second, now.Add(time.Minute))
	is.True(!b.View(gone, now).Suspect)
	is.Equal(b.View(used, now).Own, 1)
}

// TestLostAnswersAreAvoided answers endpoints that lose a good part of their answers while their health and load are good: an endpoint
// that takes twice as long is better, above all for a request that cannot be sent again.
func TestLostAnswersAreAvoided(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	losing, slower := view("losing", "a", idle()), view("slower", "a", Load{Slots: 2, Slowness: 2})
	losing.Failing = 0.4
	views := []View{losing, slower}
	for _, idempotent := range []bool{true, false} {
		best, _ := cfg.Best(views, []int{0, 1}, work, idempotent)
		is.Equal(best, 1)
	}
	is.True(!cfg.Good(&losing, work, work)) // further endpoints are asked
	losing.Failing = 0.1
	views[0] = losing
	best, _ := cfg.Best(views, []int{0, 1}, work, true)
	is.Equal(best, 0)
	best, _ = cfg.Best(views, []int{0, 1}, work, false)
	is.Equal(best, 1)
}

// TestFailuresFade guards endpoints that have recovered: nothing is sent to them, so that only time can clear them.
func TestFailuresFade(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBoard(DefaultConfig())
	e := view("e", "a", idle()).Endpoint
	b.Sent(e.ID, now)
	b.Ended(e.ID, true, now)
	is.Equal(b.View(e, now).Failing, failureMemory)
	is.True(b.View(e, now.Add(10*failureFades)).Failing < goodFailing)
}

// TestAskBudgetClock guards against a budget below zero: requests read the clock before they take the budget, so that a later time may
// come first. A negative number of questions ended the process (scale-1 of the grown site, 11.35 s).
func TestAskBudgetClock(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewAskBudget(func() float64 { return 1000 })
	is.Equal(b.Take(5000, now.Add(10*time.Millisecond)), 3000)
	is.Equal(b.Take(4, now), 0)
	is.Equal(b.Take(4, now.Add(5*time.Millisecond)), 0)
	is.Equal(b.Take(40, now.Add(20*time.Millisecond)), 10)
}
