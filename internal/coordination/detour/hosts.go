package detour

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// Report is what a host tells others of its ways to the services, in a message. Ages are those at the time of sending, because hosts' clocks differ.
type Report struct {
	// Answered lists the services of which an endpoint has answered the host lately.
	Answered []ServiceAge `cbor:"1,keyasint,omitempty"`
	// Lost lists the services of which no endpoint answers the host.
	Lost []string `cbor:"2,keyasint,omitempty"`
	// Asks requests a message from hosts that are answered by endpoints of a service in Lost.
	Asks bool `cbor:"3,keyasint,omitempty"`
}

// ServiceAge says how long ago an endpoint of a service has answered, in milliseconds.
type ServiceAge struct {
	Service string `cbor:"1,keyasint"`
	AgeMS   int64  `cbor:"2,keyasint"`
}

// maxServices bounds the services in a report.
const maxServices = 32

// Check returns an error if the report is none that a host sends.
func (r *Report) Check() error {
	if r == nil {
		return nil
	}
	if len(r.Answered) > maxServices || len(r.Lost) > maxServices {
		return trace.BadParameter("a report lists %d and %d services: more than %d", len(r.Answered), len(r.Lost), maxServices)
	}
	for _, a := range r.Answered {
		if a.AgeMS < 0 || a.AgeMS > maxWitnessAge.Milliseconds() {
			return trace.BadParameter("the answer of service %.40q is %d ms old: not 0 to %d", a.Service, a.AgeMS, maxWitnessAge.Milliseconds())
		}
	}
	return nil
}

// hostReport is what another host has last reported.
type hostReport struct {
	host       peers.Host
	at         time.Time            // when the message arrived
	answered   map[string]time.Time // when an endpoint of a service has last answered it
	usable     bool                 // it accepts requests
	avoidUntil time.Time            // a detour through it has failed
	ongoing    int                  // detours of this host through it
}

// hostAnswer says when a host was answered.
type hostAnswer struct {
	host string
	at   time.Time
}

const (
	// avoidTime is how long requests go through other hosts, if there are any, after a detour through a host has failed.
	avoidTime = 500 * time.Millisecond
	// wantedHosts is the number of hosts that reach a service below which this host asks for more.
	wantedHosts = 3
	// askAhead is how long before the answer of another host gets too old this host asks again. Hosts of other zones report only if they are asked, and this
	// host asks with its heartbeats.
	askAhead = maxWitnessAge / 2
	// maxAskers bounds the hosts that wait for this host to be answered.
	maxAskers = 16
	// reportLifetime is how long a report is kept.
	reportLifetime = 10 * time.Second
)

// Report returns what this host tells others; nil if there is nothing to tell. It is called regularly, and so also ends the return of ways that no request uses.
func (t *Tracker) Report(now time.Time) *Report {
	t.mu.Lock()
	r, changes := t.reportLocked(now)
	t.mu.Unlock()
	t.report(changes, false)
	return r
}

// reportLocked does the work of Report. t.mu must be held.
func (t *Tracker) reportLocked(now time.Time) (r *Report, changes []Change) {
	r = &Report{}
	for service, w := range t.ways {
		if w.machine.Current() == Returning && w.directShare(now) >= 1 {
			changes = append(changes, t.apply(w, eventSettled, hostAnswer{}, now))
		}
		age := now.Sub(w.answeredAt)
		switch {
		case w.lost():
			r.Lost = append(r.Lost, service)
			r.Asks = r.Asks || t.countReaching(w, now.Add(askAhead)) < wantedHosts
		case age >= 0 && age < maxWitnessAge:
			r.Answered = append(r.Answered, ServiceAge{service, age.Milliseconds()})
		}
	}
	if len(r.Answered) == 0 && len(r.Lost) == 0 {
		return nil, changes
	}
	r.Answered, r.Lost = r.Answered[:min(len(r.Answered), maxServices)], r.Lost[:min(len(r.Lost), maxServices)]
	return r, changes
}

// countReaching returns the number of other hosts that reach a service. t.mu must be held.
func (t *Tracker) countReaching(w *way, now time.Time) (n int) {
	for _, r := range t.reports {
		if r.reaches(w, now) {
			n++
		}
	}
	return n
}

// KnowsNoHost reports whether this host has lost its way to a service and knows no other host that reaches it.
func (t *Tracker) KnowsNoHost(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.ways {
		if w.lost() && t.countReaching(w, now) == 0 {
			return true
		}
	}
	return false
}

