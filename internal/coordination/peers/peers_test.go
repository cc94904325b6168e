package peers

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

var start = time.Unix(1000, 0)

func host(n int, zone string) Host {
	name := fmt.Sprintf("%s-%d", zone, n)
	return Host{Name: name, Zone: zone, Started: 1, CallerAddress: name + ":1", PeerAddress: name + ":2", StateAddress: name + ":3",
		Cores: 0.3}
}

// deployment returns the tables of all hosts by name. Each has received a message from every other host of its zone, and knows the hosts of
// other zones from the store.
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
				t.Add(host(n, z), start)
				if z == t.cfg.Self.Zone {
					t.RecordMessage(host(n, z), Status{Ready: true}, start)
				}
			}
		}
		t.SetStatus(Status{Ready: true})
	}
	return tables
}

// TestOneFirstReader checks that exactly one host has the lowest MaxAge, which keeps the calls to the store few, and that a host without
// updates still reads the store early enough to learn of leaving endpoints within 2 s.
func TestOneFirstReader(t *testing.T) {
	is := is.New(t)
	var ages []time.Duration
	for _, table := range deployment([]string{"a", "b", "c"}, 5) {
		ages = append(ages, table.MaxAge(start))
	}
	slices.Sort(ages)
	cfg := DefaultConfig(Host{})
	is.Equal(ages[0], cfg.MaxAgeFirst)
	is.True(ages[1] >= cfg.MaxAgeFirst+cfg.MaxAgePerZone)
	is.True(ages[len(ages)-1] < 1500*time.Millisecond)
}

// TestFewHostsWatch checks that the first hosts of two zones watch the store, so that one of them may fail, that a deployment of one zone has a
// watching host, and that they are the ones that read the store first.
func TestFewHostsWatch(t *testing.T) {
	for zones, expected := range map[int]int{1: 1, 2: 2, 5: 2} {
		is := is.New(t)
		watching := map[string]int{}
		for _, table := range deployment([]string{"a", "b", "c", "d", "e"}[:zones], 4) {
			if self, _ := table.Self(); table.WatchesStore(start) {
				watching[self.Zone]++
				is.True(table.MaxAge(start) <= DefaultConfig(Host{}).MaxAgeFirst+DefaultConfig(Host{}).MaxAgePerZone) // also reads first
			}
		}
		is.Equal(len(watching), expected)
		for _, hosts := range watching {
			is.Equal(hosts, 1)
		}
	}
}

// TestRanksSkipSilentHosts guards against late reads of the store after a failure of the first-ranked host: hosts that are not live have no
// rank.
func TestRanksSkipSilentHosts(t *testing.T) {
	is := is.New(t)
	tables := deployment([]string{"a"}, 3)
	silent := start.Add(time.Minute) // no host has sent a message for a minute
	for _, table := range tables {
		is.Equal(table.MaxAge(silent), DefaultConfig(Host{}).MaxAgeFirst)
	}
}

// TestAddresses checks which addresses callers are given: those of hosts of the zone that are live, ready and not leaving, and from all
// hosts the same ones. If there are none, callers are given the addresses of hosts of other zones.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	tables := deployment([]string{"a", "b"}, 4)
	table := tables["a-0"]
	advertised := table.Addresses(start, 64)
	is.Equal(len(advertised), DefaultConfig(Host{}).MinAdvertised)
	for _, other := range []string{"a-1", "a-2", "a-3"} {
		is.Equal(tables[other].Addresses(start, 64), advertised)
	}
	for n := range 4 {
		h := host(n, "a")
		if h.CallerAddress == advertised[0] && h.Name != "a-0" {
			table.RecordMessage(h, Status{Ready: true, Leaving: true}, start)
		}
	}
	table.SetStatus(Status{Leaving: true})
	remaining := table.Addresses(start, 64)
	is.True(!slices.Contains(remaining, "a-0:1"))
	is.Equal(len(remaining), 2)
	otherZone := table.Addresses(start.Add(time.Hour), 64) // no other host of the zone is live, and this host is leaving
	is.Equal(len(otherZone), 4)
	for _, a := range otherZone {
		is.Equal(a[:1], "b")
	}
}

