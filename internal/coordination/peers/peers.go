// Package peers keeps what a host knows of the other entry hosts: who they are, which of them live and take callers, and how they rank
// for reading the store. Hosts of one availability zone greet each other all the time; of other zones a host knows what the store says.
package peers

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// Host describes one process of an entry host. It is kept in the store and told in greetings.
type Host struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Zone    string  `cbor:"2,keyasint" json:"zone"`
	Started int64   `cbor:"3,keyasint" json:"started"` // Unix milliseconds; a later start replaces an earlier one
	Callers string  `cbor:"4,keyasint" json:"callers"` // IP:port for callers
	Peers   string  `cbor:"5,keyasint" json:"peers"`   // IP:port for messages between hosts, over UDP
	State   string  `cbor:"6,keyasint" json:"state"`   // IP:port that serves the host's state to starting hosts, over TCP
	Cores   float64 `cbor:"7,keyasint" json:"cores"`   // processor cores that the process may use
}

// Status is what a host says of itself in a greeting.
type Status struct {
	Ready   bool `cbor:"1,keyasint"`
	Leaving bool `cbor:"2,keyasint"`
	// Informed says that the host has learned the state of the store, whatever it holds.
	Informed bool `cbor:"3,keyasint"`
	// Rate is the number of requests a second that the host has taken lately.
	Rate int `cbor:"4,keyasint"`
}

// Config of a Table.
type Config struct {
	Self Host
	// Greet is the time between greetings; it grows with the number of hosts in the zone.
	Greet time.Duration
	// GreetPerHost is added to Greet for each host in the zone, so that the greetings a host receives do not grow with the zone.
	GreetPerHost time.Duration
	// Missed is the number of greetings that may be missed before a host counts as gone.
	Missed int
	// MinOffered is the least number of hosts of a zone that callers are told of, so that the loss of one leaves another.
	MinOffered int
	// OfferedShare of the zone's processor cores is offered at least, since the demand is not known at the start.
	OfferedShare float64
	// RequestCost is the processor time of one request, with the questions to endpoints, and BusyShare the part of a host's time that
	// requests should take. More hosts are offered when the zone's requests would take more.
	RequestCost time.Duration
	BusyShare   float64
	// AgeFirst is how old the knowledge of the first-ranked host becomes before it reads the store; each further zone waits AgePerZone
	// longer, and each further host of a zone AgePerHost.
	AgeFirst, AgePerZone, AgePerHost time.Duration
	// AgeLongest bounds the sum, so that also the last host meets the deadlines for leaving endpoints and configurations.
	AgeLongest time.Duration
}

// DefaultConfig returns the figures used in production. A leaving endpoint has to be known within 2 s: the first host reads each 0.65 s,
// and the third in rank would notice after 1.15 s that the first two do not.
func DefaultConfig(self Host) Config {
	return Config{Self: self, Greet: 200 * time.Millisecond, GreetPerHost: 10 * time.Millisecond, Missed: 4, MinOffered: 2, OfferedShare: 0.2,
		RequestCost: 1400 * time.Microsecond, BusyShare: 0.35,
		AgeFirst: 650 * time.Millisecond, AgePerZone: 150 * time.Millisecond, AgePerHost: 250 * time.Millisecond, AgeLongest: 1300 * time.Millisecond}
}

// Table is safe for concurrent use.
type Table struct {
	cfg Config

	mu      sync.Mutex
	hosts   map[string]*peer
	status  Status
	serving serving
}

// serving is the number of hosts that callers are told of. Ranking the hosts takes long beside the handling of a request, and the
// number changes with messages and silence only.
type serving struct {
	hosts int // 0 after a change
	at    time.Time
}

// servingReuse is how long the number is used although hosts may have become silent: a part of the time after which that is noticed.
const servingReuse = 100 * time.Millisecond

type peer struct {
	Host
	Status
	heard time.Time // last message; zero if only others name the host
	named time.Time // when it was first named
}

// NewTable returns a table that knows no other host.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, hosts: map[string]*peer{}}
}

