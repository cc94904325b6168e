package upstreamconn

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/transport/errtext"
)

var (
	errSwitchedProtocols = errors.New("the upstream switched protocols")
	errDamaged           = errors.New("the answer lacks what every whole answer of an endpoint has")
	errTooLarge          = errors.New("the answer's body is larger than this host accepts")
)

// Send implements executor.Sender. The connection returns to the pool after the response body was read to its end.
func (p *Pool) Send(ctx context.Context, e endpoints.Endpoint, c *executor.Call) (*executor.Response, error) {
	c, ownID := p.withID(c)
	req, err := p.newRequest(ctx, e, c)
	if err != nil {
		return nil, sendError(false, err)
	}
	sentAt := time.Now()
	cn, resp, err := p.roundTrip(ctx, e, req, c, sentAt)
	if err != nil {
		var sendErr *executor.SendError
		if p.cfg.OnOwnDelay != nil && errors.As(err, &sendErr) && sendErr.OwnDelay {
			p.cfg.OnOwnDelay()
		}
		return nil, err
	}
	cn.idleTimeout = idleTimeoutOf(resp.Header, p.cfg.IdleTimeout)
	origin, err := p.attribute(cn, c, resp, sentAt)
	if ownID {
		delete(resp.Header, p.cfg.Dialect.RequestID)
	}
	if err != nil {
		origin.sentAt = cn.openedAt
	} else if resp.StatusCode == http.StatusSwitchingProtocols {
		err = errSwitchedProtocols
	} else if resp.ContentLength > p.cfg.MaxBodyBytes && c.Method != http.MethodHead {
		err = errTooLarge
	}
	out := &executor.Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, SentAt: origin.sentAt, ReadAt: time.Now(),
		HealthCheck: c.HealthCheck, ConnectedAt: cn.connectedAt}
	p.cfg.Dialect.Interpret(e, out)
	if err == nil && out.NotRun && !origin.named && !c.HealthCheck {
		err, out.SentAt = errUnnamed, cn.openedAt
	}
	if err != nil {
		// What the endpoint says of itself counts, but not what it says of a request: that may be another one.
		out.NotRun, out.RejectedFor, out.MalformedDelay = false, 0, ""
	}
	if p.cfg.OnResponse != nil {
		p.cfg.OnResponse(e, out)
	}
	if err == nil && out.Incomplete {
		err = errDamaged
	}
	if err != nil {
		cn.close()
		return nil, sendError(true, err)
	}
	b := &responseBody{ReadCloser: resp.Body, pool: p, conn: cn, id: e.ID, remaining: p.cfg.MaxBodyBytes, keepConn: origin.keepConn && len(cn.sent) < maxRequests}
	if resp.Body == http.NoBody {
		b.finish() // HEAD, 204, 304 or Content-Length 0: there is no body to read
	}
	out.Body = b
	return out, nil
}

// sendError returns a SendError. Its text quotes a bounded part of what the upstream has sent.
func sendError(written bool, err error) error {
	return &executor.SendError{Written: written, Err: errtext.Bound(err)}
}

// sendError returns the SendError of a request that was begun at start and got no response on this connection.
func (c *conn) sendError(ctx context.Context, start time.Time, err error) error {
	writtenAt, unseen := c.guarded.answerUnseen()
	return &executor.SendError{Written: c.guarded.requestWritten(), Partial: c.guarded.headerBegun(), Broken: true, Err: errtext.Bound(err),
		OwnDelay: isOwnDelay(ctx, start, writtenAt, unseen)}
}

// roundTrip sends the request at most once. It opens a new connection if no idle one suits the request, or if the idle one turned out to be closed
// before any byte of the request was written to it. It sends nothing if the endpoint has been withdrawn or the caller's key removed meanwhile.
func (p *Pool) roundTrip(ctx context.Context, e endpoints.Endpoint, req *http.Request, c *executor.Call,
	start time.Time) (_ *conn, _ *http.Response, err error) {
	defer func() {
		if err != nil {
			closeBody(req) // net/http does not close it in all cases
		}
	}()
	if p.withdrawn(e.ID) || c.IsRevoked() {
		return nil, nil, sendError(false, executor.ErrWithdrawn)
	}
	cn, closed := p.get(e.ID, time.Now(), c)
	if cn != nil {
		resp, err := p.sendOn(cn, req, c)
		if err == nil {
			return cn, resp, nil
		}
		cn.close()
		if cn.guarded.requestWritten() || ctx.Err() != nil {
			return nil, nil, cn.sendError(ctx, start, err)
		}
		closed = true
		closeBody(req)
		setBody(req, c)
	}
	if p.needsContact(e.ID, closed, c) {
		return nil, nil, sendError(false, executor.ErrWithdrawn)
	}
	dialedAt := time.Now()
	cn, err = p.dial(ctx, e, c)
	if err != nil {
		return nil, nil, &executor.SendError{Err: errtext.Bound(err), OwnDelay: isOwnDelay(ctx, start, dialedAt, false)}
	}
	if p.withdrawn(e.ID) || c.IsRevoked() {
		cn.close()
		return nil, nil, sendError(false, executor.ErrWithdrawn)
	}
	resp, err := p.sendOn(cn, req, c)
	if err != nil {
		cn.close()
		return nil, nil, cn.sendError(ctx, start, err)
	}
	return cn, resp, nil
}