// TestRestartedHost guards against late messages from an earlier start of a host: they must not replace what the later start sent.
func TestRestartedHost(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	now := host(1, "a")
	now.Started = 5
	is.True(table.RecordMessage(now, Status{Ready: true}, start))
	is.True(!table.RecordMessage(host(1, "a"), Status{Leaving: true}, start))
	is.True(!table.Add(host(1, "a"), start))
	is.True(slices.Contains(table.Addresses(start, 64), "a-1:1"))
	is.True(!table.RecordMessage(now, Status{Ready: true}, start)) // same status as before
	is.Equal(table.HostCount(), 2)
}

// TestRelays guards against too much traffic between zones: relays are few hosts of each other zone and none of this host's zone.
func TestRelays(t *testing.T) {
	is := is.New(t)
	relays := deployment([]string{"a", "b", "c"}, 5)["a-0"].Relays(start)
	is.Equal(len(relays), 2*relaysPerOtherZone)
	for _, r := range relays {
		is.True(r.Zone != "a")
	}
}

// TestRelaysPreferLiveHosts guards against updates that are lost for a whole zone because they go only to hosts that are not live.
func TestRelaysPreferLiveHosts(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b"}, 5)["a-0"]
	table.RecordMessage(host(3, "b"), Status{Ready: true}, start)
	is.Equal(table.Relays(start)[0].Name, "b-3")
}

// TestHostsForZone checks which hosts are sent to a starting host: all of its zone, and few of each other zone.
func TestHostsForZone(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b", "c"}, 5)["a-0"]
	count := map[string]int{}
	for _, h := range table.HostsForZone("b", start) {
		count[h.Zone]++
	}
	is.Equal(count, map[string]int{"a": hostsPerOtherZone, "b": 5, "c": hostsPerOtherZone})
}

// TestHostsForZoneIsCurrent guards against an outdated cached list: two hosts that start at the same time would not learn of each other. The
// order follows after startListTTL.
func TestHostsForZoneIsCurrent(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	names := func(now time.Time) []string {
		var list []string
		for _, h := range table.HostsForZone("b", now) {
			list = append(list, h.Name)
		}
		return list
	}
	is.Equal(len(names(start)), 0)
	table.RecordMessage(host(1, "b"), Status{}, start)
	is.Equal(names(start), []string{"b-1"})
	table.Add(host(2, "b"), start)
	is.Equal(names(start), []string{"b-1", "b-2"}) // the live one is the first
	later := start.Add(time.Minute)
	table.RecordMessage(host(2, "b"), Status{}, later)
	is.Equal(names(later), []string{"b-2", "b-1"})
	moved := host(2, "b")
	moved.PeerAddress = "b-2:9"
	table.RecordMessage(moved, Status{}, later)
	is.Equal(table.HostsForZone("b", later)[0], moved)
	is.Equal(names(later.Add(time.Minute)), rendezvous.Rank(readerKey, []string{"b-1", "b-2"})) // none is live
	table.Add(host(3, "a"), later)
	is.True(slices.Contains(names(later), "a-3"))
	table.RemoveSilent(later.Add(removeSilentAfter + 1))
	is.True(!slices.Contains(names(later), "a-3"))
}

// TestHostWithStoreCopy checks from which peer a starting host fetches its first state: one of its own zone if there is any.
func TestHostWithStoreCopy(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	_, _, ok := table.HostWithStoreCopy(start)
	is.True(!ok)
	table.RecordMessage(host(1, "b"), Status{HasStoreCopy: true}, start)
	table.RecordMessage(host(2, "a"), Status{}, start)
	h, own, ok := table.HostWithStoreCopy(start)
	is.True(ok && !own)
	is.Equal(h.Name, "b-1")
	table.RecordMessage(host(3, "a"), Status{HasStoreCopy: true}, start)
	h, own, ok = table.HostWithStoreCopy(start)
	is.True(ok && own)
	is.Equal(h.Name, "a-3")
}

