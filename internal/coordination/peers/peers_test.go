package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func host(n int, zone string) Host {
	name := fmt.Sprintf("%s-%d", zone, n)
	return Host{Name: name, Zone: zone, Started: 1, Callers: name + ":1", Peers: name + ":2", State: name + ":3", Cores: 0.3}
}

// deployment returns the tables of all hosts, each of which has heard its neighbours and read of all others.
func deployment(zones []string, perZone int) map[string]*Table {
	tables := map[string]*Table{}
	for _, z := range zones {
		for n := range perZone {
			tables[host(n, z).Name] = NewTable(DefaultConfig(host(n, z)))
		}
	}
	for _, t := range tables {
		for _, z := range zones {
			for n := range perZone {
				t.Put(host(n, z), start)
				if z == t.cfg.Self.Zone {
					t.Greeted(host(n, z), Status{Ready: true}, start)
				}
			}
		}
		t.SetStatus(Status{Ready: true})
	}
	return tables
}

// TestOneFirstReader guards the calls to the store: one host reads first, and every host reads early enough to meet 2 s for leaving
// endpoints even if nobody tells it anything.
func TestOneFirstReader(t *testing.T) {
	is := is.New(t)
	var ages []time.Duration
	for _, table := range deployment([]string{"a", "b", "c"}, 5) {
		ages = append(ages, table.MaxAge(start))
	}
	slices.Sort(ages)
	cfg := DefaultConfig(Host{})
	is.Equal(ages[0], cfg.AgeFirst)
	is.True(ages[1] >= cfg.AgeFirst+cfg.AgePerZone)
	is.True(ages[len(ages)-1] < 1500*time.Millisecond)
}

// TestRanksCloseUp guards against a zone that waits for a reader that is gone.
func TestRanksCloseUp(t *testing.T) {
	is := is.New(t)
	tables := deployment([]string{"a"}, 3)
	silent := start.Add(time.Minute) // nobody was heard for a minute
	for _, table := range tables {
		is.Equal(table.MaxAge(silent), DefaultConfig(Host{}).AgeFirst)
	}
}

// TestAddresses guards what callers are told: hosts of the zone that live, are ready and stay, the same from all hosts, and never none
// while another host is known.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	tables := deployment([]string{"a", "b"}, 4)
	table := tables["a-0"]
	offered := table.Addresses(start, 64)
	is.Equal(len(offered), DefaultConfig(Host{}).MinOffered)
	for _, other := range []string{"a-1", "a-2", "a-3"} {
		is.Equal(tables[other].Addresses(start, 64), offered)
	}
	for n := range 4 {
		h := host(n, "a")
		if h.Callers == offered[0] && h.Name != "a-0" {
			table.Greeted(h, Status{Ready: true, Leaving: true}, start)
		}
	}
	table.SetStatus(Status{Leaving: true})
	left := table.Addresses(start, 64)
	is.True(!slices.Contains(left, "a-0:1"))
	is.Equal(len(left), 2)
	far := table.Addresses(start.Add(time.Hour), 64) // all neighbours are silent and this host leaves
	is.Equal(len(far), 4)
	for _, a := range far {
		is.Equal(a[:1], "b")
	}
}

// TestRestartedHost guards against greetings of an earlier start that arrive late.
func TestRestartedHost(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	now := host(1, "a")
	now.Started = 5
	is.True(table.Greeted(now, Status{Ready: true}, start))
	is.True(!table.Greeted(host(1, "a"), Status{Leaving: true}, start))
	is.True(!table.Put(host(1, "a"), start))
	is.True(slices.Contains(table.Addresses(start, 64), "a-1:1"))
	is.True(!table.Greeted(now, Status{Ready: true}, start)) // nothing new
	is.Equal(table.Known(), 2)
}

// TestRelays guards the bytes between zones: of each other zone few hosts are told, and of the own zone none.
func TestRelays(t *testing.T) {
	is := is.New(t)
	relays := deployment([]string{"a", "b", "c"}, 5)["a-0"].Relays(start)
	is.Equal(len(relays), 2*relaysPerZone)
	for _, r := range relays {
		is.True(r.Zone != "a")
	}
}

