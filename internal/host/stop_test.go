package host

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
)

// TestStopAnswersWhatItCuts guards against requests whose connection just ends when a planned stop takes too long, or is ended by a second signal.
func TestStopAnswersWhatItCuts(t *testing.T) {
	for _, second := range []bool{false, true} {
		is := is.New(t)
		h := newServingHost(t)
		h.settings.DrainDeadlineMS = 500
		if second {
			h.settings.DrainDeadlineMS = 60_000
		}
		arrived := make(chan bool, 1)
		h.callers.Handler = h.trackRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived <- true
			<-r.Context().Done()
			is.True(errors.Is(context.Cause(r.Context()), executor.ErrStopped))
			w.WriteHeader(http.StatusBadGateway)
			_, err := io.WriteString(w, "unknown")
			is.NoErr(err)
		}))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() { _ = h.callers.Serve(l) }() // ends with the stop
		type result struct {
			status int
			body   string
			err    error
		}
		got := make(chan result, 1)
		go func() {
			resp, err := http.Post("http://"+l.Addr().String(), "", nil)
			if err != nil {
				got <- result{err: err}
				return
			}
			body, err := io.ReadAll(resp.Body)
			got <- result{resp.StatusCode, string(body), err}
		}()
		<-arrived
		begin := time.Now()
		if second {
			time.AfterFunc(50*time.Millisecond, h.StopNow)
		}
		is.True(h.stop() != nil) // one request was cut
		is.True(time.Since(begin) < 5*time.Second)
		is.Equal(<-got, result{http.StatusBadGateway, "unknown", nil})
	}
}

// TestStopRefusesWhatItMayCut guards against requests that are taken during a planned stop although their deadline lies behind its end.
func TestStopRefusesWhatItMayCut(t *testing.T) {
	is := is.New(t)
	h := newServingHost(t)
	now := time.Now()
	is.True(!h.mayBeCut(now.Add(time.Hour)))
	h.beginCut(now.Add(10 * time.Second))
	is.True(h.mayBeCut(now.Add(11 * time.Second)))
	is.True(!h.mayBeCut(now.Add(9 * time.Second)))
}