// TestStoreCopyOfStayingHost guards against a starting host that fetches its first state from a host that is about to end, which cuts a long
// transfer, although another host of the zone stays.
func TestStoreCopyOfStayingHost(t *testing.T) {
	is := is.New(t)
	for range 50 { // the order of the hosts in the table is random
		table := NewTable(DefaultConfig(host(0, "a")))
		table.RecordMessage(host(1, "a"), Status{HasStoreCopy: true, Leaving: true}, start)
		table.RecordMessage(host(2, "b"), Status{HasStoreCopy: true}, start)
		h, own, ok := table.HostWithStoreCopy(start)
		is.True(ok && own)
		is.Equal(h.Name, "a-1") // the only one of the zone
		table.RecordMessage(host(3, "a"), Status{HasStoreCopy: true}, start)
		h, own, ok = table.HostWithStoreCopy(start)
		is.True(ok && own)
		is.Equal(h.Name, "a-3")
	}
}

// TestZoneHostListHasOneWriter guards against needless calls to the store: of the hosts of a zone that receive each other's heartbeats,
// only one writes the list of the zone's hosts.
func TestZoneHostListHasOneWriter(t *testing.T) {
	is := is.New(t)
	writers := 0
	for _, table := range deployment([]string{"a"}, 5) {
		hosts, first := table.ZoneHostList(start)
		is.Equal(len(hosts), 5)
		if first {
			writers++
		}
	}
	is.Equal(writers, 1)
}

// TestRemoveSilent guards against endless heartbeats to hosts that were removed for good.
func TestRemoveSilent(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b"}, 3)["a-0"]
	table.RecordMessage(host(1, "a"), Status{}, start.Add(removeSilentAfter))
	is.Equal(table.RemoveSilent(start.Add(removeSilentAfter+1)), []string{"a-2"})
	is.Equal(len(table.ZonePeers()), 1)
}

// TestWasSilent guards against a removed host that comes back into the table because others go on listing it, and against one that stays out although it
// has been started again or heard from.
func TestWasSilent(t *testing.T) {
	is := is.New(t)
	table, h := NewTable(DefaultConfig(host(0, "a"))), host(1, "a")
	is.True(!table.WasSilent(h)) // it was never known
	table.RecordMessage(h, Status{}, start)
	table.RemoveSilent(start.Add(removeSilentAfter + 1))
	is.True(table.WasSilent(h))
	restarted := h
	restarted.Started++
	is.True(!table.WasSilent(restarted))
	table.RecordMessage(h, Status{}, start.Add(time.Hour))
	is.True(!table.WasSilent(h))
}

// TestAdvertisedBySize checks a zone of few hosts with many cores and many hosts with few cores: only the former are advertised while they
// can handle the requests, and some of the latter too when they cannot.
func TestAdvertisedBySize(t *testing.T) {
	is := is.New(t)
	self := host(0, "a")
	self.Cores = 0.16
	table := NewTable(DefaultConfig(self))
	table.SetStatus(Status{Ready: true})
	heartbeat := func(n int, cores float64, rate int) {
		h := host(n, "a")
		h.Cores = cores
		table.RecordMessage(h, Status{Ready: true, Rate: rate}, start)
	}
	for n := 1; n <= 30; n++ {
		heartbeat(n, 0.16, 0)
	}
	heartbeat(31, 0.8, 0)
	heartbeat(32, 0.8, 0)
	is.Equal(len(table.Addresses(start, 64)), 2)
	heartbeat(31, 0.8, 150)
	heartbeat(32, 0.8, 150)
	is.Equal(len(table.Addresses(start, 64)), 2) // 300 requests per second use 0.42 cores
	heartbeat(31, 0.8, 300)
	heartbeat(32, 0.8, 300)
	addresses := table.Addresses(start, 64)
	is.Equal(len(addresses), 15) // 600 requests per second need 2.4 cores at 35% utilization, 0.16 of them on each host
	is.True(slices.Contains(addresses, "a-31:1") && slices.Contains(addresses, "a-32:1"))
	is.Equal(table.AdvertisedHostCount(start), 15)
}

