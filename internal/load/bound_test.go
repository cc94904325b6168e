package load

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

const tick = time.Millisecond

// referenceBound simulates the reference scheduler in steps of one tick. It is correct only for endpoints of constant speed, where any
// idle slot is the best one.
func referenceBound(plan []Request, work []time.Duration, slots int) []BoundResult {
	results := make([]BoundResult, len(plan))
	done := make([]bool, len(plan))
	busy := make([]time.Duration, slots) // the time until which each slot is busy
	remaining := len(plan)
	for now := time.Duration(0); remaining > 0; now += tick {
		for s := 0; s < slots; {
			best := -1
			for i, r := range plan {
				if done[i] || r.At > now {
					continue
				}
				if best < 0 || dispatchedBefore(plan, i, best) {
					best = i
				}
			}
			if busy[s] > now || best < 0 {
				s++
				continue
			}
			done[best] = true
			remaining--
			end := now + work[best]
			if end > plan[best].At+time.Duration(plan[best].Op.DeadlineMS)*time.Millisecond {
				results[best] = BoundResult{Refused: true, End: now}
				continue
			}
			results[best] = BoundResult{End: end}
			busy[s] = end
		}
	}
	return results
}

func dispatchedBefore(plan []Request, a, b int) bool {
	if plan[a].Op.Class != plan[b].Op.Class {
		return plan[a].Op.Class < plan[b].Op.Class
	}
	da, db := plan[a].At+time.Duration(plan[a].Op.DeadlineMS)*tick, plan[b].At+time.Duration(plan[b].Op.DeadlineMS)*tick
	if da != db {
		return da < db
	}
	return a < b
}

func drawPlan(t *rapid.T) ([]Request, []time.Duration) {
	var plan []Request
	var work []time.Duration
	at := time.Duration(0)
	for range rapid.IntRange(1, 25).Draw(t, "requests") {
		at += time.Duration(rapid.IntRange(0, 6).Draw(t, "gap")) * tick
		op := &Operation{Operation: contract.Operation{Class: contract.Class(rapid.IntRange(0, 2).Draw(t, "class")), DeadlineMS: rapid.IntRange(5, 60).Draw(t, "deadline")}}
		plan = append(plan, Request{At: at, Op: op})
		work = append(work, time.Duration(rapid.IntRange(1, 20).Draw(t, "work"))*tick)
	}
	return plan, work
}

func runBound(plan []Request, work []time.Duration, endpoints []BoundEndpoint) []BoundResult {
	return Bound(plan, func(r *Request) time.Duration {
		for i := range plan {
			if &plan[i] == r {
				return work[i]
			}
		}
		panic("request is not in the plan")
	}, endpoints)
}

// TestBoundMatchesReference guards against a reference schedule that serves requests out of order, leaves a slot idle while a request
// waits, or runs more requests than it has slots.
func TestBoundMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan, work := drawPlan(t)
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		var endpoints []BoundEndpoint
		for range slots {
			endpoints = append(endpoints, BoundEndpoint{Slots: 1, Slowness: standin.NewSlowness(0, standin.Noise{})})
		}
		got, want := runBound(plan, work, endpoints), referenceBound(plan, work, slots)
		for i := range plan {
			if got[i] != want[i] {
				t.Fatalf("request %d: bound %+v, reference %+v", i, got[i], want[i])
			}
		}
	})
}

// TestBoundAvoidsSlowEndpoint guards against a reference schedule that starts a request on an idle slow endpoint although it would
// complete earlier if it waited for a fast one.
func TestBoundAvoidsSlowEndpoint(t *testing.T) {
	slow := standin.NewSlowness(0, standin.Noise{})
	slow.Slow(0, time.Hour, 100)
	op := &Operation{Operation: contract.Operation{DeadlineMS: 10_000}}
	plan := []Request{{Op: op}, {Op: op}, {Op: op}}
	work := []time.Duration{10 * tick, 10 * tick, 10 * tick}
	got := runBound(plan, work, []BoundEndpoint{{1, slow}, {1, standin.NewSlowness(0, standin.Noise{})}})
	for i, r := range got {
		if want := time.Duration(i+1) * 10 * tick; r.End != want || r.Refused {
			t.Fatalf("request %d: got %+v, want completion at %v", i, r, want)
		}
	}
}