// SetStatus changes what this host says of itself.
func (t *Table) SetStatus(s Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status, t.serving = s, serving{}
}

// Self returns what this host says of itself.
func (t *Table) Self() (Host, Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Self, t.status
}

// Put takes in a host that the store or another host names. It reports whether that is news.
func (t *Table) Put(h Host, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[h.Name]
	if h.Name == t.cfg.Self.Name || (old != nil && old.Started >= h.Started) {
		return false
	}
	t.hosts[h.Name], t.serving = &peer{Host: h, named: now}, serving{}
	return true
}

// Greeted takes in a message of a host. It reports whether the host is new or has changed its status.
func (t *Table) Greeted(h Host, s Status, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[h.Name]
	if h.Name == t.cfg.Self.Name || (old != nil && old.Started > h.Started) {
		return false
	}
	changed := old == nil || old.Host != h || old.Status != s || !t.live(old, now)
	t.hosts[h.Name] = &peer{Host: h, Status: s, heard: now, named: now}
	if changed {
		t.serving = serving{}
	}
	return changed
}

// forgetSilent is how long a host that is silent is kept. Hosts of other zones are heard only when they are told something.
const forgetSilent = 30 * time.Second

// Forget drops hosts that have been silent for long, and returns their names.
func (t *Table) Forget(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, p := range t.hosts {
		last := p.named
		if p.heard.After(last) {
			last = p.heard
		}
		if p.Zone == t.cfg.Self.Zone && now.Sub(last) > forgetSilent {
			delete(t.hosts, name)
			t.serving = serving{}
			names = append(names, name)
		}
	}
	return names
}

// introducedPerZone is the number of hosts of another zone that a starting host is told of.
const introducedPerZone = 3

// Introduce returns the hosts that a host of the given zone should know: all of its zone, some of each other zone, this one's live ones
// first.
func (t *Table) Introduce(zone string, now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, z := range t.zones() {
		names := t.namesOf(z, now)
		if z != zone {
			names = names[:min(introducedPerZone, len(names))]
		}
		for _, name := range names {
			list = append(list, t.hosts[name].Host)
		}
	}
	return list
}

// namesOf returns the other hosts of a zone in rank, live ones first.
func (t *Table) namesOf(zone string, now time.Time) []string {
	var live, rest []string
	for _, p := range t.hosts {
		switch {
		case p.Zone != zone:
		case t.live(p, now):
			live = append(live, p.Name)
		default:
			rest = append(rest, p.Name)
		}
	}
	return append(rendezvous.Rank(readerKey, live), rendezvous.Rank(readerKey, rest)...)
}

// Informed returns a host that lives and knows the store, one of this zone if there is any.
func (t *Table) Informed(now time.Time) (h Host, ownZone, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.hosts {
		if !p.Status.Informed || !t.live(p, now) {
			continue
		}
		if own := p.Zone == t.cfg.Self.Zone; own || !ok {
			h, ownZone, ok = p.Host, own, true
			if own {
				break
			}
		}
	}
	return h, ownZone, ok
}

func (t *Table) live(p *peer, now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= time.Duration(t.cfg.Missed)*t.greetLocked()
}

func (t *Table) greetLocked() time.Duration {
	n := 0
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone {
			n++
		}
	}
	return t.cfg.Greet + time.Duration(n)*t.cfg.GreetPerHost
}

// Greet returns the time until the next greeting.
func (t *Table) Greet() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.greetLocked()
}

// Neighbours returns the other hosts of the zone. Hosts that have not been heard are among them, because they may have just started.
func (t *Table) Neighbours() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone {
			list = append(list, p.Host)
		}
	}
	return list
}

// Known returns the number of hosts, this one included.
func (t *Table) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts) + 1
}

// Serving returns the number of hosts that callers are told of, over all zones, if the other zones are like this one.
func (t *Table) Serving(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.serving.hosts == 0 || now.Sub(t.serving.at) > servingReuse {
		t.serving = serving{max(1, len(t.offered(now))) * len(t.zones()), now}
	}
	return t.serving.hosts
}

// Live returns the names of the neighbours that were heard recently, ordered.
func (t *Table) Live(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveNames(now)
}

