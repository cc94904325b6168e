package soak

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

const (
	// minDepth and maxDepth bound the unanswered requests of a pipeline.
	minDepth = 2
	maxDepth = 8
	// minInterval and maxInterval bound the time between two requests of a pipeline while a host stops. It is shorter than the endpoints'
	// serviceTime, so that there is always an unanswered request.
	minInterval = 3 * time.Millisecond
	maxInterval = 12 * time.Millisecond
)

// pipeline sends requests on a connection until the host closes it: without waiting for responses while fewer than depth requests are
// unanswered.
type pipeline struct {
	*connection
	depth      int
	interval   time.Duration // between two requests while a host stops
	unanswered int           // requests that were sent and not yet answered, as the sender knows
	sent       chan *request // for the receiver, in order; closed when no more follow
	answers    chan struct{} // one element for each answered request
	closed     chan struct{} // closed when no more responses are read
}

// sendPipeline sends requests in a pipeline of random depth until the host closes the connection.
func (c *caller) sendPipeline(ctx context.Context, conn *connection) {
	c.sendPipelineOf(ctx, conn, minDepth+c.rng.IntN(maxDepth-minDepth+1))
}

func (c *caller) sendPipelineOf(ctx context.Context, conn *connection, depth int) {
	p := pipeline{connection: conn, depth: depth, interval: minInterval + time.Duration(c.rng.Int64N(int64(maxInterval-minInterval))), sent: make(chan *request, depth), answers: make(chan struct{}, depth), closed: make(chan struct{})}
	go p.sendRequests(ctx)
	var previous *request
	usable := true
	for r := range p.sent {
		if usable {
			usable = p.receive(r)
		} else {
			p.giveUp(r, previous)
		}
		previous = r
		c.soak.requests.add(r)
		if usable {
			p.answers <- struct{}{}
		} else if !isClosed(p.closed) {
			close(p.closed)
		}
	}
}

// sendRequests sends idempotent requests until the context ends, a request cannot be sent, or no more responses are read.
func (p *pipeline) sendRequests(ctx context.Context) {
	defer close(p.sent)
	for p.awaitTurn(ctx) {
		routes := slices.DeleteFunc(p.caller.soak.configs.newestRoutes(), func(r routing.Route) bool { return !r.Idempotent })
		r := p.caller.request(p.connection, routes[p.caller.rng.IntN(len(routes))])
		var out bytes.Buffer
		p.encode(&out, r)
		r.sent, r.ahead = time.Now(), p.unanswered
		r.unsent = p.send(out.Bytes()) != nil
		p.unanswered++
		p.sent <- r
		if r.unsent {
			return
		}
	}
}

// awaitTurn waits until the next request is to be sent. It returns false if none is.
func (p *pipeline) awaitTurn(ctx context.Context) bool {
	interval := p.caller.thinkTime()
	if p.caller.soak.stopping() {
		interval = p.interval
	}
	turn := time.NewTimer(interval)
	defer turn.Stop()
	for waiting := true; waiting || p.unanswered >= p.depth; {
		select {
		case <-p.answers:
			p.unanswered--
		case <-turn.C:
			waiting = false
		case <-p.closed:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
