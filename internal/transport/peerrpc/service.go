// Package peerrpc implements calls and grant streams between entry hosts, with drpc over TCP and CBOR payloads. Both ends of a
// connection authenticate each other with an HMAC challenge that uses the cluster secret. Each connection carries one call or
// stream at a time, so that a slow call never delays another one.
package peerrpc

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

// Names of the two drpc methods.
const (
	rpcCall   = "/arbutusspan.Peer/Call"
	rpcGrants = "/arbutusspan.Peer/Grants"
)

// Timeouts and buffer size of connections.
const (
	handshakeTimeout   = 2 * time.Second
	writeTimeout       = 2 * time.Second // a peer that reads nothing for this long is paused, stopped or unreachable
	idleTimeout        = 10 * time.Second
	serverIdleTimeout  = 3 * idleTimeout  // longer, so that the client closes first and no call is sent on a closing connection
	defaultTimeout     = 5 * time.Second  // of a call without a deadline
	maxTimeout         = 60 * time.Second // of any call, enforced by the server
	maxKeptBufferBytes = 64 << 10         // larger stream buffers are not kept for reuse
)

// managerOptions returns the drpc options of a connection. A connection that is inactive for the time inactivity is closed; 0 means no
// limit.
func managerOptions(inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxFrameBytes + 4<<10}, // the payload and 4 KiB for its envelope
		Stream:            drpcstream.Options{MaximumBufferSize: maxKeptBufferBytes},
		InactivityTimeout: inactivity,
	}
}

type callRequest struct {
	Method    string          `cbor:"1,keyasint"`
	TimeoutMS int64           `cbor:"2,keyasint"`
	Body      cbor.RawMessage `cbor:"3,keyasint"`
}

type callReply struct {
	Err  *RemoteError    `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// received reports whether the reply was decoded. Each reply has an error or a body, which is a CBOR null if the handler returned nil.
func (r *callReply) received() bool { return r.Err != nil || len(r.Body) > 0 }

// encoding implements drpc.Encoding with CBOR.
type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) { return wire.Marshal(m) }

func (encoding) Unmarshal(data []byte, m drpc.Message) error { return wire.Unmarshal(data, m) }

// description implements drpc.Description for the Server's two methods.
type description struct{}

func (description) NumMethods() int { return 2 }

func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcCall, encoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return srv.(*Server).call(ctx, in.(*callRequest))
		}, (*Server).call, true
	case 1:
		return rpcGrants, encoding{}, func(srv any, _ context.Context, in, _ any) (drpc.Message, error) {
			return nil, srv.(*Server).grants(in.(drpc.Stream))
		}, (*Server).grants, true
	}
	return "", nil, nil, nil, false
}

// Traffic counts the bytes that connections between entry hosts have sent and received, without handshakes and without TCP and
// IP headers.
type Traffic struct {
	SentBytes, ReceivedBytes atomic.Int64
}

// countedConn counts the bytes sent and received and sets a timeout for each write. The count of written bytes shows whether a failed
// call may have reached the peer.
type countedConn struct {
	net.Conn
	written atomic.Int64
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.ReceivedBytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.traffic.SentBytes.Add(int64(n))
	return n, err
}
