package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// recorded returns a run with one host. It has one non-idempotent request that ran once and got its response, and one request of the
// fault-free period at the end that was served.
func recorded(out io.Writer) *soak {
	s := &soak{Config: Config{Timed: true, Out: out}, store: platformtest.NewStore(), timeline: newTimeline(), ledger: testbed.NewLedger(out, checkNames...), startTime: time.Now()}
	s.hosts = []*host{{soak: s, name: "a-1"}}
	s.publish(func(cfg *routing.Config) { *cfg = firstConfig() })
	s.requests.endpointKilled("i-ended")
	s.record("1", "reserve", func(*request, *platformtest.Arrival) {})
	s.calmRequest("calm", http.StatusOK)
	defer s.timeline.begin(scopeRecovered)()
	s.record("recovered", "check", func(_ *request, a *platformtest.Arrival) { a.Service = services[1] })
	return s
}

// record adds a request and its arrival at an endpoint, both modified by change. An arrival without an id is not added.
func (s *soak) record(id, route string, change func(*request, *platformtest.Arrival)) {
	at := time.Now()
	r := &request{id: id, method: http.MethodPost, target: "/" + route + "/1", digest: "d", route: route, idempotent: route == "lookup" || route == "check",
		deadline: routeTimeout, host: s.hosts[0], sent: at, ended: at.Add(20 * time.Millisecond), outcome: answered, status: http.StatusOK, signed: true}
	a := platformtest.Arrival{Endpoint: "i-1", Service: services[0], ID: id, Method: r.method, Target: r.target, Body: r.digest, At: at.Add(time.Millisecond), DeadlineMS: 900, Ran: true}
	change(r, &a)
	s.requests.add(r)
	if a.ID != "" {
		s.requests.arrived(a)
	}
}

// calmRequest records a request of the fault-free period at the end.
func (s *soak) calmRequest(id string, status int) {
	s.record(id, "lookup", func(r *request, _ *platformtest.Arrival) { r.faultFree, r.status = true, status })
}

// sentAfter makes a request a later one.
func sentAfter(r *request, a *platformtest.Arrival, d time.Duration) {
	r.sent, r.ended, a.At = r.sent.Add(d), r.ended.Add(d), a.At.Add(d)
}

// printing returns an ended process whose output has the given lines.
func printing(t *testing.T, lines []string) *testbed.Process {
	t.Helper()
	p, err := testbed.Start("a-1", "/usr/bin/printf", strings.Join(lines, "\\n")+"\\n")
	is.New(t).NoErr(err)
	is.New(t).NoErr(p.Wait(t.Context()))
	return p
}

