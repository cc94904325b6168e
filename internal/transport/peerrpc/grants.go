package peerrpc

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

// Grants implements dispatch.StreamDialer with streams to other entry hosts.
type Grants struct{ Peers *Peers }

// Open implements dispatch.StreamDialer.
func (g Grants) Open(ctx context.Context, host string) (dispatch.GrantStream, error) {
	s, err := g.Peers.Open(ctx, host)
	if err != nil {
		return nil, err
	}
	return grantStream{s}, nil
}

// GrantHandler returns a StreamHandler that passes each grant stream to owner, which grants slots for the services that this host owns.
func GrantHandler(owner interface {
	ServeGrantStream(ctx context.Context, from string, s dispatch.GrantStream) error
}) StreamHandler {
	return func(ctx context.Context, from string, s *Stream) error {
		return owner.ServeGrantStream(ctx, from, grantStream{s})
	}
}

// grantStream implements dispatch.GrantStream. It converts messages to and from their wire format.
type grantStream struct{ s *Stream }

func (g grantStream) Send(m *dispatch.GrantMessage) error {
	return g.s.Send(wire.FromDispatch(m, time.Now()))
}

// Recv implements dispatch.GrantStream. It returns an error, which ends the stream, if a message is malformed.
func (g grantStream) Recv(m *dispatch.GrantMessage) error {
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
