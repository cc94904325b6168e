package forward

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestNoRepeatThatMayBeCut guards against a request that endpoints have refused without running it, and that is sent again although this host stops before
// its deadline: it is refused as not run, so that another host can serve it. A request that may have run may be repeated.
func TestNoRepeatThatMayBeCut(t *testing.T) {
	for _, ran := range []bool{false, true} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFakeService(map[string]*fakeUpstream{"a": {duration: 30 * time.Millisecond, answer: func() (*executor.Response, error) {
				if ran {
					return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
				}
				return refusedResponse()
			}}, "b": {duration: 30 * time.Millisecond, load: placement.Load{Slots: 2, Slowness: 1.2}}})
			forwarder := f.forwarder(largeBurst)
			lateAt := time.Now().Add(20 * time.Millisecond)
			forwarder.cfg.MayBeCut = func(time.Time) bool { return time.Now().After(lateAt) }
			r := forwarder.Run(t.Context(), request(ran))
			is.Equal(f.received() == 2, ran)
			is.Equal(r.Outcome == Answered, ran)
			is.Equal(r.Outcome.GuaranteesNotRun(), !ran)
		})
	}
}
