package quarantine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// checkTimeout bounds one check of whether an endpoint's process has ended. A host or an endpoint that gets little of a processor takes long for what
	// else takes no time, and a check that has timed out says nothing; maxChecks is how often it is tried.
	checkTimeout = 500 * time.Millisecond
	maxChecks    = 3
	// checkWait is how long a request whose connection broke waits for the result, which may quarantine it, before it is tried again.
	checkWait = 50 * time.Millisecond
	// unansweredChecks is the number of connections that an endpoint has to close without a response, at intervals of unansweredInterval in which it
	// does not answer other requests either, until it counts as ended although it does not refuse connections.
	unansweredChecks   = 2
	unansweredInterval = 60 * time.Millisecond
)

// ConnectionBroke is to be called when the connection of a request to an endpoint ended without a whole answer. If the endpoint's process is gone,
// the request is evidence. It returns once that is known of an endpoint that refuses connections, at once for one that accepts them, and after checkWait at
// the latest; checks go on for a while.
func (g *Guard) ConnectionBroke(ctx context.Context, e endpoints.Endpoint, f Fingerprint) {
	at := time.Now()
	ctx = context.WithoutCancel(ctx)
	checked := make(chan struct{})
	go func() {
		refuses, known := g.check(ctx, "refuses "+e.ID.String(), func(ctx context.Context) bool { return g.cfg.RefusesConnections(ctx, e) })
		if refuses {
			g.recordEnd(ctx, e, f, at)
		}
		close(checked)
		switch {
		case refuses:
		case !known:
			g.cfg.OnUndecided(e.ID, f)
		case g.cfg.ClosesUnanswered != nil && g.closesUnanswered(ctx, e, at):
			g.recordEnd(ctx, e, f, at)
		}
	}()
	timer := time.NewTimer(checkWait)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	}
}

// closesUnanswered reports whether an endpoint that accepts connections closes them without a response.
func (g *Guard) closesUnanswered(ctx context.Context, e endpoints.Endpoint, brokeAt time.Time) bool {
	d := g.beginDoubt(e.ID, brokeAt)
	defer g.endDoubt(e.ID, d)
	for range unansweredChecks {
		time.Sleep(unansweredInterval)
		if d.answered.Load() {
			return false
		}
		if closes, _ := g.check(ctx, "closes "+e.ID.String(), func(ctx context.Context) bool { return g.cfg.ClosesUnanswered(ctx, e) }); !closes {
			return false
		}
	}
	return true
}

// recordEnd records that an endpoint's process has ended under a request. The end is held back if no other endpoint answers.
func (g *Guard) recordEnd(ctx context.Context, e endpoints.Endpoint, f Fingerprint, at time.Time) {
	if g.cfg.OthersAnswer != nil {
		if answer, _ := g.check(ctx, "others "+e.ID.String(), func(ctx context.Context) bool { return g.cfg.OthersAnswer(ctx, e) }); !answer {
			g.hold(Crash{Endpoint: e.ID, Requests: []Fingerprint{f}, At: at})
			return
		}
	}
	g.addCrash(Crash{Endpoint: g.process(e.ID), Requests: []Fingerprint{f}, At: at}, SourceSelf)
}

// checkResult is the result of a check. It is not known if the check has timed out.
type checkResult struct{ result, known bool }

// check runs a check until its result is known, at most maxChecks times with checkTimeout. Calls with the same key at the same time share one.
func (g *Guard) check(ctx context.Context, key string, run func(ctx context.Context) bool) (result, known bool) {
	v, _, _ := g.checks.Do(key, func() (any, error) {
		for range maxChecks {
			ctx, cancel := context.WithTimeout(ctx, checkTimeout)
			result := run(ctx)
			known := result || ctx.Err() == nil
			cancel()
			if known {
				return checkResult{result, true}, nil
			}
		}
		return checkResult{}, nil
	})
	r := v.(checkResult)
	return r.result, r.known
}

// doubt is a check of whether an endpoint has ended that goes on.
type doubt struct {
	at       time.Time   // when a connection to it broke
	answered atomic.Bool // it has answered since then
}

func (g *Guard) beginDoubt(id endpoints.ID, at time.Time) *doubt {
	d := &doubt{at: at}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.doubts[id] == nil {
		g.doubts[id] = map[*doubt]bool{}
	}
	g.doubts[id][d] = true
	g.doubted.Add(1)
	return d
}

func (g *Guard) endDoubt(id endpoints.ID, d *doubt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if delete(g.doubts[id], d); len(g.doubts[id]) == 0 {
		delete(g.doubts, id)
	}
	g.doubted.Add(-1)
}
