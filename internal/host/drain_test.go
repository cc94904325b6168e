package host

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/looplab/fsm"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// newServingHost returns a host that serves without other hosts. Its servers are not started.
func newServingHost(t *testing.T) *Host {
	t.Helper()
	h := newCatchingUpHost(t)
	h.startServing(context.Background())
	is.New(t).True(h.lifecycle.Is(StateServing))
	return h
}

// newCatchingUpHost returns a host that has joined and has not caught up.
func newCatchingUpHost(t *testing.T) *Host {
	t.Helper()
	is := is.New(t)
	h := New(&Settings{Host: "a", Zone: "z", Address: "127.0.0.1", ClusterSecret: "0123456789abcdef", DispatchPolicy: PolicyQueue,
		AddressLifetimeMS: 1, DrainDeadlineMS: 10_000}, log.New(io.Discard))
	t.Cleanup(h.dispatch.router.Close)
	is.NoErr(h.listenGossip())
	is.NoErr(h.lifecycle.Event(context.Background(), eventListen))
	return h
}

// TestStopDuringOperatorDrain guards against a stop that gives up, so that the process neither drains nor ends, because an operator starts to
// drain the host at the same moment.
func TestStopDuringOperatorDrain(t *testing.T) {
	is := is.New(t)
	const rounds, queued = 3, 5 * time.Millisecond
	for range rounds {
		h := newServingHost(t)
		h.lifecycle = fsm.NewFSM(StateServing, lifecycleEvents, fsm.Callbacks{
			"before_" + eventDrain: func(context.Context, *fsm.Event) { time.Sleep(queued) },
		})
		// Both wait for the lock, the stop first. A mutex that has been waited for longer than 1 ms is handed over in the order of arrival.
		h.drain.mu.Lock()
		var running sync.WaitGroup
		running.Go(func() { is.NoErr(h.stop()) })
		time.Sleep(queued)
		running.Go(func() { _ = h.Drain() }) // fails if the stop has begun to drain already
		time.Sleep(queued)
		h.drain.mu.Unlock()
		h.drain.mu.Lock()
		time.Sleep(queued)
		h.drain.mu.Unlock()
		running.Wait()
		is.True(h.lifecycle.Is(StateDraining))
		is.Equal(h.member.node.Current().Member("a").State, membership.Leaving)
	}
}

// TestUndrainWhileCatchingUp guards against a host that serves callers before it knows the contracts in force, because an operator has drained
// and undrained it while it caught up. It must serve as soon as it has caught up, also if that happens while it is drained.
func TestUndrainWhileCatchingUp(t *testing.T) {
	is := is.New(t)
	state := func(h *Host) membership.State { return h.member.node.Current().Member("a").State }
	h := newCatchingUpHost(t)
	is.NoErr(h.Drain())
	is.Equal(state(h), membership.Leaving)
	is.NoErr(h.Undrain())
	is.Equal(state(h), membership.CatchingUp)
	is.Equal(h.admit().Reason, refusals.HostCatchingUp)
	h.startServing(t.Context())
	is.Equal(state(h), membership.Serving)
	is.True(h.lifecycle.Is(StateServing))

	h = newCatchingUpHost(t)
	is.NoErr(h.Drain())
	h.startServing(t.Context())
	is.Equal(state(h), membership.Leaving)
	is.NoErr(h.Undrain())
	is.Equal(state(h), membership.Serving)
	is.True(h.lifecycle.Is(StateServing))
}
