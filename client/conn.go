package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

const (
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the entry hosts' 75 s, so that a connection is rarely used while the host closes it.
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 64
	// maxResponseBytes limits the memory that one response body takes.
	maxResponseBytes = 64 << 20
)

// connPool pools idle connections by address of the entry host. It writes each request to one connection and never resends it.
type connPool struct {
	transport *http.Transport
	mu        sync.Mutex
	idle      map[string][]*conn
}

type conn struct {
	*http.ClientConn
	wire   *wire
	idleAt time.Time
}

// wireKey is the context key of the wire that a new connection becomes.
type wireKey struct{}

// wire is a connection that accepts only what HTTP/1.1 allows as a response. It counts bytes before they are passed to the kernel, because a write that
// fails may have sent a part of them.
type wire struct {
	*strictresponse.Conn
	written atomic.Int64
}

func (w *wire) Write(b []byte) (int, error) {
	w.written.Add(int64(len(b)))
	return w.Conn.Write(b)
}

func newConnPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *connPool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &connPool{idle: map[string][]*conn{}, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			w := ctx.Value(wireKey{}).(*wire)
			w.Conn = strictresponse.NewConn(c)
			return w, nil
		}}}
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// attemptError is the error of an attempt that got no complete response.
type attemptError struct {
	sent bool // a byte of the request may have reached the host
	err  error
}

func (e *attemptError) Error() string { return e.err.Error() }

// send writes the request to one connection and reads the complete response.
func (p *connPool) send(ctx context.Context, address string, req *http.Request, body []byte) (*response, *attemptError) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &attemptError{err: err}
	}
	if len(body) > 0 {
		// NopCloser hides the reader's type, so that net/http cannot rewind the body and send the request again.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	before := c.wire.written.Load()
	c.wire.BeginExchange(int64(len(body)))
	resp, err := c.RoundTrip(req.WithContext(ctx))
	if err != nil {
		c.Close()
		return nil, &attemptError{sent: c.wire.written.Load() > before, err: err}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	resp.Body.Close()
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("the response body is larger than %d bytes", maxResponseBytes)
	}
	if err != nil {
		c.Close()
		return nil, &attemptError{sent: true, err: fmt.Errorf("read response: %w", err)}
	}
	if resp.Close {
		c.Close()
	} else {
		p.put(address, c)
	}
	return &response{resp.StatusCode, resp.Header, data}, nil
}

func (p *connPool) get(ctx context.Context, address string) (*conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	w := &wire{}
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, w), "http", address)
	if err != nil {
		return nil, err
	}
	return &conn{ClientConn: cc, wire: w}, nil
}

func (p *connPool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if c.Err() == nil && time.Since(c.idleAt) < idleTimeout {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *connPool) put(address string, c *conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerHost {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
}
