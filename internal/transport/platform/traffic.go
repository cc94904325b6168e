package platform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

// traffic counts the bytes that one client's connections have sent and received, without TCP and IP headers.
type traffic struct{ sent, received atomic.Int64 }

// Traffic returns the numbers of bytes that the client has sent and received.
func (t *traffic) Traffic() (sent, received int64) { return t.sent.Load(), t.received.Load() }

// newClient returns an HTTP client whose connections add their bytes to t. It accepts only what HTTP/1.1 allows as a response.
func (t *traffic) newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{c, t}, nil
	}
	return &http.Client{Transport: strictresponse.NewTransport(transport)}
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	t *traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.sent.Add(int64(n))
	return n, err
}

// NetConn returns the connection that c reads and writes.
func (c *countedConn) NetConn() net.Conn { return c.Conn }
