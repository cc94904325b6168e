package detour

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

var start = time.Unix(1000, 0)

const service = "lotdesk"

func endpoint(n int) endpoints.ID {
	return endpoints.ID{Address: fmt.Sprint("10.0.0.", n, ":80"), Incarnation: "1"}
}

func peer(n int, zone string) peers.Host {
	name := fmt.Sprint(zone, "-", n)
	return peers.Host{Name: name, Zone: zone, Cores: 0.3, PeerAddress: name + ":1", DetourAddress: name + ":2"}
}

// newTracker returns a tracker of a host in zone a, which knows the given number of endpoints, and the changes that it reports.
func newTracker(known int) (*Tracker, *[]Change) {
	rng := rand.New(rand.NewPCG(1, 2))
	var changes []Change
	return NewTracker(Config{Host: "a-0", Zone: "a", Endpoints: func(string) int { return known }, OnChange: func(c Change) { changes = append(changes, c) },
		OnUrgent: func() {}, Random: rng.Float64, RandomIndex: rng.IntN}), &changes
}

// answered returns the report of a host that was answered a time ago.
func answered(age time.Duration) *Report {
	return &Report{Answered: []ServiceAge{{service, age.Milliseconds()}}}
}

// silence has endpoints fail to answer at a time.
func (t *Tracker) silence(from, to int, now time.Time) {
	for n := from; n < to; n++ {
		t.Unanswered(service, endpoint(n), now)
	}
}

// TestLossNeedsWitness guards against a host that takes the endpoints for reachable by others because it alone gets no answer, or because others were
// answered before that.
func TestLossNeedsWitness(t *testing.T) {
	is := is.New(t)
	tracker, changes := newTracker(8)
	tracker.Answered(service, endpoint(0), start)
	now := start.Add(200 * time.Millisecond)
	tracker.silence(0, 2, now)
	is.Equal(tracker.Decide(service, true, now), Direct) // two endpoints may fail
	tracker.silence(2, 3, now)
	is.Equal(tracker.State(service), Silent)
	is.Equal(tracker.Decide(service, true, now), Direct)
	tracker.HandleReport(peer(1, "a"), true, answered(10*time.Millisecond), now.Add(5*time.Millisecond)) // it was answered before the first failure here
	is.Equal(tracker.State(service), Silent)
	_, ok := tracker.Choose(service, nil, now.Add(5*time.Millisecond))
	is.True(!ok)
	later := now.Add(refuseAfter)
	is.Equal(tracker.Decide(service, true, later), Refuse) // no host reaches an endpoint
	tracker.HandleReport(peer(1, "a"), true, answered(10*time.Millisecond), later)
	is.Equal(tracker.State(service), Cut)
	is.Equal(tracker.Decide(service, true, later), Through)
	h, ok := tracker.Choose(service, nil, later)
	is.True(ok)
	is.Equal(h.Name, "a-1")
	is.Equal((*changes)[len(*changes)-1].Witness, "a-1")
	is.Equal(tracker.Decide(service, true, later.Add(maxWitnessAge+time.Second)), Refuse) // it is not answered any more
	is.Equal(tracker.State(service), Silent)
}

// TestReportsOutliveOtherMessages guards against the loss of what a host has reported when it sends a message without a report, as updates of the store are.
func TestReportsOutliveOtherMessages(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker(8)
	tracker.silence(0, 3, start)
	tracker.HandleReport(peer(1, "a"), true, answered(0), start.Add(10*time.Millisecond))
	tracker.HandleReport(peer(1, "a"), true, nil, start.Add(20*time.Millisecond))
	is.Equal(tracker.Decide(service, true, start.Add(time.Second)), Through)
	tracker.HandleReport(peer(1, "a"), false, nil, start.Add(time.Second)) // it leaves
	is.Equal(tracker.Decide(service, true, start.Add(time.Second)), Refuse)
}

// TestReturnIsGradual guards against a host that takes all its requests back at once, or at the first answer, when its way is back.
func TestReturnIsGradual(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker(8)
	now := start
	lose := func() {
		tracker.silence(0, 3, now)
		tracker.HandleReport(peer(1, "a"), true, answered(0), now.Add(time.Millisecond))
		is.Equal(tracker.State(service), Cut)
	}
	direct := func() (n int) {
		tracker.HandleReport(peer(1, "a"), true, answered(0), now)
		for range 1000 {
			if tracker.Decide(service, true, now) == Direct {
				n++
			}
		}
		return n
	}
	lose()
	tracker.Answered(service, endpoint(1), now.Add(50*time.Millisecond))
	tracker.Answered(service, endpoint(2), now.Add(60*time.Millisecond))
	is.Equal(tracker.State(service), Cut) // too soon
	now = now.Add(minCutTime)
	tracker.Answered(service, endpoint(1), now)
	is.Equal(tracker.State(service), Returning)
	first := direct()
	is.True(first > 80 && first < 180)
	now = now.Add(shareDoubling)
	second := direct()
	is.True(second > 180 && second < 320)
	now = now.Add(minSilence)
	lose()
	now = now.Add(minCutTime)
	tracker.Answered(service, endpoint(1), now)
	tracker.Answered(service, endpoint(2), now)
	is.Equal(tracker.State(service), Cut) // it was lost twice, so it has to hold for longer
	now = now.Add(minCutTime)
	tracker.Answered(service, endpoint(1), now)
	is.Equal(tracker.State(service), Returning)
	now = now.Add(3 * shareDoubling)
	is.Equal(direct(), 1000)
	is.Equal(tracker.State(service), Reached)
}

