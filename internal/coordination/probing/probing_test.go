package probing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// TestSumOverHosts guards against more probes to one upstream than the contract allows, summed over all hosts. Hosts see
// different numbers of hosts, restart together or one at a time, replace each other within entry_hosts_max, and get probe
// responses late or never.
func TestSumOverHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		perSecond := rapid.SampledFrom([]float64{0.1, 0.5, 3}).Draw(t, "budget")
		rate := limits.ProbeBudget{PerHost: perSecond / float64(hosts), Total: perSecond}
		now := time.Unix(0, 0)
		type host struct {
			budget      *Budget
			outstanding bool
		}
		list := make([]host, hosts)
		for i := range list {
			list[i].budget = NewBudget()
		}
		started := hosts // processes started so far
		var sent []time.Time
		var endedBefore []int // for each probe, the processes that had ended before it
		ended := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond)
			restart := rapid.IntRange(0, 40).Draw(t, "restart")
			for i := range list {
				h := &list[i]
				if restart == 0 || restart == i+1 {
					*h = host{budget: NewBudget()}
					started++
					ended++
				}
				if h.outstanding && rapid.Bool().Draw(t, "answered") {
					h.budget.ProbeDone("u")
					h.outstanding = false
				}
				if seen := rapid.IntRange(0, 2*hosts).Draw(t, "seen"); h.budget.TryStart(now, "u", rate, seen) {
					if h.outstanding {
						t.Fatal("a second probe was started while the first is outstanding")
					}
					h.outstanding = true
					sent = append(sent, now)
					endedBefore = append(endedBefore, ended)
				}
			}
		}
		// Check every interval between two probes, not only the whole run.
		for i := range sent {
			for j := i; j < len(sent); j++ {
				interval := sent[j].Sub(sent[i]).Seconds()
				bound := perSecond*interval + float64(hosts+endedBefore[j]-endedBefore[i])
				if got := float64(j - i + 1); got > bound+1e-6 {
					t.Fatalf("%g probes in %g s, want at most %g", got, interval, bound)
				}
			}
		}
		// All buckets start empty, so the whole run has no probe beyond the rate.
		if total := perSecond * now.Sub(time.Unix(0, 0)).Seconds(); float64(len(sent)) > total+1e-6 {
			t.Fatalf("%d probes in the whole run, want at most %g; %d processes were started", len(sent), total, started)
		}
	})
}

// TestOneProbeOutstanding guards against concurrent probes to one upstream that does not respond, also when the upstream restarts.
func TestOneProbeOutstanding(t *testing.T) {
	is := is.New(t)
	b, rate := NewBudget(), limits.ProbeBudget{PerHost: 2, Total: 2}
	now := time.Unix(0, 0)
	is.True(!b.TryStart(now, "u", rate, 1)) // the bucket starts empty
	now = now.Add(time.Second)
	is.True(b.TryStart(now, "u", rate, 1))
	for range 100 {
		now = now.Add(time.Second)
		is.True(!b.TryStart(now, "u", rate, 1))
	}
	b.ProbeDone("u")
	is.True(b.TryStart(now, "u", rate, 1))
	is.True(!b.TryStart(now, "u", rate, 1))
	b.ProbeDone("u")
	b.RemoveIdle(now.Add(time.Second))
	is.True(!b.TryStart(now, "u", rate, 1)) // a bucket that was removed starts empty again
}
