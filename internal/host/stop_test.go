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

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerrpc"
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

// hangingUpstream implements the parts of an executor whose only endpoint never answers.
type hangingUpstream struct{ received chan bool }

func (u hangingUpstream) Acquire(context.Context, dispatch.Request) (dispatch.Grant, error) {
	return dispatch.Grant{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: "e"}}}, nil
}
func (hangingUpstream) Release(dispatch.Grant, dispatch.Outcome) {}
func (hangingUpstream) MarkLeaving(endpoints.ID) bool            { return false }
func (hangingUpstream) IsLeaving(endpoints.ID) bool              { return false }
func (u hangingUpstream) Send(ctx context.Context, _ endpoints.Endpoint, _ *executor.Call) (*executor.Response, error) {
	u.received <- true
	<-ctx.Done()
	return nil, &executor.SendError{Written: true, Err: ctx.Err()}
}

// TestStopAnswersRelayedRequests guards against requests that another host relayed and that a planned stop cuts with no reply.
func TestStopAnswersRelayedRequests(t *testing.T) {
	is := is.New(t)
	h := newServingHost(t)
	h.settings.DrainDeadlineMS = 1000
	up := hangingUpstream{make(chan bool, 1)}
	x := executor.New(executor.Config{Granter: up, Sender: up, Leaving: up, Keys: h.keys})
	h.relayServer = &wire.RelayServer{Executor: x, Resolve: func(string, string, string) (*contract.Operation, *limits.ServiceLimits) {
		return &contract.Operation{Name: "op", DeadlineMS: 60_000}, &limits.ServiceLimits{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: time.Hour}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = h.dispatch.server.Serve(t.Context(), l) }() // ends with the test
	peers := peerrpc.NewPeers("b", []byte(h.settings.ClusterSecret), func(string) string { return l.Addr().String() })
	defer peers.Close()
	type result struct {
		reply wire.RelayReply
		err   error
	}
	got := make(chan result, 1)
	go func() {
		var r result
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		r.err = peers.Call(ctx, "a", wire.RelayMethod, &wire.RelayRequest{RequestID: "r", Customer: "c", Service: "s", Operation: "op", Method: "POST", Path: "/",
			RemainingMS: 20_000, Key: x.KeyPrefix() + ".0123456789abcdef"}, &r.reply)
		got <- r
	}()
	<-up.received
	is.True(h.stop() != nil) // one request was cut
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.reply.Refusal.Reason, string(refusals.UpstreamLost))
	is.Equal(r.reply.Refusal.Ran, string(refusals.RanUnknown))
}