// TestIdleHostsAreAsked guards against a partitioned host that finds no other one because the others have had no request lately: these check an endpoint
// and answer.
func TestIdleHostsAreAsked(t *testing.T) {
	is := is.New(t)
	lost, _ := newTracker(8)
	idle, _ := newTracker(8)
	lost.silence(0, 3, start)
	question := lost.Report(start)
	is.True(question.Asks)
	is.True(!idle.HandleReport(peer(0, "a"), true, question, start))
	is.True(idle.NeedsChecks())
	is.Equal(len(idle.TakeAskers()), 0)
	is.Equal(idle.DueChecks(start.Add(CheckInterval)), []string{service})
	idle.Answered(service, endpoint(4), start.Add(CheckInterval+5*time.Millisecond))
	is.Equal(idle.TakeAskers(), []string{"a-0:1"})
	lost.HandleReport(peer(1, "a"), true, idle.Report(start.Add(CheckInterval+10*time.Millisecond)), start.Add(CheckInterval+10*time.Millisecond))
	is.Equal(lost.State(service), Cut)
	is.True(idle.HandleReport(peer(0, "a"), true, question, start.Add(CheckInterval+20*time.Millisecond))) // it was answered a moment ago
}

// TestChooseSpreads guards against detours that all go through one host, through one whose last detour failed, or through another zone without need.
func TestChooseSpreads(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker(8)
	tracker.silence(0, 3, start)
	now := start.Add(10 * time.Millisecond)
	for n := 1; n < 4; n++ {
		tracker.HandleReport(peer(n, "a"), true, answered(0), now)
		tracker.HandleReport(peer(n, "b"), true, answered(0), now)
	}
	chosen := map[string]int{}
	for range 12 {
		h, ok := tracker.Choose(service, nil, now)
		is.True(ok)
		chosen[h.Name]++
	}
	is.Equal(chosen["b-1"]+chosen["b-2"]+chosen["b-3"], 0)
	for n := 1; n < 4; n++ {
		is.True(chosen[fmt.Sprint("a-", n)] >= 2)
	}
	for range 60 {
		h, _ := tracker.Choose(service, nil, now)
		chosen[h.Zone]++
	}
	is.True(chosen["b"] > 15) // those of zone a have become much busier
	for _, failed := range []string{"b-1", "b-2", "b-3", "a-1", "a-2"} {
		tracker.Ended(failed, true, now)
	}
	h, _ := tracker.Choose(service, nil, now)
	is.Equal(h.Name, "a-3")
	h, ok := tracker.Choose(service, []string{"a-3"}, now)
	is.True(ok && h.Name != "a-3")
	_, ok = tracker.Choose(service, []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"}, now)
	is.True(!ok)
}

// TestWayProperties checks in random sequences of answers, failures and reports that requests go through another host only while that was answered after
// this host's first failure, that they are refused only while none was, and that a host that is answered by all endpoints goes back to them.
func TestWayProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, _ := newTracker(rapid.IntRange(1, 6).Draw(t, "endpoints"))
		now := start
		witnessed := map[string]time.Time{}
		var firstFailure time.Time
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"answer", "failure", "failure", "report", "decide", "ended"}).Draw(t, "event") {
			case "answer":
				tracker.Answered(service, endpoint(rapid.IntRange(0, 5).Draw(t, "endpoint")), now)
				firstFailure = time.Time{}
			case "failure":
				tracker.Unanswered(service, endpoint(rapid.IntRange(0, 5).Draw(t, "endpoint")), now)
				if firstFailure.IsZero() {
					firstFailure = now
				}
			case "report":
				h, age := peer(rapid.IntRange(1, 3).Draw(t, "host"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")), rapid.IntRange(0, 500).Draw(t, "age")
				tracker.HandleReport(h, true, answered(time.Duration(age)*time.Millisecond), now)
				witnessed[h.Name] = now.Add(-time.Duration(age) * time.Millisecond)
			case "ended":
				tracker.Ended(peer(rapid.IntRange(1, 3).Draw(t, "host"), "a").Name, rapid.Bool().Draw(t, "failed"), now)
			}
			decision := tracker.Decide(service, true, now)
			h, ok := tracker.Choose(service, nil, now)
			if ok && (!witnessed[h.Name].After(firstFailure) || now.Sub(witnessed[h.Name]) > maxWitnessAge) {
				t.Fatalf("%s was answered at %v, not after the first failure at %v and lately", h.Name, witnessed[h.Name], firstFailure)
			}
			if state := tracker.State(service); decision == Refuse && (ok || state != Silent) || decision == Through && !ok && state == Cut {
				t.Fatalf("decision %d in state %s, with another host: %t", decision, state, ok)
			}
		}
		for range 10 {
			now = now.Add(maxCutTime)
			for n := range 6 {
				tracker.Answered(service, endpoint(n), now)
			}
			tracker.Decide(service, true, now)
		}
		if state := tracker.State(service); state != Reached {
			t.Fatalf("all endpoints answer, and the state is %s", state)
		}
	})
}

