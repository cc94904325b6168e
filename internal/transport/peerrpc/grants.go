package peerrpc

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

// Grants implements dispatch.Remote with streams to other entry hosts.
type Grants struct{ Peers *Peers }

// Open implements dispatch.Remote.
func (g Grants) Open(ctx context.Context, host string) (dispatch.Stream, error) {
	s, err := g.Peers.Open(ctx, host)
	if err != nil {
		return nil, err
	}
	return grantStream{s}, nil
}

// GrantHandler returns a StreamHandler that passes each grant stream to owner, which grants slots for the services that this host owns.
func GrantHandler(owner interface {
	Serve(ctx context.Context, from string, s dispatch.Stream) error
}) StreamHandler {
	return func(ctx context.Context, from string, s *Stream) error { return owner.Serve(ctx, from, grantStream{s}) }
}

// grantStream implements dispatch.Stream. It converts messages to and from their wire format.
type grantStream struct{ s *Stream }

func (g grantStream) Send(m *dispatch.Message) error {
	return g.s.Send(wire.FromDispatch(m, time.Now()))
}

// Recv implements dispatch.Stream. It returns an error, which ends the stream, if a message is malformed.
func (g grantStream) Recv(m *dispatch.Message) error {
	var w wire.Dispatch
	if err := g.s.Recv(&w); err != nil {
		return err
	}
	got, err := w.Message(time.Now())
	if err != nil {
		return err
	}
	*m = *got
	return nil
}

func (g grantStream) Close() { g.s.Close() }
