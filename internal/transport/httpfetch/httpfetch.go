// Package httpfetch makes HTTP calls whose responses may be large and whose links may be slow. A call may take as long as its response makes
// progress. It fails once nothing, or next to nothing, arrives for some time, so that a connection that has gone silent does not block the caller.
package httpfetch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/transport/errtext"
	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

// MaxHeaderBytes is the maximum size of a response's status line and header in bytes. The default of net/http is 10 MiB.
const MaxHeaderBytes = 64 << 10

// NewClient returns a client for Do. It takes t over, with MaxHeaderBytes as its limit, and accepts only what HTTP/1.1 allows as a response.
func NewClient(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return &http.Client{Transport: strictresponse.NewTransport(t)}
}

// Limits bound a call.
type Limits struct {
	Idle  time.Duration // maximum time without progress: until the response's header, and then until the next bytes of its body
	Wait  time.Duration // how much longer the first bytes of the body may take, for calls that the server answers later on purpose
	Bytes int64         // maximum size of the response's body
	// OnProgress, if set, is called with the status and the number of bytes of the body so far when bytes of the body arrive. If it returns an
	// error, the call fails with it.
	OnProgress func(status, bytes int) error
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call with a client of NewClient and reads the whole response. The error is a trace.ConnectionProblem if the call failed, the response ended early or made no
// progress, and a trace.LimitExceeded if its body is too large. The call's connection is then closed.
func Do(client *http.Client, req *http.Request, limits Limits) (*Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	idle := trace.ConnectionProblem(nil, "no progress for %s", limits.Idle+limits.Wait)
	timer := time.AfterFunc(limits.Idle+limits.Wait, func() { cancel(idle) })
	defer timer.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, trace.ConnectionProblem(errtext.Bound(cause(ctx, err)), "%s %s failed: %v", req.Method, req.URL.Path, errtext.Bound(cause(ctx, err)))
	}
	defer resp.Body.Close()
	tooSlow := trace.ConnectionProblem(nil, "less than %d bytes arrived in %s", minProgressBytes, slowFactor*limits.Idle)
	slowTimer := time.AfterFunc(slowFactor*limits.Idle+limits.Wait, func() { cancel(tooSlow) })
	defer slowTimer.Stop()
	progress := &progressReader{r: io.LimitReader(resp.Body, limits.Bytes+1), timer: timer, slowTimer: slowTimer, idle: limits.Idle}
	if limits.OnProgress != nil {
		progress.onProgress = func(bytes int) error { return limits.OnProgress(resp.StatusCode, bytes) }
	}
	body, err := io.ReadAll(progress)
	if err != nil {
		err = errtext.Bound(cause(ctx, err))
		return nil, trace.ConnectionProblem(err, "%s %s: the response is incomplete after %d bytes: %v", req.Method, req.URL.Path, len(body), err)
	}
	if int64(len(body)) > limits.Bytes {
		return nil, trace.LimitExceeded("%s %s: the response is larger than %d bytes", req.Method, req.URL.Path, limits.Bytes)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// cause returns why the context ended, or err if it has not.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// progressReader restarts a timer whenever bytes arrive, and another one whenever minProgressBytes have arrived.
type progressReader struct {
	r          io.Reader
	timer      *time.Timer
	slowTimer  *time.Timer
	idle       time.Duration
	bytes      int                   // so far
	progressAt int                   // bytes when slowTimer was last restarted
	onProgress func(bytes int) error // may be nil
}

// maxReadBytes bounds one read of a body in bytes. A reader of chunked bodies returns only once the buffer is full or the chunk ends.
const maxReadBytes = 16 << 10

// A server must send at least minProgressBytes in each slowFactor times the idle time. Otherwise one that sends a byte now and then would hold a
// call for ever.
const (
	minProgressBytes = 1 << 10
	slowFactor       = 10
)

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b[:min(len(b), maxReadBytes)])
	if n > 0 {
		p.timer.Reset(p.idle)
		if p.bytes += n; p.progressAt == 0 || p.bytes-p.progressAt >= minProgressBytes {
			p.progressAt = p.bytes
			p.slowTimer.Reset(slowFactor * p.idle)
		}
		if p.onProgress != nil {
			if err := p.onProgress(p.bytes); err != nil {
				return n, err
			}
		}
	}
	return n, err
}