// HandleReport records the report of another host, and whether it accepts requests. It returns whether this host should send it a message at once, because
// this host reaches a service that the other one does not.
func (t *Tracker) HandleReport(from peers.Host, usable bool, r *Report, now time.Time) (reply bool) {
	t.mu.Lock()
	h := t.reports[from.Name]
	if h == nil {
		h = &hostReport{}
		t.reports[from.Name] = h
	}
	h.host, h.at, h.usable = from, now, usable && from.DetourAddress != ""
	var changes []Change
	urgent := false
	if r != nil { // other messages carry no report
		h.answered = make(map[string]time.Time, len(r.Answered))
		for _, a := range r.Answered {
			h.answered[a.Service] = now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
			if w := t.ways[a.Service]; w != nil && w.machine.Current() == Silent && t.unanswered(w, now) && h.reaches(w, now) {
				changes = append(changes, t.apply(w, eventWitnessed, hostAnswer{from.Name, h.answered[a.Service]}, now))
			}
		}
		if r.Asks {
			for _, service := range r.Lost {
				answered, waits := t.answerTo(service, from.PeerAddress, now)
				reply, urgent = reply || answered, urgent || waits
			}
		}
	}
	t.mu.Unlock()
	t.report(changes, len(changes) > 0)
	return reply
}

// recentAnswer is the age up to which an answer is told to a host that asks without a new check.
const recentAnswer = 300 * time.Millisecond

// answerTo handles the question of a host that has lost its way to a service. It returns whether this host can answer at once, or has to check an endpoint
// first. t.mu must be held.
func (t *Tracker) answerTo(service, address string, now time.Time) (answered, waits bool) {
	w := t.way(service, now)
	if w.lost() {
		return false, false
	}
	if now.Sub(w.answeredAt) < recentAnswer {
		return true, false
	}
	w.checkDue = true
	if len(w.askers) < maxAskers && !slices.Contains(w.askers, address) {
		w.askers = append(w.askers, address)
	}
	return false, true
}

// TakeAskers returns the peer addresses of hosts that have waited until this host was answered, and now get a message.
func (t *Tracker) TakeAskers() (list []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.ways {
		if len(w.askers) == 0 || w.lost() || w.checkDue {
			continue
		}
		for _, a := range w.askers {
			if !slices.Contains(list, a) {
				list = append(list, a)
			}
		}
		w.askers = nil
	}
	return list
}

// reaches reports whether a host was answered by an endpoint of a service after this host was last answered and had failed once, lately.
func (r *hostReport) reaches(w *way, now time.Time) bool {
	at := r.answered[w.service]
	return r.usable && now.Sub(at) <= maxWitnessAge && at.After(w.failedSince)
}

// witness returns the host that was last answered by an endpoint of a service after this host had lost its way there. t.mu must be held.
func (t *Tracker) witness(w *way, now time.Time) (last hostAnswer) {
	for name, r := range t.reports {
		if at := r.answered[w.service]; r.reaches(w, now) && at.After(last.at) {
			last = hostAnswer{name, at}
		}
	}
	return last
}

const (
	// otherZonePenalty is the number of detours per core by which a host of this zone may be busier than one of another zone until that is chosen.
	otherZonePenalty = 24
)

// Choose returns the host through which a request for a service goes: of two random ones that reach it the one with fewer detours of this host per core,
// and one of another zone only if those of this zone are much busier, and one through which a detour has just failed only if no other is left. It counts the detour until Ended is called. ok is false if no host is left.
func (t *Tracker) Choose(service string, avoid []string, now time.Time) (h peers.Host, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.ways[service]
	if w == nil {
		return peers.Host{}, false
	}
	var own, other, failed []*hostReport
	for name, r := range t.reports {
		switch {
		case !r.reaches(w, now) || slices.Contains(avoid, name):
		case now.Before(r.avoidUntil):
			failed = append(failed, r)
		case r.host.Zone == t.cfg.Zone:
			own = append(own, r)
		default:
			other = append(other, r)
		}
	}
	best := t.lessBusy(own)
	if alternative := t.lessBusy(other); best == nil || alternative != nil && best.load() > alternative.load()+otherZonePenalty {
		best = alternative
	}
	if best == nil {
		best = t.lessBusy(failed)
	}
	if best == nil {
		return peers.Host{}, false
	}
	best.ongoing++
	return best.host, true
}

// load returns the detours of this host through another one per core of that.
func (r *hostReport) load() float64 { return float64(r.ongoing) / max(r.host.Cores, minCores) }

// minCores replaces the cores of hosts that state none.
const minCores = 0.01

// lessBusy returns the less busy of two random hosts, or nil if there is none.
func (t *Tracker) lessBusy(list []*hostReport) *hostReport {
	if len(list) == 0 {
		return nil
	}
	a, b := list[t.cfg.RandomIndex(len(list))], list[t.cfg.RandomIndex(len(list))]
	if b.load() < a.load() {
		return b
	}
	return a
}

// Ended records the end of a detour through a host. failed says that the host was not reached, or did not reach the endpoints itself.
func (t *Tracker) Ended(host string, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reports[host]
	if r == nil {
		return
	}
	r.ongoing = max(0, r.ongoing-1)
	if failed {
		r.avoidUntil = now.Add(avoidTime)
	}
}

// Evict forgets the reports of hosts that have been silent for too long.
func (t *Tracker) Evict(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.reports {
		if now.Sub(r.at) > reportLifetime && r.ongoing == 0 {
			delete(t.reports, name)
		}
	}
}
