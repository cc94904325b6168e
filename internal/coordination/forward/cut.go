package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
)

const (
	// progressBytes is the part of a body in bytes whose arrival counts as progress. A body without progress for stallTime when it is given up
	// counts as a failure of its endpoint: bytes may come now and then and never end.
	progressBytes = 1 << 10
	stallTime     = 50 * time.Millisecond
)

// errStalled is the reason of a Cut if the answer had begun and made no progress when the request ended or another endpoint had answered.
var errStalled = errors.New("the answer had begun and made no progress")

// Cut describes an answer that ended early although its caller had not left.
type Cut struct {
	RequestID string
	Endpoint  string
	Status    int   // 0 if the header was incomplete
	Bytes     int64 // of the body that had arrived
	Err       error // why it ended
}

func (f *Forwarder) reportCut(c *executor.Call, endpoint string, got *sendResult, bytes int64, err error) {
	if f.cfg.OnCut == nil {
		return
	}
	cut := Cut{RequestID: c.RequestID, Endpoint: endpoint, Bytes: bytes, Err: err}
	if got.resp != nil {
		cut.Status = got.resp.Status
	}
	f.cfg.OnCut(cut)
}

// stalled reports whether the header of the answer has arrived and its body has made no progress for stallTime, apart from time in which this host was late.
func (s *sendResult) stalled(meter *lateness.Meter, now time.Time) bool {
	return s.resp != nil && meter.Elapsed(s.progressAt, now) >= stallTime
}

// watchedStream is the rest of an answer that is passed on while it is read. It reports an early end, except if the caller has left.
type watchedStream struct {
	io.ReadCloser
	ctx        context.Context
	readBefore int64 // bytes of the body that were read before
	bytes      int64
	calledAt   time.Time                                 // when the last Read returned
	awaited    time.Duration                             // time in Read, in which the endpoint is awaited, less the time between two calls, in which the caller is
	onCut      func(bytes int64, failed bool, err error) // failed says that the endpoint is at fault
}

// Read implements io.Reader.
func (s *watchedStream) Read(p []byte) (int, error) {
	begin := time.Now()
	s.awaited -= begin.Sub(s.calledAt)
	n, err := s.ReadCloser.Read(p)
	s.calledAt = time.Now()
	s.awaited += s.calledAt.Sub(begin)
	s.bytes += int64(n)
	if err != nil && err != io.EOF && s.onCut != nil && !errors.Is(s.ctx.Err(), context.Canceled) {
		s.onCut(s.readBefore+s.bytes, s.ctx.Err() == nil || s.awaited > 0, err)
		s.onCut = nil
	}
	return n, err
}