func (t *Table) liveNames(now time.Time) []string {
	var names []string
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone && t.live(p, now) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// readerKey orders zones and hosts for reading the store.
const readerKey = "store reader"

// MaxAge returns how old this host lets its knowledge of the store become.
func (t *Table) MaxAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := slices.Index(rendezvous.Rank(readerKey, t.zones()), t.cfg.Self.Zone)
	host := slices.Index(rendezvous.Rank(readerKey, append(t.liveNames(now), t.cfg.Self.Name)), t.cfg.Self.Name)
	age := t.cfg.AgeFirst + time.Duration(zone)*t.cfg.AgePerZone + time.Duration(host)*t.cfg.AgePerHost
	return min(age, t.cfg.AgeLongest+time.Duration(host)*10*time.Millisecond)
}

func (t *Table) zones() []string {
	zones := []string{t.cfg.Self.Zone}
	for _, p := range t.hosts {
		if !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	return zones
}

// relaysPerZone is the number of hosts of another zone that are told directly; they tell their neighbours. With two of them, one that
// has failed delays nothing.
const relaysPerZone = 2

// Relays returns the hosts of other zones that are told what this host has read.
func (t *Table) Relays(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, zone := range t.zones()[1:] {
		names := t.namesOf(zone, now)
		for _, name := range names[:min(relaysPerZone, len(names))] {
			list = append(list, t.hosts[name].Host)
		}
	}
	return list
}

// Roster returns the hosts of this zone that live, this one included, if this host is the first in rank to write it down.
func (t *Table) Roster(now time.Time) (hosts []Host, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := append(t.liveNames(now), t.cfg.Self.Name)
	first = rendezvous.First(readerKey, names) == t.cfg.Self.Name
	slices.Sort(names)
	for _, name := range names {
		if name == t.cfg.Self.Name {
			hosts = append(hosts, t.cfg.Self)
			continue
		}
		hosts = append(hosts, t.hosts[name].Host)
	}
	return hosts, first
}

// offeredKey orders the hosts of a zone for callers.
const offeredKey = "callers"

// offered returns the hosts of this zone that callers are told of: few large ones, which take many requests each and so know the
// endpoints' load better than many small ones, but enough of them for the requests of the zone. Callers use them evenly.
func (t *Table) offered(now time.Time) []Host {
	ready := map[string]Host{}
	rate, cores := 0, 0.0
	if t.status.Ready && !t.status.Leaving {
		ready[t.cfg.Self.Name] = t.cfg.Self
	}
	rate += t.status.Rate
	for _, p := range t.hosts {
		if p.Zone != t.cfg.Self.Zone || !t.live(p, now) {
			continue
		}
		rate += p.Rate
		if p.Ready && !p.Leaving {
			ready[p.Name] = p.Host
		}
	}
	var ranked []Host
	for _, name := range rendezvous.Rank(offeredKey, slices.Collect(maps.Keys(ready))) {
		ranked = append(ranked, ready[name])
		cores += ready[name].Cores
	}
	slices.SortStableFunc(ranked, func(a, b Host) int { return cmp.Compare(b.Cores, a.Cores) })
	need := float64(rate) * t.cfg.RequestCost.Seconds() / t.cfg.BusyShare // cores
	sum := 0.0
	for i, h := range ranked {
		sum += h.Cores
		n := i + 1
		// The smallest host gets as many requests as the largest.
		if n >= t.cfg.MinOffered && sum >= t.cfg.OfferedShare*cores && h.Cores*float64(n) >= need {
			return ranked[:n]
		}
	}
	return ranked
}

// Addresses returns addresses for callers. If no host of the zone is ready, the hosts of other zones that are known are offered.
func (t *Table) Addresses(now time.Time, most int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, h := range t.offered(now) {
		list = append(list, h.Callers)
	}
	if len(list) == 0 {
		for _, p := range t.hosts {
			if p.Zone != t.cfg.Self.Zone {
				list = append(list, p.Callers)
			}
		}
		slices.Sort(list)
	}
	return list[:min(most, len(list))]
}
