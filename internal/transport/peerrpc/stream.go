package peerrpc

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

// Keep-alives of a grant stream. Each side sends a keep-alive if it has sent nothing else for keepAliveInterval, and closes a stream on
// which it has received nothing for keepAliveTimeout, because TCP alone does not detect a peer that went silent. Requests have a
// timeout of their own and do not depend on this detection, so a long interval is sufficient. It costs one small packet a second from
// each side.
const (
	keepAliveInterval = time.Second
	keepAliveTimeout  = 3 * keepAliveInterval
)

// Stream is a bidirectional stream of messages. Send is safe for concurrent use; Recv must be called by one goroutine at a time.
type Stream struct {
	peer      string
	stream    drpc.Stream
	closeConn func()
	sendMu    sync.Mutex
	closeOnce sync.Once
	done      chan struct{}
	began     time.Time    // its monotonic reading keeps the next two right when the time of day is set
	lastRecv  atomic.Int64 // nanoseconds since began
	lastSent  atomic.Int64 // nanoseconds since began
}

// envelope wraps a message. An envelope without a body is a keep-alive.
type envelope struct {
	Body cbor.RawMessage `cbor:"1,keyasint,omitempty"`
}

func newStream(s drpc.Stream, peer string, closeConn func()) *Stream {
	st := &Stream{peer: peer, stream: s, closeConn: closeConn, done: make(chan struct{}), began: time.Now()}
	go st.keepAlive()
	return st
}

func (s *Stream) received(now time.Time) { s.lastRecv.Store(int64(now.Sub(s.began))) }

func (s *Stream) sent(now time.Time) { s.lastSent.Store(int64(now.Sub(s.began))) }

// isSilent reports whether nothing was received for keepAliveTimeout.
func (s *Stream) isSilent(now time.Time) bool {
	return now.Sub(s.began)-time.Duration(s.lastRecv.Load()) > keepAliveTimeout
}

// owesKeepAlive reports whether nothing was sent for keepAliveInterval.
func (s *Stream) owesKeepAlive(now time.Time) bool {
	return now.Sub(s.began)-time.Duration(s.lastSent.Load()) >= keepAliveInterval
}

// Peer returns the name of the host at the other end.
func (s *Stream) Peer() string { return s.peer }

// Send sends one message. After an error the stream must not be used any more.
func (s *Stream) Send(m any) error {
	body, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	return s.send(&envelope{Body: body})
}

func (s *Stream) send(e *envelope) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.stream.MsgSend(e, encoding{}); err != nil {
		return trace.ConnectionProblem(err, "send to %s", s.peer)
	}
	s.sent(time.Now())
	return nil
}

// Recv waits for one message and decodes it into m. It skips keep-alives.
func (s *Stream) Recv(m any) error {
	for {
		var e envelope
		if err := s.stream.MsgRecv(&e, encoding{}); err != nil {
			return trace.ConnectionProblem(err, "receive from %s", s.peer)
		}
		s.received(time.Now())
		if len(e.Body) > 0 {
			return wire.Unmarshal(e.Body, m)
		}
	}
}

// Done returns a channel that is closed when the stream is closed at this end.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Close ends the stream and its connection. It may be called more than once.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.closeConn()
	})
}

// keepAlive sends keep-alives, and closes the stream when its context ends or nothing was received for keepAliveTimeout.
func (s *Stream) keepAlive() {
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.stream.Context().Done():
			s.Close()
			return
		case now := <-tick.C:
			if s.isSilent(now) {
				s.Close()
				return
			}
			if s.owesKeepAlive(now) && s.send(&envelope{}) != nil {
				s.Close()
				return
			}
		}
	}
}
