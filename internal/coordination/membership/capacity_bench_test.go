package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
)

// BenchmarkDetection measures, in simulated time, how long hosts that fail at the same time stay in the views of the running hosts:
// until no view lists one of them as serving, that is as a possible owner (unowned_ms), and until no view lists one of them at all
// (members_ms).
func BenchmarkDetection(b *testing.B) {
	const resolution = 25 * time.Millisecond
	for _, c := range []struct{ hosts, failed int }{{15, 1}, {64, 1}, {64, 12}, {64, 27}, {188, 1}, {188, 12}} {
		b.Run(fmt.Sprintf("hosts=%d/failed=%d", c.hosts, c.failed), func(b *testing.B) {
			var unowned, absent []float64
			for b.Loop() {
				sim := newSimulation(b, c.hosts, uint64(len(absent)))
				sim.waitForAgreement(agreementTimeout)
				sim.run(time.Second)
				for _, n := range sim.nodes[1 : 1+c.failed] {
					n.running = false
				}
				began := sim.now
				passed := func() float64 { return float64(sim.now.Sub(began).Milliseconds()) }
				for sim.anyView(func(sim *simulation, n *node) bool {
					return slices.ContainsFunc(n.machine.View().ServingHosts(), sim.isDown)
				}) {
					sim.run(resolution)
				}
				unowned = append(unowned, passed())
				for sim.anyView(func(sim *simulation, n *node) bool {
					for _, m := range n.machine.View().Members {
						if sim.isDown(m.Host) {
							return true
						}
					}
					return false
				}) {
					sim.run(resolution)
				}
				absent = append(absent, passed())
			}
			b.ReportMetric(slices.Max(unowned), "unowned_ms")
			b.ReportMetric(slices.Max(absent), "members_ms")
			b.ReportMetric(float64(len(absent)), "runs")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// isDown reports whether the host with the given name is stopped.
func (sim *simulation) isDown(name string) bool {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == name })
	return !sim.nodes[i].running
}

// anyView reports whether the condition holds for any running host.
func (sim *simulation) anyView(is func(*simulation, *node) bool) bool {
	return slices.ContainsFunc(sim.nodes, func(n *node) bool { return n.running && is(sim, n) })
}

// BenchmarkMemberOfEach measures the look-up of all members of a view, which each change of the view causes.
func BenchmarkMemberOfEach(b *testing.B) {
	for _, hosts := range []int{15, 188, 1024} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v := &membership.View{}
			for i := range hosts {
				v.Members = append(v.Members, membership.Member{Host: fmt.Sprintf("host-%04d", i)})
			}
			for b.Loop() {
				for i := range v.Members {
					v.Member(v.Members[i].Host)
				}
			}
		})
	}
}
