// Package detour finds out whether this host has lost its own way to the endpoints of a service, and which other hosts have not. A host that gets no
// answer from any endpoint cannot tell alone whether they are gone or it is cut off from them: other hosts that are answered at the same time tell it.
// Requests then take a detour through one of these. The package does no network I/O itself.
package detour

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// States of this host's way to the endpoints of a service.
const (
	Reached   = "reached"   // endpoints answer, or nothing says that they do not
	Silent    = "silent"    // no endpoint answers, and no other host is known to be answered
	Cut       = "cut"       // no endpoint answers this host, while other hosts are answered
	Returning = "returning" // endpoints answer again; a growing share of the requests takes the direct way
)

const (
	eventFailed    = "failed"    // no endpoint has answered for a while
	eventWitnessed = "witnessed" // another host was answered meanwhile
	eventDoubted   = "doubted"   // no other host is answered any more
	eventAnswered  = "answered"  // endpoints answer again
	eventSettled   = "settled"   // all requests take the direct way again
)

var wayEvents = fsm.Events{
	{Name: eventFailed, Src: []string{Reached, Returning}, Dst: Silent},
	{Name: eventWitnessed, Src: []string{Silent}, Dst: Cut},
	{Name: eventDoubted, Src: []string{Cut}, Dst: Silent},
	{Name: eventAnswered, Src: []string{Silent, Cut}, Dst: Returning},
	{Name: eventSettled, Src: []string{Returning}, Dst: Reached},
}

const (
	// minFailedEndpoints is the number of endpoints that must have failed to answer without any answer between, or all if there are fewer.
	minFailedEndpoints = 3
	// minSilence is the time without any answer from which on the failures count. Endpoints in use answer many times in it.
	minSilence = 100 * time.Millisecond
	// minReturnAnswers is the number of endpoints that must answer without a failure between until the way counts as back, or all if there are fewer.
	minReturnAnswers = 2
	// minCutTime is the least time between the loss of the way and its return. Each further loss within relapseWindow doubles it, up to maxCutTime, so
	// that a way that comes and goes is not used.
	minCutTime    = 200 * time.Millisecond
	maxCutTime    = 3200 * time.Millisecond
	relapseWindow = 10 * time.Second
	// firstShare is the share of the requests that take the direct way at first when it is back. It doubles every shareDoubling.
	firstShare    = 0.125
	shareDoubling = 150 * time.Millisecond
	// refuseAfter is how long no endpoint must have answered anyone until requests are refused without a search.
	refuseAfter = 500 * time.Millisecond
	// CheckInterval is the interval at which an endpoint of a service without a way is checked.
	CheckInterval = 100 * time.Millisecond
	// maxWitnessAge is the age of another host's answer up to which it shows that the endpoints are there.
	maxWitnessAge = 2 * time.Second
)

// way is this host's way to the endpoints of one service.
type way struct {
	service     string
	machine     *fsm.FSM
	since       time.Time // of the state
	answeredAt  time.Time // last answer of an endpoint
	failedSince time.Time // first failure after answeredAt; zero if there is none
	failures    int       // since then
	failed      map[endpoints.ID]bool
	answered    map[endpoints.ID]bool // endpoints that have answered since the last failure, while the way is lost
	lostAt      time.Time             // when the way was last lost
	cutTime     time.Duration         // least time until it may be back
	checkedAt   time.Time             // last check of an endpoint
	checkDue    bool                  // another host wants to know whether this one is answered
	askers      []string              // peer addresses of hosts that wait for this host to be answered
}

// Change is a change of this host's belief about its way to the endpoints of a service.
type Change struct {
	Service         string
	State, Was      string
	Held            time.Duration // how long the old state has lasted
	SinceAnswer     time.Duration // since the last answer of an endpoint; negative if there was none
	Failures        int           // since that answer
	FailedEndpoints int           // endpoints at which they occurred
	Witness         string        // host that was answered meanwhile; empty if there is none
	WitnessAge      time.Duration // age of its answer
	OwnDelay        time.Duration // for how long this host itself was late since the last answer of an endpoint
}

// Config holds what a Tracker needs of the host.
type Config struct {
	// Host is the name of this host, and Zone its availability zone.
	Host, Zone string
	// Endpoints returns the number of known endpoints of a service.
	Endpoints func(service string) int
	// Lateness records when this host was late; nil if that is not known.
	Lateness *lateness.Meter
	// OnChange is called for each change of the belief about a service, without locks.
	OnChange func(Change)
	// OnUrgent is called when other hosts should be asked, or answered, at once.
	OnUrgent func()
	// Random returns a number in [0, 1).
	Random func() float64
	// RandomIndex returns a number in [0, n).
	RandomIndex func(n int) int
}

