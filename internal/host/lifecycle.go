package host

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/looplab/fsm"
)

// States of the lifecycle.
const (
	StateStarting   = "starting"
	StateCatchingUp = "catching_up"
	StateServing    = "serving"
	StateDraining   = "draining"
	StateStopped    = "stopped"
)

// Events of the lifecycle.
const (
	eventListen   = "listen"
	eventCaughtUp = "caught_up"
	eventDrain    = "drain"
	eventUndrain  = "undrain"
	eventStop     = "stop"
	// eventUndrainEarly ends the drain of a host that has not caught up.
	eventUndrainEarly = "undrain_early"
)

var lifecycleEvents = fsm.Events{
	{Name: eventListen, Src: []string{StateStarting}, Dst: StateCatchingUp},
	{Name: eventCaughtUp, Src: []string{StateCatchingUp}, Dst: StateServing},
	{Name: eventDrain, Src: []string{StateCatchingUp, StateServing}, Dst: StateDraining},
	{Name: eventUndrain, Src: []string{StateDraining}, Dst: StateServing},
	{Name: eventUndrainEarly, Src: []string{StateDraining}, Dst: StateCatchingUp},
	{Name: eventStop, Src: []string{StateStarting, StateCatchingUp, StateDraining}, Dst: StateStopped},
}

// newLifecycle returns the state machine of the lifecycle. It logs each transition.
func newLifecycle(logger *log.Logger) *fsm.FSM {
	return fsm.NewFSM(StateStarting, lifecycleEvents, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) {
			logger.Info("lifecycle", "event", e.Event, "from", e.Src, "to", e.Dst)
		},
	})
}
