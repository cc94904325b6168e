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
			var unowned, gone []float64
			for b.Loop() {
				w := newNetwork(b, c.hosts, uint64(len(gone)))
				w.agreeWithin(healing)
				w.run(time.Second)
				for _, n := range w.nodes[1 : 1+c.failed] {
					n.up = false
				}
				began := w.now
				passed := func() float64 { return float64(w.now.Sub(began).Milliseconds()) }
				for w.anyView(func(w *network, n *node) bool { return slices.ContainsFunc(n.machine.View().Serving(), w.isDown) }) {
					w.run(resolution)
				}
				unowned = append(unowned, passed())
				for w.anyView(func(w *network, n *node) bool {
					for _, m := range n.machine.View().Members {
						if w.isDown(m.Host) {
							return true
						}
					}
					return false
				}) {
					w.run(resolution)
				}
				gone = append(gone, passed())
			}
			b.ReportMetric(slices.Max(unowned), "unowned_ms")
			b.ReportMetric(slices.Max(gone), "members_ms")
			b.ReportMetric(float64(len(gone)), "runs")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// isDown reports whether the host with the given name is stopped.
func (w *network) isDown(name string) bool {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	return !w.nodes[i].up
}

// anyView reports whether the condition holds for any running host.
func (w *network) anyView(is func(*network, *node) bool) bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool { return n.up && is(w, n) })
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