// TestAudit guards against checks that cannot fail. Each row adds one violation, which the named check must report. Without it, the run
// must have no breach.
func TestAudit(t *testing.T) {
	var none strings.Builder
	s := recorded(&none)
	s.audit()
	is.New(t).Equal(none.String(), "")
	process, err := testbed.Start("a-1", "/bin/true")
	is.New(t).NoErr(err)
	defer process.Kill()
	unsigned := func(status int) func(*request, *platformtest.Arrival) {
		return func(r *request, _ *platformtest.Arrival) { r.signed, r.status = false, status }
	}
	for name, row := range map[string]struct {
		check  string
		breach func(s *soak)
	}{
		"ran twice": {atMostOnce, func(s *soak) {
			s.requests.arrived(platformtest.Arrival{Endpoint: "i-2", Service: services[0], ID: "1", Method: http.MethodPost, Target: "/reserve/1", Body: "d", DeadlineMS: 900, Ran: true, At: time.Now()})
		}},
		"unknown request": {onlySentRequests, func(s *soak) { s.requests.arrived(platformtest.Arrival{ID: "smuggled", DeadlineMS: 1, Ran: true}) }},
		"changed body":    {onlySentRequests, func(s *soak) { s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.Body = "other" }) }},
		"refused and ran": {refusedNotRun, func(s *soak) { s.record("2", "reserve", unsigned(http.StatusServiceUnavailable)) }},
		"turned away":     {validServed, func(s *soak) { s.record("2", "lookup", unsigned(http.StatusNotFound)) }},
		"not in the log":  {failuresLogged, func(s *soak) { s.record("2", "lookup", unsigned(http.StatusBadGateway)) }},
		"too many attempts": {attemptLimit, func(s *soak) {
			for range maxAttempts {
				s.requests.arrived(platformtest.Arrival{Endpoint: "i-2", Service: services[0], ID: "calm", Method: http.MethodPost, Target: "/lookup/1", Body: "d", DeadlineMS: 900, Ran: true, At: time.Now()})
			}
		}},
		"no deadline": {remainingDeadline, func(s *soak) { s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.DeadlineMS = 0 }) }},
		"longer deadline": {remainingDeadline, func(s *soak) {
			s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.DeadlineMS = 1001 })
		}},
		"wrong service": {routedService, func(s *soak) {
			s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.Service = services[1] })
		}},
		"old configuration": {configInForce, func(s *soak) {
			s.configs.list[0].at = time.Now().Add(-time.Minute)
			s.publish(func(cfg *routing.Config) { moveRoute(cfg, 0) })
			s.configs.list[1].at = time.Now().Add(-maxConfigDelay - time.Second)
			s.record("2", "lookup", func(*request, *platformtest.Arrival) {})
		}},
		"sent to a leaving endpoint": {noneAfterDrain, func(s *soak) {
			s.requests.endpointLeaving("i-9", time.Now().Add(-drainTime-time.Second))
			s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.Endpoint = "i-9" })
		}},
		"unknown route though in force": {configInForce, func(s *soak) {
			s.publish(func(cfg *routing.Config) { addRoute(cfg, 0) })
			routes := s.configs.newestRoutes()
			s.configs.list[0].at = time.Now().Add(-time.Minute)
			s.configs.list[1].at = time.Now().Add(-maxConfigDelay - time.Second)
			s.record("2", routes[len(routes)-1].Name, func(r *request, a *platformtest.Arrival) { r.signed, r.status, a.ID = false, http.StatusNotFound, "" })
		}},
		"older configuration after a newer one": {configNeverReverts, func(s *soak) {
			s.publish(func(cfg *routing.Config) { moveRoute(cfg, 0) })
			s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.Service = services[1] })
			s.record("3", "lookup", func(r *request, a *platformtest.Arrival) { sentAfter(r, a, 2*maxRegressionTime) })
		}},
		"sent to an endpoint that said it leaves": {noneAfterStatedLeaving, func(s *soak) {
			s.timeline.begin(scopeStore)
			s.requests.endpointStatesLeaving("i-9", time.Now().Add(-time.Second))
			s.record("2", "lookup", func(r *request, a *platformtest.Arrival) { r.signer, a.Endpoint = "i-9", "i-9" })
			s.record("3", "lookup", func(r *request, a *platformtest.Arrival) {
				a.Endpoint = "i-9"
				sentAfter(r, a, drainTime+time.Second)
			})
		}},
		"sent to an endpoint that had left before the store returned from a copy": {noneAfterKnown, func(s *soak) {
			s.requests.endpointLeaving("i-9", time.Now())
			s.record("2", "lookup", func(r *request, a *platformtest.Arrival) {
				a.Endpoint = "i-9"
				sentAfter(r, a, drainTime+time.Second)
			})
			s.timeline.spans[scopeStore] = []*span{{from: time.Now().Add(drainTime + time.Millisecond)}}
		}},
		"sent to an endpoint that wants none": {rejectionsObserved, func(s *soak) {
			s.record("2", "lookup", func(_ *request, a *platformtest.Arrival) { a.Endpoint, a.Ran, a.RetryAfter = "i-2", false, "1.5" })
			for range maxDuringRejection + 1 {
				s.record("3", "lookup", func(r *request, a *platformtest.Arrival) {
					a.Endpoint = "i-2"
					sentAfter(r, a, time.Second)
				})
			}
		}},
		"sent on after it has ended three endpoints": {crashesStopped, func(s *soak) {
			for i := range 3 + maxAfterCrashes + 1 {
				s.record(fmt.Sprint(i+2), "lookup", func(r *request, a *platformtest.Arrival) {
					r.target, a.Endpoint = "/lookup/"+crashPrefix+"1", fmt.Sprint("i-", i)
					a.Target = r.target
					if i >= 3 {
						sentAfter(r, a, crashSettleTime+time.Second)
					}
				})
			}
		}},
		"proper requests quarantined": {properNotQuarantined, func(s *soak) {
			var lines []string
			for i := range maxWrongRefusals + 2 {
				id := fmt.Sprint("proper-", i)
				s.record(id, "lookup", func(r *request, a *platformtest.Arrival) {
					r.signed, r.status, a.ID = false, http.StatusServiceUnavailable, ""
				})
				lines = append(lines, "msg=request id="+id+" outcome=refused_quarantined")
			}
			s.hosts[0].processes = append(s.hosts[0].processes, printing(t, lines))
		}},
		"more than an endpoint's limit": {limitsKept, func(s *soak) {
			s.requests.endpointLimited("i-2", 1, limitSettleTime, time.Now().Add(-limitSettleTime))
			for range int(limitFactor*limitWindow.Seconds()) + limitAllowance + 1 {
				s.record("2", "lookup", func(r *request, a *platformtest.Arrival) {
					a.Endpoint = "i-2"
					sentAfter(r, a, time.Second)
				})
			}
		}},
		"more than a limit that has fallen": {limitsKept, func(s *soak) {
			s.requests.endpointLimited("i-2", highLimit, limitSettleTime, time.Now().Add(-time.Minute))
			s.requests.endpointLimited("i-2", lowLimit, fallSettleTime, time.Now())
			for range int(lowLimit*limitFactor*limitWindow.Seconds()) + limitAllowance + 1 {
				s.record("2", "lookup", func(r *request, a *platformtest.Arrival) {
					a.Endpoint = "i-2"
					sentAfter(r, a, fallSettleTime+time.Millisecond)
				})
			}
		}},
		"not served after the loss of power": {servedAfterPowerLoss, func(s *soak) {
			s.timeline.begin(scopeRecovered)
			s.record("2", "lookup", func(r *request, _ *platformtest.Arrival) {
				r.sent, r.status = r.sent.Add(time.Millisecond), http.StatusBadGateway
			})
		}},
		"lost by planned work": {plannedLosesNone, func(s *soak) {
			s.record("2", "reserve", func(r *request, _ *platformtest.Arrival) { r.outcome, r.status = connClosed, 0 })
		}},
		"answered in place of an endpoint while its host stops": {stoppedAnswersOwn, func(s *soak) {
			s.hosts[0].stops = []*stop{{process: process, signals: []sentSignal{{"terminated", time.Now()}}}}
			s.record("2", "reserve", func(r *request, a *platformtest.Arrival) {
				r.signed, r.status = false, http.StatusBadGateway
				s.requests.runCompleted(platformtest.Completion{Endpoint: a.Endpoint, ID: "2", At: r.ended, Aborted: true})
			})
		}},
		"read by a host that stops but not answered": {readAnswered, func(s *soak) {
			s.hosts[0].stops = []*stop{{process: process, signals: []sentSignal{{"terminated", time.Now()}}}}
			s.record("2", "lookup", func(r *request, a *platformtest.Arrival) {
				r.outcome, r.status, a.ID = connClosed, 0, ""
				r.ended = r.sent.Add(readSlack + time.Millisecond)
			})
		}},
		"lost by a calm host": {undisturbedAnswered, func(s *soak) {
			for range maxLostRequests + 1 {
				s.record("2", "reserve", func(r *request, _ *platformtest.Arrival) { r.outcome, r.status = connClosed, 0 })
			}
		}},
		"late": {answersInTime, func(s *soak) {
			for range minLateRequests {
				s.record("2", "lookup", func(r *request, _ *platformtest.Arrival) { r.outcome, r.ended = timedOut, r.sent.Add(2*time.Second) })
			}
		}},
		"sent for who left": {noneAfterCancel, func(s *soak) {
			for range maxAfterCancel + 1 {
				s.record("2"+time.Now().String(), "lookup", func(r *request, a *platformtest.Arrival) { r.outcome, a.At = cancelled, r.ended.Add(time.Second) })
			}
		}},
		"not served at the end": {servedAtEnd, func(s *soak) { s.calmRequest("2", http.StatusBadGateway); s.calmRequest("3", http.StatusBadGateway) }},
		"too many repeats": {repeatBudget, func(s *soak) {
			for range repeatBurst + 3 {
				s.requests.arrived(platformtest.Arrival{Endpoint: "i-1", Service: services[0], ID: "calm", Method: http.MethodPost, Target: "/lookup/1", Body: "d", DeadlineMS: 900, At: time.Now()})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			s := recorded(&out)
			row.breach(s)
			s.audit()
			is.New(t).True(strings.Contains(out.String(), `BREACH of "`+row.check+`"`))
		})
	}
}