// Tracker holds this host's ways to the services and what other hosts report of theirs. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu      sync.Mutex
	ways    map[string]*way
	reports map[string]*hostReport // by the name of the host
}

// NewTracker returns a tracker that holds all services for reached.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, ways: map[string]*way{}, reports: map[string]*hostReport{}}
}

// way returns the way to a service. t.mu must be held.
func (t *Tracker) way(service string, now time.Time) *way {
	w := t.ways[service]
	if w == nil {
		w = &way{service: service, machine: fsm.NewFSM(Reached, wayEvents, nil), since: now, failed: map[endpoints.ID]bool{}}
		t.ways[service] = w
	}
	return w
}

// Answered records that an endpoint of a service has sent this host a response of any kind.
func (t *Tracker) Answered(service string, id endpoints.ID, now time.Time) {
	t.mu.Lock()
	w := t.way(service, now)
	w.answeredAt = now
	w.failedSince, w.failures = time.Time{}, 0
	clear(w.failed)
	var changes []Change
	if w.lost() {
		if w.answered == nil {
			w.answered = map[endpoints.ID]bool{}
		}
		w.answered[id] = true
		changes = t.tryReturn(w, now)
	}
	urgent := len(w.askers) > 0 && !w.lost()
	t.mu.Unlock()
	t.report(changes, urgent)
}

// Unanswered records that a request or check got no answer from an endpoint: no connection could be opened, it broke, or the time passed.
func (t *Tracker) Unanswered(service string, id endpoints.ID, now time.Time) {
	t.mu.Lock()
	w := t.way(service, now)
	if w.failedSince.IsZero() {
		w.failedSince = now
	}
	w.failures++
	if len(w.failed) < minFailedEndpoints {
		w.failed[id] = true
	}
	clear(w.answered)
	changes := t.judge(w, now)
	t.mu.Unlock()
	t.report(changes, len(changes) > 0)
}

func (w *way) lost() bool { s := w.machine.Current(); return s == Silent || s == Cut }

// unanswered reports whether enough endpoints of a service have failed to answer, for long enough, since the last answer of any. Time in which this host was
// late does not count, up to minSilence: answers may lie unread. t.mu must be held.
func (t *Tracker) unanswered(w *way, now time.Time) bool {
	if len(w.failed) < min(minFailedEndpoints, max(1, t.cfg.Endpoints(w.service))) || now.Sub(w.answeredAt) < minSilence {
		return false
	}
	return now.Sub(w.answeredAt)-min(minSilence, t.cfg.Lateness.Between(w.answeredAt, now)) >= minSilence
}

// judge checks whether the way to a service is lost. t.mu must be held.
func (t *Tracker) judge(w *way, now time.Time) []Change {
	if w.lost() || !t.unanswered(w, now) {
		return nil
	}
	if now.Sub(w.lostAt) < relapseWindow {
		w.cutTime = min(2*w.cutTime, maxCutTime)
	} else {
		w.cutTime = minCutTime
	}
	w.lostAt = now
	changes := []Change{t.apply(w, eventFailed, hostAnswer{}, now)}
	if witness := t.witness(w, now); witness.host != "" {
		changes = append(changes, t.apply(w, eventWitnessed, witness, now))
	}
	return changes
}

// tryReturn checks whether the way to a service is back. t.mu must be held.
func (t *Tracker) tryReturn(w *way, now time.Time) []Change {
	if len(w.answered) < min(minReturnAnswers, max(1, t.cfg.Endpoints(w.service))) || now.Sub(w.lostAt) < w.cutTime {
		return nil
	}
	clear(w.answered)
	return []Change{t.apply(w, eventAnswered, hostAnswer{}, now)}
}

// apply changes the state of a way. t.mu must be held.
func (t *Tracker) apply(w *way, event string, witness hostAnswer, now time.Time) Change {
	c := Change{Service: w.service, Was: w.machine.Current(), Held: now.Sub(w.since), SinceAnswer: -1, Failures: w.failures, FailedEndpoints: len(w.failed), Witness: witness.host}
	if !w.answeredAt.IsZero() {
		c.SinceAnswer = now.Sub(w.answeredAt)
	}
	c.OwnDelay = t.cfg.Lateness.Between(w.answeredAt, now)
	if witness.host != "" {
		c.WitnessAge = now.Sub(witness.at)
	}
	// The callers of apply have checked that the event is possible in the state.
	_ = w.machine.Event(context.Background(), event)
	c.State, w.since = w.machine.Current(), now
	return c
}

