package strictresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Conn is a ResetConn that also fails if the head of a response is malformed. It carries one request at a time.
type Conn struct {
	*ResetConn
	mu    sync.Mutex
	begun bool // BeginExchange was called
	head  Scanner
}

// NewConn returns c as a Conn.
func NewConn(c net.Conn) *Conn { return &Conn{ResetConn: NewResetConn(c)} }

// BeginExchange must be called before each request is written. What arrives before the first call is not checked. bodyLength is the length of the request's
// body in bytes, or -1 if it is not known.
func (c *Conn) BeginExchange(bodyLength int64) {
	c.BeginRequest(bodyLength)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.head = true, Scanner{}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.ResetConn.Read(b)
	endsWithConnection, malformed := c.scan(b[:n])
	if malformed != nil {
		return 0, malformed
	}
	if err == io.EOF && endsWithConnection {
		err = c.ConfirmEnd()
	}
	return n, err
}

// scan checks the next bytes of a response. It reports whether the response's body ends with the connection.
func (c *Conn) scan(b []byte) (endsWithConnection bool, malformed error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		malformed = c.head.Scan(b)
	}
	return c.head.EndsWithConnection(), malformed
}

// Transport is an http.Transport whose requests over HTTP/1.1 fail if the response is malformed, or ends with a connection that was reset or did not take the
// whole request. It does not check responses over TLS.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends its requests through t. It takes t over and changes its DialContext.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	bodyLength := r.ContentLength
	if bodyLength == 0 && r.Body != nil && r.Body != http.NoBody {
		bodyLength = -1
	}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.BeginExchange(bodyLength)
		}
	}})
	return t.Transport.RoundTrip(r.WithContext(ctx))
}