// TestExcusedLosses guards against a report of requests that a host may leave without a response around a planned stop.
func TestExcusedLosses(t *testing.T) {
	process, err := testbed.Start("a-1", "/bin/true")
	is.New(t).NoErr(err)
	defer process.Kill()
	for name, row := range map[string]struct {
		excused bool
		change  func(s *soak, st *stop, r *request, a *platformtest.Arrival)
	}{
		"none":                    {false, func(*soak, *stop, *request, *platformtest.Arrival) {}},
		"the deadline has passed": {true, func(_ *soak, _ *stop, r *request, _ *platformtest.Arrival) { r.ended = r.sent.Add(r.deadline) }},
		"the endpoint was stopped": {true, func(s *soak, _ *stop, r *request, a *platformtest.Arrival) {
			s.requests.endpointEnded(a.Endpoint, r.ended)
		}},
		"the endpoint was stopped later": {false, func(s *soak, _ *stop, r *request, a *platformtest.Arrival) {
			s.requests.endpointEnded(a.Endpoint, r.ended.Add(time.Millisecond))
		}},
		"the endpoint worked until the end of the grace time": {true, func(s *soak, st *stop, r *request, a *platformtest.Arrival) {
			r.deadline, r.ended = gracePeriod, st.at().Add(gracePeriod-time.Millisecond)
			s.requests.runCompleted(platformtest.Completion{Endpoint: a.Endpoint, ID: r.id, At: r.ended, Aborted: true})
		}},
		"the endpoint worked until the end on a request that was sent late": {false, func(s *soak, st *stop, r *request, a *platformtest.Arrival) {
			r.sent = st.at().Add(acceptTime + time.Millisecond)
			r.deadline, r.ended = gracePeriod, st.at().Add(gracePeriod-time.Millisecond)
			s.requests.runCompleted(platformtest.Completion{Endpoint: a.Endpoint, ID: r.id, At: r.ended, Aborted: true})
		}},
		"the endpoint worked until the end on a request whose body ended late": {false, func(s *soak, st *stop, r *request, a *platformtest.Arrival) {
			r.bodySent = st.at().Add(acceptTime + time.Millisecond)
			r.deadline, r.ended = gracePeriod, st.at().Add(gracePeriod-time.Millisecond)
			s.requests.runCompleted(platformtest.Completion{Endpoint: a.Endpoint, ID: r.id, At: r.ended, Aborted: true})
		}},
		"the endpoint was ready before": {false, func(s *soak, st *stop, r *request, a *platformtest.Arrival) {
			r.deadline, r.ended = gracePeriod, st.at().Add(gracePeriod-time.Millisecond)
			s.requests.runCompleted(platformtest.Completion{Endpoint: a.Endpoint, ID: r.id, At: st.at().Add(gracePeriod / 2)})
		}},
		"an unplanned fault":       {true, func(s *soak, _ *stop, _ *request, _ *platformtest.Arrival) { s.timeline.begin(scopeNetwork) }},
		"killed in an untimed run": {true, func(s *soak, st *stop, _ *request, _ *platformtest.Arrival) { s.Timed, st.cut = false, true }},
		"killed in a timed run":    {false, func(_ *soak, st *stop, _ *request, _ *platformtest.Arrival) { st.cut = true }},
		"an untimed run":           {false, func(s *soak, _ *stop, _ *request, _ *platformtest.Arrival) { s.Timed = false }},
		"behind a last response":   {false, func(_ *soak, _ *stop, r *request, _ *platformtest.Arrival) { r.ahead, r.unread = 1, true }},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			s := recorded(&out)
			st := &stop{process: process, signals: []sentSignal{{"terminated", time.Now()}}}
			s.hosts[0].stops = []*stop{st}
			s.record("2", "lookup", func(r *request, a *platformtest.Arrival) {
				r.outcome, r.status, r.signed = connClosed, 0, false
				row.change(s, st, r, a)
			})
			s.audit()
			is.New(t).Equal(strings.Contains(out.String(), `BREACH of "`+plannedLosesNone+`"`), !row.excused)
		})
	}
}

// TestCalendar checks that a scope counts as undisturbed only after stabilityTime has passed since a fault.
func TestCalendar(t *testing.T) {
	is := is.New(t)
	c := newTimeline()
	end := c.begin("a")
	now := time.Now()
	is.True(!c.undisturbed("a", now, now.Add(time.Second)))
	is.True(c.contains("a", now))
	is.True(c.undisturbed("b", now, now.Add(time.Second)))
	end()
	is.True(!c.undisturbed("a", time.Now().Add(stabilityTime/2), time.Now().Add(stabilityTime)))
	is.True(c.undisturbed("a", time.Now().Add(stabilityTime+time.Second), time.Now().Add(2*stabilityTime)))
	is.True(!c.contains("a", time.Now().Add(time.Second)))
}

// TestScheduleOfOnly checks that each fault can be selected by its name, and that an unknown name is rejected.
func TestScheduleOfOnly(t *testing.T) {
	is := is.New(t)
	_, err := faultNamed("no such fault")
	is.True(err != nil)
	for _, name := range FaultNames() {
		f, err := faultNamed(name)
		is.NoErr(err)
		is.Equal(f.name, name)
	}
}