// TestRelaysThatLive guards against updates for a zone that go to hosts which are gone.
func TestRelaysThatLive(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b"}, 5)["a-0"]
	table.Greeted(host(3, "b"), Status{Ready: true}, start)
	is.Equal(table.Relays(start)[0].Name, "b-3")
}

// TestIntroduce guards what a starting host is told: all of its zone, few of each other zone.
func TestIntroduce(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b", "c"}, 5)["a-0"]
	count := map[string]int{}
	for _, h := range table.Introduce("b", start) {
		count[h.Zone]++
	}
	is.Equal(count, map[string]int{"a": introducedPerZone, "b": 5, "c": introducedPerZone})
}

// TestInformed guards the choice of a peer for a starting host's first state: one of its own zone if there is any.
func TestInformed(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	_, _, ok := table.Informed(start)
	is.True(!ok)
	table.Greeted(host(1, "b"), Status{Informed: true}, start)
	table.Greeted(host(2, "a"), Status{}, start)
	h, own, ok := table.Informed(start)
	is.True(ok && !own)
	is.Equal(h.Name, "b-1")
	table.Greeted(host(3, "a"), Status{Informed: true}, start)
	h, own, ok = table.Informed(start)
	is.True(ok && own)
	is.Equal(h.Name, "a-3")
}

// TestRosterHasOneWriter guards the calls to the store: of the hosts that see each other one writes the list of the zone.
func TestRosterHasOneWriter(t *testing.T) {
	is := is.New(t)
	writers := 0
	for _, table := range deployment([]string{"a"}, 5) {
		hosts, first := table.Roster(start)
		is.Equal(len(hosts), 5)
		if first {
			writers++
		}
	}
	is.Equal(writers, 1)
}

// TestForgetSilent guards against greetings for hosts that were removed for good.
func TestForgetSilent(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b"}, 3)["a-0"]
	table.Greeted(host(1, "a"), Status{}, start.Add(forgetSilent))
	is.Equal(table.Forget(start.Add(forgetSilent+1)), []string{"a-2"})
	is.Equal(len(table.Neighbours()), 1)
}

// TestOfferedBySize answers zones of few large and many small hosts: the large ones are offered while they can carry the requests, and
// small ones besides when they cannot, or when a large one is gone.
func TestOfferedBySize(t *testing.T) {
	is := is.New(t)
	self := host(0, "a")
	self.Cores = 0.16
	table := NewTable(DefaultConfig(self))
	table.SetStatus(Status{Ready: true})
	greet := func(n int, cores float64, rate int) {
		h := host(n, "a")
		h.Cores = cores
		table.Greeted(h, Status{Ready: true, Rate: rate}, start)
	}
	for n := 1; n <= 30; n++ {
		greet(n, 0.16, 0)
	}
	greet(31, 0.8, 0)
	greet(32, 0.8, 0)
	is.Equal(len(table.Addresses(start, 64)), 2)
	greet(31, 0.8, 150)
	greet(32, 0.8, 150)
	is.Equal(len(table.Addresses(start, 64)), 2) // 300 a second are 0.42 cores of work
	greet(31, 0.8, 300)
	greet(32, 0.8, 300)
	addresses := table.Addresses(start, 64)
	is.Equal(len(addresses), 15) // 600 a second need 2.4 cores at 35%, and each gets the same number
	is.True(slices.Contains(addresses, "a-31:1") && slices.Contains(addresses, "a-32:1"))
	is.Equal(table.Serving(start), 15)
}

// TestServingIsCurrent guards the kept number of serving hosts against changes and silence.
func TestServingIsCurrent(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	is.Equal(table.Serving(start), 1)
	table.SetStatus(Status{Ready: true})
	for n := 1; n < 3; n++ {
		table.Greeted(host(n, "a"), Status{Ready: true}, start)
	}
	is.Equal(table.Serving(start), 2)
	table.Put(host(3, "b"), start)
	is.Equal(table.Serving(start), 4) // the other zone is taken to be like this one
	is.Equal(table.Serving(start.Add(time.Minute)), 2)
}
