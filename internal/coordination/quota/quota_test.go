package quota

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// excess returns by how much the runs of a customer exceed what is allowed, in the worst window that ends after a time, and what that window allows. While a
// limit changes, the highest one counts that was in force in the window or 2.5 s before.
func (c *simCustomer) excess(since time.Time) (worst, bound float64) {
	worst = math.Inf(-1)
	runs := append([]time.Time(nil), c.runs...)
	for i := 1; i < len(runs); i++ { // nearly sorted
		for j := i; j > 0 && runs[j].Before(runs[j-1]); j-- {
			runs[j], runs[j-1] = runs[j-1], runs[j]
		}
	}
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= tolerance.Window {
			first++
		}
		if at.Before(since) {
			continue
		}
		allowed := 0.0
		for k, l := range c.limits {
			ended := k+1 < len(c.limits) && c.limits[k+1].at.Add(2500*time.Millisecond).Before(runs[first])
			if !l.at.After(at) && !ended {
				allowed = max(allowed, (l.PerSecond*tolerance.Window.Seconds()+l.Burst)*(1+tolerance.Over)+tolerance.Slack)
			}
		}
		if over := float64(i-first+1) - allowed; over > worst {
			worst, bound = over, allowed
		}
	}
	return worst, bound
}

// typical adds customers of many sizes: most with a demand below their limit, one beyond it.
func (s *simulation) typical() (hot *simCustomer) {
	for i, usual := range []float64{60, 20, 8, 4, 2, 1} {
		s.add(fmt.Sprint("c-", i), 1.6*usual, usual, usual)
	}
	hot = s.add("hot", 1.6*30, 20, 7.5*30)
	s.add("hot-large", 300, 0, 1500)
	s.add("hot-small", 2, 0, 15)
	return hot
}

// full plays all cases at all sizes, which takes minutes.
var full = flag.Bool("full", false, "play all cases of large deployments")

// maxOutage is the time after a fault until customers have a coordinator again: takeoverTime, the time until a host asks it, and repeated messages.
const maxOutage = 1200 * time.Millisecond

// TestBoundAndService guards against more requests of a customer in any window than its limit and the tolerance allow, summed over all hosts, whatever
// happens to hosts: its coordinators die, freeze and wake, are cut off alone or with other hosts, and all hosts are restarted at once. Customers below
// their limits are served: none of their requests is refused as beyond the limit unless a coordinator has changed shortly before, and soon after each fault
// there is a coordinator again.
func TestBoundAndService(t *testing.T) {
	for name, fault := range map[string]func(s *simulation, n int){
		"none": func(*simulation, int) {},
		"die": func(s *simulation, n int) {
			h := s.hosts[n%s.large()]
			h.down = true
			s.after(1500*time.Millisecond, h.start)
		},
		"freeze": func(s *simulation, n int) {
			h := s.hosts[n%s.large()]
			h.frozen = true
			s.after([]time.Duration{300, 900, 2500}[n%3]*time.Millisecond, h.thaw)
		},
		"cut off": func(s *simulation, n int) { s.cut(2500*time.Millisecond, n%s.large()) },
		"cut off with others": func(s *simulation, n int) {
			group := []int{n % s.large()}
			for i := s.large(); i < len(s.hosts)*2/5; i++ {
				group = append(group, i)
			}
			s.cut(2500*time.Millisecond, group...)
		},
		"restart all": func(s *simulation, n int) {
			if n%2 == 0 {
				for _, h := range s.hosts {
					h.down = true
					s.after(time.Duration(100+s.rng.IntN(100))*time.Millisecond, h.start)
				}
			}
		},
	} {
		for _, size := range []struct{ hosts, rounds int }{{12, 6}, {50, 3}, {137, 6}} {
			if !*full && (size.hosts > 50 || size.hosts > 12 && name != "cut off with others") {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d hosts", name, size.hosts), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSimulation(uint64(size.hosts), size.hosts, 3, 0.01)
				s.typical()
				s.runFor(5 * time.Second)
				for _, c := range s.customers {
					c.sent, c.exceeded, c.unavailable = 0, 0, 0
				}
				outage := time.Duration(0)
				for n := range size.rounds {
					begin := s.now
					fault(s, n)
					s.runFor(5 * time.Second)
					for _, c := range s.customers {
						outage = max(outage, c.lastUnavailable.Sub(begin))
					}
				}
				t.Logf("without a coordinator until %v after a fault, messages %v", outage, s.messages)
				is.True(outage <= maxOutage)
				for _, c := range s.customers {
					worst, bound := c.excess(simBegin)
					t.Logf("%-10s limit %5.1f + %3.0f, demand %6.1f: sent %5d, ran %5d, exceeded %5d, unavailable %4d, most %5.1f of %5.1f",
						c.name, c.limits[0].PerSecond, c.limits[0].Burst, c.perSecond, c.sent, len(c.runs), c.exceeded, c.unavailable, bound+worst, bound)
					is.True(worst <= 0)
					if c.perSecond < c.limits[0].PerSecond {
						is.True(float64(c.exceeded) <= map[bool]float64{true: 0, false: 0.1 * float64(c.sent)}[name == "none"])
						is.True(name != "none" || c.unavailable == 0)
					} else {
						is.True(float64(len(c.runs)) >= 0.9*c.limits[0].PerSecond*s.now.Sub(simBegin.Add(8*time.Second)).Seconds()*(1-c.notRun)-20)
					}
				}
			})
		}
	}
}

// cut cuts hosts off from the others for a time.
func (s *simulation) cut(d time.Duration, group ...int) {
	for _, i := range group {
		s.hosts[i].group = 1
	}
	s.after(d, func() {
		for _, i := range group {
			s.hosts[i].group, s.hosts[i].calmSince = 0, s.now
		}
	})
}