func (t *Tracker) report(changes []Change, urgent bool) {
	for _, c := range changes {
		t.cfg.OnChange(c)
	}
	if urgent {
		t.cfg.OnUrgent()
	}
}

// Decision says which way a request takes.
type Decision uint8

// Decisions.
const (
	Direct  Decision = iota // this host sends it to an endpoint
	Through                 // another host, which Choose names, does
	Refuse                  // no host reaches an endpoint of the service
)

// Decide returns which way the next request for a service takes. checkable says that its endpoints can be checked without requests; without that, some requests
// take the direct way although it is lost.
func (t *Tracker) Decide(service string, checkable bool, now time.Time) Decision {
	t.mu.Lock()
	w := t.ways[service]
	if w == nil || w.machine.Current() == Reached {
		t.mu.Unlock()
		return Direct
	}
	var changes []Change
	decision := Direct
	switch w.machine.Current() {
	case Returning:
		if share := w.directShare(now); share >= 1 {
			changes = append(changes, t.apply(w, eventSettled, hostAnswer{}, now))
		} else if t.cfg.Random() >= share {
			decision = Through
		}
	case Cut, Silent:
		decision = t.decideLost(w, checkable, now, &changes)
	}
	t.mu.Unlock()
	t.report(changes, false)
	return decision
}

// directShare returns the share of the requests that take the direct way while it returns.
func (w *way) directShare(now time.Time) float64 {
	return firstShare * math.Exp2(float64(now.Sub(w.since))/float64(shareDoubling))
}

// decideLost is Decide while the way is lost. t.mu must be held.
func (t *Tracker) decideLost(w *way, checkable bool, now time.Time, changes *[]Change) Decision {
	if !checkable && now.Sub(w.checkedAt) >= CheckInterval {
		w.checkedAt = now
		return Direct
	}
	witness, unanswered := t.witness(w, now), t.unanswered(w, now)
	switch state := w.machine.Current(); {
	case state == Silent && witness.host != "" && unanswered:
		*changes = append(*changes, t.apply(w, eventWitnessed, witness, now))
	case state == Cut && witness.host == "":
		*changes = append(*changes, t.apply(w, eventDoubted, witness, now))
	}
	switch {
	case w.machine.Current() == Cut:
		return Through
	case unanswered && now.Sub(w.lostAt) >= refuseAfter && now.Sub(w.answeredAt) >= refuseAfter && checkable:
		return Refuse
	}
	return Direct
}

// State returns the state of this host's way to the endpoints of a service.
func (t *Tracker) State(service string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.ways[service]; w != nil {
		return w.machine.Current()
	}
	return Reached
}

// AnyCut reports whether this host has lost its way to a service that other hosts reach.
func (t *Tracker) AnyCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.ways {
		if w.machine.Current() == Cut {
			return true
		}
	}
	return false
}

// DueChecks returns the services of which an endpoint is to be checked now.
func (t *Tracker) DueChecks(now time.Time) (due []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, w := range t.ways {
		if (w.lost() || w.checkDue) && now.Sub(w.checkedAt) >= CheckInterval {
			w.checkedAt, w.checkDue = now, false
			due = append(due, service)
		}
	}
	return due
}

// ServiceState is the state of the way to one service, for operators.
type ServiceState struct {
	Service       string `json:"service"`
	State         string `json:"state"`
	SinceMS       int64  `json:"since_ms"`
	AnsweredAgoMS int64  `json:"answered_ago_ms"` // since an endpoint has last answered this host; -1 if none has
	Failures      int    `json:"failures"`        // since that answer
}

// States returns the states of all services that this host has used, ordered by service.
func (t *Tracker) States(now time.Time) (list []ServiceState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.ways {
		s := ServiceState{Service: w.service, State: w.machine.Current(), SinceMS: now.Sub(w.since).Milliseconds(), AnsweredAgoMS: -1, Failures: w.failures}
		if !w.answeredAt.IsZero() {
			s.AnsweredAgoMS = now.Sub(w.answeredAt).Milliseconds()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// NeedsChecks reports whether endpoints of any service have to be checked.
func (t *Tracker) NeedsChecks() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.ways {
		if w.lost() || w.checkDue {
			return true
		}
	}
	return false
}