// sendOn writes the request to the connection and reads the head of its response.
func (p *Pool) sendOn(cn *conn, req *http.Request, c *executor.Call) (*http.Response, error) {
	cn.recordSent(c)
	cn.guarded.reset.BeginRequest(int64(len(c.Body)))
	return cn.http.RoundTrip(p.stateDeadline(req, c))
}

// needsContact reports whether a request may not be sent on a new connection to an endpoint before a health check, because the endpoint may have
// started again. closed says that the endpoint had closed an idle connection.
func (p *Pool) needsContact(id endpoints.ID, closed bool, c *executor.Call) bool {
	if !c.RecentContact || p.cfg.Unchecked == nil {
		return false
	}
	if closed && p.cfg.OnContactLost != nil {
		p.cfg.OnContactLost(id)
	}
	return p.cfg.Unchecked(id)
}

func (p *Pool) newRequest(ctx context.Context, e endpoints.Endpoint, c *executor.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, fmt.Errorf("parse path: %w", err)
	}
	if target.Host != "" || target.Scheme != "" || !strings.HasPrefix(c.Path, "/") || strings.HasPrefix(c.Path, "//") {
		return nil, fmt.Errorf("path %q names a host", c.Path)
	}
	target.Scheme, target.Host = "http", e.Address
	if !strings.Contains(c.Path, " ") { // a space would end the path
		// net/http sends Opaque as it is, and escapes some characters of the other fields.
		target = &url.URL{Scheme: target.Scheme, Host: target.Host, Path: target.Path, Opaque: c.Path}
	}
	header := make(http.Header, len(c.Header)+3)
	for name, values := range c.Header {
		header[name] = values
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise net/http would send its own
	}
	d := &p.cfg.Dialect
	if c.RequestID != "" {
		header[d.RequestID] = []string{c.RequestID}
	}
	if d.Instance != nil {
		d.Instance(e, header)
	}
	req := (&http.Request{Method: c.Method, URL: target, Host: cmp.Or(c.Host, e.Address), Header: header, Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	setBody(req, c)
	return req, nil
}

// stateDeadline returns the request with the header that states the time left, which connection set-up or an earlier connection may have used up in part. It
// does not modify the request, which that connection may still read.
func (p *Pool) stateDeadline(req *http.Request, c *executor.Call) *http.Request {
	if c.Deadline.IsZero() {
		return req
	}
	stated := *req
	stated.Header = maps.Clone(req.Header)
	stated.Header[p.cfg.Dialect.DeadlineMS] = []string{strconv.FormatInt(max(1, time.Until(c.Deadline).Milliseconds()), 10)}
	return &stated
}

// responseBody is the body of a response. If it is read up to io.EOF, its connection returns to the pool; otherwise Close closes the
// connection.
type responseBody struct {
	io.ReadCloser
	pool      *Pool
	conn      *conn
	id        endpoints.ID
	remaining int64
	keepConn  bool // the connection may carry further requests
	fullyRead atomic.Bool
	closed    atomic.Bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errTooLarge
	}
	if err == io.EOF {
		b.finish()
	}
	return n, errtext.Bound(err)
}

// finish lets the connection return to the pool, if it may carry further requests. Otherwise Close closes it.
func (b *responseBody) finish() {
	if b.keepConn && !b.fullyRead.Swap(true) {
		b.conn.guarded.finishResponse(func() { b.pool.put(b.id, b.conn, time.Now()) })
	}
}

// Close implements io.Closer. A Read in progress fails, because the connection is closed first.
func (b *responseBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.fullyRead.Load() {
		b.conn.close()
	}
	return b.ReadCloser.Close()
}
