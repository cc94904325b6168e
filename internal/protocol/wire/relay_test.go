package wire

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// fakePeer is an in-process peer connection that encodes both messages. It also implements the executor's Granter, Sender and Marks.
type fakePeer struct {
	server    *RelayServer
	padBytes  int
	runs      int
	loseReply bool
	calls     int
}

func (l *fakePeer) Call(ctx context.Context, _, _ string, in, out any) error {
	l.calls++
	data, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	var req RelayRequest
	if err := cbor.Unmarshal(data, &req); err != nil {
		return err
	}
	if data, err = cbor.Marshal(l.server.Serve(ctx, &req)); err != nil {
		return err
	}
	if l.loseReply {
		return errors.New("connection lost")
	}
	return cbor.Unmarshal(data, out)
}

func (l *fakePeer) Acquire(context.Context, dispatch.Request) (dispatch.Grant, error) {
	return dispatch.Grant{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: "e"}}}, nil
}
func (l *fakePeer) Release(dispatch.Grant, dispatch.Outcome) {}
func (l *fakePeer) MarkLeaving(endpoints.ID) bool            { return false }
func (l *fakePeer) IsLeaving(endpoints.ID) bool              { return false }
func (l *fakePeer) Send(_ context.Context, _ endpoints.Endpoint, c *executor.Call) (*executor.Response, error) {
	l.runs++
	text := strings.Repeat("x", l.padBytes) + string(c.Body)
	return &executor.Response{Status: 201, Header: http.Header{"A": {"b"}}, Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text))}, nil
}

// TestRelayDuringStop guards against a relayed call that a stopping host takes and cuts: it is refused as not run. A repeat of a request
// that ran gets its response.
func TestRelayDuringStop(t *testing.T) {
	is := is.New(t)
	l := &limits.ServiceLimits{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: time.Hour}
	peer := &fakePeer{}
	x := executor.New(executor.Config{Granter: peer, Sender: peer, Leaving: peer,
		Keys: keys.NewTable(keys.Config{Host: "far", Incarnation: strings.Repeat("0", 16), Origin: time.Now()})})
	end := time.Now().Add(10 * time.Second)
	server := &RelayServer{Executor: x, MayBeCut: func(deadline time.Time) bool { return deadline.After(end) },
		Resolve: func(string, string, string) (*contract.Operation, *limits.ServiceLimits) {
			return &contract.Operation{Name: "reserve", DeadlineMS: 60_000}, l
		}}
	send := func(key string, attempt uint16, remaining time.Duration) *RelayReply {
		return server.Serve(t.Context(), &RelayRequest{Customer: "c", Service: "s", Operation: "reserve", Key: x.KeyPrefix() + "." + strings.Repeat(key, 16),
			RemainingMS: remaining.Milliseconds(), Attempt: attempt, HasAttempt: true})
	}
	is.Equal(send("a", 0, 5*time.Second).Status, 201)
	refusal := send("b", 1, time.Minute).Refusal
	is.Equal(refusal.Reason, string(refusals.HostDraining))
	is.Equal(refusal.Ran, string(refusals.RanNo))
	is.Equal(send("a", 1, time.Minute).Status, 201)
	is.Equal(peer.runs, 1)
}

// TestRelay guards against a relayed call that loses a field, runs twice, is relayed again or reports "not run" after the reply
// was lost.
func TestRelay(t *testing.T) {
	is := is.New(t)
	op := &contract.Operation{Name: "reserve", DeadlineMS: 60_000}
	l := &limits.ServiceLimits{Customer: "c", Name: "s", KeysPerHost: 100, KeyWindow: time.Hour}
	peer := &fakePeer{}
	at := func(host string, r executor.Relayer) *executor.Executor {
		return executor.New(executor.Config{Granter: peer, Sender: peer, Leaving: peer, Relay: r,
			Keys: keys.NewTable(keys.Config{Host: host, Incarnation: strings.Repeat("0", 16), Origin: time.Now()})})
	}
	near, far := at("near", RelayClient{peer}), at("far", RelayClient{peer})
	peer.server = &RelayServer{Executor: far, Resolve: func(customer, service, operation string) (*contract.Operation, *limits.ServiceLimits) {
		if customer+service+operation != "csreserve" {
			return nil, nil
		}
		return op, l
	}}
	call := func(key string) (*executor.GrantedResponse, *refusals.Refusal) {
		return near.Execute(t.Context(), &executor.Call{RequestID: "r", Operation: op, Limits: l, Method: "POST", Path: "/", Body: []byte("body"),
			Key: key, Deadline: time.Now().Add(time.Minute)})
	}
	key := func(n string) string { return far.KeyPrefix() + "." + strings.Repeat(n, 16) }

	for range 2 { // the second call gets the recorded response
		a, r := call(key("1"))
		is.Equal(r, nil)
		text, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(string(text), "body")
		is.Equal(a.Status, 201)
		is.Equal(a.Header.Get("A"), "b")
		is.Equal(a.Endpoint.Address, "e")
		is.Equal(peer.runs, 1)
	}
	_, r := call("far-" + strings.Repeat("1", 16) + ".0." + strings.Repeat("n", 16)) // another incarnation
	is.Equal(r.Reason, refusals.KeyForeign)
	is.Equal(r.Ran, refusals.RanUnknown)
	is.Equal(peer.runs, 1)
	calls := peer.calls
	_, r = call("near-" + strings.Repeat("1", 16) + ".0." + strings.Repeat("n", 16)) // an earlier incarnation of this host
	is.Equal(r.Reason, refusals.KeyForeign)
	is.Equal(peer.calls, calls)

	peer.padBytes = maxRelayBodyBytes
	_, r = call(key("2"))
	is.Equal(r.Reason, refusals.KeyAnswerNotKept)
	is.Equal(r.Ran, refusals.RanYes)

	peer.padBytes, peer.loseReply = 0, true
	_, r = call(key("3"))
	is.Equal(r.Reason, refusals.KeyForeign)
	is.Equal(r.Ran, refusals.RanUnknown)
	is.Equal(peer.runs, 3)

	peer.loseReply = false
	l.Name = "unknown"
	_, r = call(key("3")) // the contract there has no such service, but the key ran
	is.Equal(r.Reason, refusals.OperationNotInContract)
	is.Equal(r.Ran, refusals.RanUnknown)
	_, r = call(key("4"))
	is.Equal(r.Ran, refusals.RanNo)
}

// repliesWith is a peer connection on which every call gets a reply with a status.
type repliesWith int

func (status repliesWith) Call(_ context.Context, _, _ string, _, out any) error {
	*out.(*RelayReply) = RelayReply{Status: int(status), Body: []byte("body")}
	return nil
}

// TestRelayReplyWithoutStatus guards against a caller that gets the reply of another host as an answer although its status is none.
func TestRelayReplyWithoutStatus(t *testing.T) {
	is := is.New(t)
	c := &executor.Call{Operation: &contract.Operation{Name: "reserve"}, Limits: &limits.ServiceLimits{}, Deadline: time.Now().Add(time.Minute)}
	for _, status := range []int{-1, 0, 7, 99, 100, 199, 600, 1000} {
		_, _, err := RelayClient{repliesWith(status)}.Relay(t.Context(), "far", c)
		is.True(err != nil)
	}
	for _, status := range []int{200, 599} {
		answer, refusal, err := RelayClient{repliesWith(status)}.Relay(t.Context(), "far", c)
		is.NoErr(err)
		is.Equal(refusal, nil)
		is.Equal(answer.Status, status)
	}
}