// TestSmallHostsGetNoLargeShare guards against hosts of few cores that are late under a burst, because they are advertised beside a few large ones and get as
// many requests as these.
func TestSmallHostsGetNoLargeShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const rounding = 1e-6
		cfg := DefaultConfig(host(0, "a"))
		cores := slices.Concat(slices.Repeat([]float64{0.8}, rapid.IntRange(0, 3).Draw(t, "large hosts")),
			slices.Repeat([]float64{0.4}, rapid.IntRange(0, 3).Draw(t, "medium hosts")), slices.Repeat([]float64{0.16}, rapid.IntRange(1, 50).Draw(t, "small hosts")))
		rate := rapid.IntRange(0, 20).Draw(t, "requests per second and host")
		cfg.Self.Cores = cores[0]
		table := NewTable(cfg)
		table.SetStatus(Status{Ready: true, Rate: rate})
		for n, c := range cores[1:] {
			h := host(n+1, "a")
			h.Cores = c
			table.RecordMessage(h, Status{Ready: true, Rate: rate}, start)
		}
		list := table.advertised(start)
		slices.SortFunc(cores, func(a, b float64) int { return cmp.Compare(b, a) })
		capacity := func(n int) float64 { return float64(n) * cores[n-1] } // callers spread evenly
		most := 0.0
		for n := min(cfg.MinAdvertised, len(cores)); n <= len(cores); n++ {
			most = max(most, capacity(n))
		}
		need := max(cfg.MinAdvertisedShare*most, float64(rate*len(cores))*cfg.RequestCPUTime.Seconds()/cfg.TargetUtilization)
		is.True(len(list) >= min(cfg.MinAdvertised, len(cores)))
		need = min(need, most)
		is.True(capacity(len(list)) >= need-rounding)
		for n := cfg.MinAdvertised; n < len(list); n++ {
			is.True(capacity(n) < need+rounding)
		}
	})
}

// TestAdvertisedHostCountIsCurrent guards against an outdated cached number of advertised hosts: it must change with the status of this
// host, when a host is added, and when hosts are no longer live.
func TestAdvertisedHostCountIsCurrent(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	is.Equal(table.AdvertisedHostCount(start), 1)
	table.SetStatus(Status{Ready: true})
	for n := 1; n < 3; n++ {
		table.RecordMessage(host(n, "a"), Status{Ready: true}, start)
	}
	is.Equal(table.AdvertisedHostCount(start), 2)
	table.Add(host(3, "b"), start)
	is.Equal(table.AdvertisedHostCount(start), 4) // the other zone is assumed to advertise as many hosts as this one
	is.Equal(table.AdvertisedHostCount(start.Add(time.Minute)), 2)
}

// TestFastLinksPassChangesOn guards against zones that learn of a large change late, since all their hosts fetch it from one with a slow link:
// the hosts with the fastest links read the store first and pass the changes on.
func TestFastLinksPassChangesOn(t *testing.T) {
	is := is.New(t)
	withLink := func(n int, zone string) Host {
		h := host(n, zone)
		h.LinkMbps = 10
		if n >= 38 {
			h.LinkMbps = 200
		}
		return h
	}
	var fast, slow []time.Duration
	for n := range 40 {
		table := NewTable(DefaultConfig(withLink(n, "a")))
		for other := range 40 {
			table.RecordMessage(withLink(other, "a"), Status{Ready: true}, start)
			table.Add(withLink(other, "b"), start)
		}
		var relays []string
		for _, h := range table.Relays(start) {
			relays = append(relays, h.Name)
		}
		slices.Sort(relays)
		is.Equal(relays, []string{"b-38", "b-39"})
		if n >= 38 {
			fast = append(fast, table.MaxAge(start))
		} else {
			slow = append(slow, table.MaxAge(start))
		}
	}
	is.True(slices.Max(fast) < slices.Min(slow))
}

