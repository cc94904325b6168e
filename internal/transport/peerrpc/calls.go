package peerrpc

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"storj.io/drpc"
)

// callGate counts the calls in progress and, once closed, admits no more.
type callGate struct {
	mu      sync.Mutex
	calls   int
	drained chan struct{} // closed when no call is in progress; nil while the gate is open
}

// enter admits a call unless the gate is closed. leave must be called for each call that was admitted.
func (g *callGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained != nil {
		return false
	}
	g.calls++
	return true
}

func (g *callGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls--; g.calls == 0 && g.drained != nil {
		close(g.drained)
	}
}

// close closes the gate and returns a channel that is closed when no call is in progress.
func (g *callGate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained == nil {
		g.drained = make(chan struct{})
		if g.calls == 0 {
			close(g.drained)
		}
	}
	return g.drained
}

func (g *callGate) inProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// countedHandler passes calls through a gate. A call is in progress until its reply was sent.
type countedHandler struct {
	drpc.Handler
	gate *callGate
}

// HandleRPC implements drpc.Handler.
func (h countedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != rpcCall {
		return h.Handler.HandleRPC(stream, rpc)
	}
	if !h.gate.enter() {
		return trace.ConnectionProblem(nil, "this host is stopping")
	}
	defer h.gate.leave()
	return h.Handler.HandleRPC(stream, rpc)
}

// DrainCalls rejects new calls and waits until the replies to all calls in progress were sent, or ctx ends. It returns the number of calls
// that are still in progress. Grant streams go on.
func (s *Server) DrainCalls(ctx context.Context) (inProgress int) {
	select {
	case <-s.gate.close():
	case <-ctx.Done():
	}
	return s.gate.inProgress()
}