// TestReportCheck guards against reports that no host sends.
func TestReportCheck(t *testing.T) {
	is := is.New(t)
	var none *Report
	is.NoErr(none.Check())
	is.NoErr(answered(time.Second).Check())
	is.True(answered(-time.Second).Check() != nil)
	is.True(answered(time.Hour).Check() != nil)
	is.True((&Report{Lost: make([]string, maxServices+1)}).Check() != nil)
}

// TestAnswerWhileSilentIsNoCut guards against a host that holds itself for cut off right after an endpoint has answered it, because another host was answered too.
func TestAnswerWhileSilentIsNoCut(t *testing.T) {
	for name, witnessed := range map[string]func(*Tracker, time.Time){
		"by the next request": func(t *Tracker, now time.Time) { t.reports["a-1"].answered[service] = now },
		"by a message":        func(t *Tracker, now time.Time) { t.HandleReport(peer(1, "a"), true, answered(0), now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker, _ := newTracker(8)
			tracker.HandleReport(peer(1, "a"), true, &Report{}, start)
			tracker.silence(0, 3, start)
			is.Equal(tracker.State(service), Silent)
			tracker.Answered(service, endpoint(4), start.Add(45*time.Millisecond))
			now := start.Add(53 * time.Millisecond)
			witnessed(tracker, now)
			is.Equal(tracker.Decide(service, true, now), Direct)
			is.Equal(tracker.State(service), Silent)
			now = start.Add(refuseAfter + time.Second)
			tracker.Answered(service, endpoint(4), now)
			is.Equal(tracker.Decide(service, true, now), Direct) // the endpoint is there
			tracker.silence(0, 3, now.Add(10*time.Millisecond))
			tracker.silence(0, 1, now.Add(minSilence+10*time.Millisecond))
			witnessed(tracker, now.Add(minSilence+20*time.Millisecond))
			is.Equal(tracker.Decide(service, true, now.Add(minSilence+20*time.Millisecond)), Through) // lost again
			is.Equal(tracker.State(service), Cut)
		})
	}
}

// TestLateHostWaitsForAnswers guards against a host that holds itself for cut off because it could not read answers in the time without any, and against one that
// never finds out because it is always late.
func TestLateHostWaitsForAnswers(t *testing.T) {
	is := is.New(t)
	tracker, changes := newTracker(8)
	var late lateness.Meter
	tracker.cfg.Lateness = &late
	tracker.Answered(service, endpoint(0), start)
	now := start.Add(minSilence + 10*time.Millisecond)
	late.Observe(start.Add(20*time.Millisecond), now)
	tracker.silence(0, 3, now)
	is.Equal(tracker.State(service), Reached)
	now = start.Add(2 * minSilence)
	late.Observe(start.Add(20*time.Millisecond), now)
	tracker.silence(0, 1, now)
	is.Equal(tracker.State(service), Silent)
	is.Equal((*changes)[0].OwnDelay, 2*minSilence-20*time.Millisecond)
}

// TestAsksBeforeWitnessesExpire guards against a host that is cut off and refuses requests every two seconds, because the hosts that it knows send it no
// reports unasked and are forgotten all at once.
func TestAsksBeforeWitnessesExpire(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker(8)
	tracker.silence(0, 3, start)
	for n := range wantedHosts {
		tracker.HandleReport(peer(n, "b"), true, answered(0), start.Add(time.Millisecond))
	}
	is.True(!tracker.Report(start.Add(maxWitnessAge / 4)).Asks)
	later := start.Add(maxWitnessAge / 2).Add(10 * time.Millisecond)
	is.True(tracker.Report(later).Asks)
	tracker.HandleReport(peer(0, "b"), true, answered(0), later)
	is.Equal(tracker.Decide(service, true, start.Add(maxWitnessAge+100*time.Millisecond)), Through)
}
