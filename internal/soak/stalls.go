package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	stallInterval = 10 * time.Millisecond
	countedStall  = 50 * time.Millisecond  // stalls from this length on are in scopeStalls
	reportedStall = 300 * time.Millisecond // stalls from this length on are reported
)

// reportStalls records the times in which this process did not run, and writes a line for the long ones, until the context ends. Callers,
// endpoints, relays and the store are in this process, so that a stall delays all of them at once.
func (s *soak) reportStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		pause(ctx, stallInterval)
		now := time.Now()
		stall := now.Sub(last) - stallInterval
		if stall >= countedStall {
			s.timeline.add(scopeStalls, last, now)
		}
		if stall >= reportedStall {
			fmt.Fprintf(s.Out, "  %6.2f s  this process did not run for %.2f s\n", now.Sub(s.startTime).Seconds(), stall.Seconds())
			s.ledger.Add("stalls of this process", 1)
		}
		last = now
	}
}