// TestRateIsNoChange guards against a log line, and a new ranking of all hosts, for each heartbeat of a host that receives requests: its
// rate differs each time. The number of advertised hosts follows the rate after advertisedCacheTTL.
func TestRateIsNoChange(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultConfig(host(0, "a")))
	table.SetStatus(Status{Ready: true})
	for n := 1; n < 10; n++ {
		is.True(table.RecordMessage(host(n, "a"), Status{Ready: true}, start)) // new
	}
	is.Equal(table.AdvertisedHostCount(start), 2)
	is.True(!table.RecordMessage(host(1, "a"), Status{Ready: true, Rate: 500}, start))
	table.SetStatus(Status{Ready: true, Rate: 1})
	is.Equal(table.AdvertisedHostCount(start), 2)
	is.Equal(table.AdvertisedHostCount(start.Add(advertisedCacheTTL+1)), 7) // 501 requests per second need 2.004 cores, 0.3 on each host
	s := Status{Ready: true, Rate: 700}
	for _, change := range []func(){func() { s.HasStoreCopy = true }, func() { s.Leaving = true }, func() { s.Ready = false }} {
		change()
		is.True(table.RecordMessage(host(1, "a"), s, start))
		is.True(!table.RecordMessage(host(1, "a"), s, start))
	}
	moved := host(1, "a")
	moved.CallerAddress = "a-1:9"
	is.True(table.RecordMessage(moved, s, start))
	is.True(table.RecordMessage(moved, s, start.Add(time.Minute))) // live again
}

// TestHeartbeatIntervalProperties checks that the heartbeat interval follows the number of other hosts of the zone, whatever way they come,
// move and go.
func TestHeartbeatIntervalProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(DefaultConfig(host(0, "a")))
		now := start
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			h := host(rapid.IntRange(0, 5).Draw(t, "host"), "a")
			h.Zone, h.Started = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), int64(n/4)
			switch rapid.SampledFrom([]string{"add", "message", "remove"}).Draw(t, "event") {
			case "add":
				table.Add(h, now)
			case "message":
				table.RecordMessage(h, Status{}, now)
			case "remove":
				now = now.Add(removeSilentAfter / 2)
				table.RemoveSilent(now)
			}
			want := table.cfg.HeartbeatInterval + time.Duration(len(table.ZonePeers()))*table.cfg.HeartbeatIntervalPerHost
			if got := table.HeartbeatInterval(); got != want {
				t.Fatalf("interval %v with %d other hosts, want %v", got, len(table.ZonePeers()), want)
			}
		}
	})
}

// TestCutOffHostsAreAdvertisedLast guards against callers that are sent to hosts which have lost their way to the endpoints, while others of the zone, or
// of other zones, have not.
func TestCutOffHostsAreAdvertisedLast(t *testing.T) {
	is := is.New(t)
	table := deployment([]string{"a", "b"}, 4)["a-0"]
	report := func(n int, zone string, cutOff bool) {
		table.RecordMessage(host(n, zone), Status{Ready: true, CutOff: cutOff}, start)
	}
	table.SetStatus(Status{Ready: true, CutOff: true})
	report(1, "a", true)
	list := table.Addresses(start, 64)
	slices.Sort(list)
	is.Equal(list, []string{"a-2:1", "a-3:1"})
	report(2, "a", true)
	list = table.Addresses(start, 64)
	is.Equal(len(list), 2) // one alone would be too few
	is.Equal(list[0], "a-3:1")
	report(3, "a", true)
	is.Equal(len(table.Addresses(start, 64)), 2) // no host of another zone is known to be live
	report(1, "b", false)
	report(2, "b", false)
	report(3, "b", true)
	is.Equal(table.Addresses(start, 64), []string{"b-1:1", "b-2:1"})
	table.SetStatus(Status{Ready: true})
	is.Equal(table.Addresses(start, 64)[0], "a-0:1")
}
