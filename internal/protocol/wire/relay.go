package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// RelayMethod is the method that forwards a keyed request to the host that its idempotency key names.
const RelayMethod = "Relay"

// maxRelayBodyBytes is the largest relayed body in bytes. It leaves room for the headers within the frame limit of 4 MiB.
const maxRelayBodyBytes = 3 << 20

// RelayRequest is a keyed request of a caller that the sending host has authenticated.
type RelayRequest struct {
	RequestID   string              `cbor:"1,keyasint"`
	Customer    string              `cbor:"2,keyasint"`
	Service     string              `cbor:"3,keyasint"`
	Operation   string              `cbor:"4,keyasint"`
	Method      string              `cbor:"5,keyasint"`
	Path        string              `cbor:"6,keyasint"`
	Header      map[string][]string `cbor:"7,keyasint"`
	Body        []byte              `cbor:"8,keyasint"`
	RemainingMS int64               `cbor:"9,keyasint"` // time until the deadline when the request was sent
	Attempt     uint16              `cbor:"10,keyasint"`
	Key         string              `cbor:"11,keyasint"`
	HasAttempt  bool                `cbor:"12,keyasint"` // the caller sent the number of its attempt
	NewKey      bool                `cbor:"13,keyasint"` // the caller used the key for the first time
}

// RelayReply contains the upstream's response, or a refusal if Refusal is set.
type RelayReply struct {
	Status   int                 `cbor:"1,keyasint"`
	Header   map[string][]string `cbor:"2,keyasint"`
	Body     []byte              `cbor:"3,keyasint"`
	Upstream string              `cbor:"4,keyasint"`
	Refusal  *RelayRefusal       `cbor:"5,keyasint,omitempty"`
}

// RelayRefusal contains the fields of a refusal that the executor sets.
type RelayRefusal struct {
	Reason       string  `cbor:"1,keyasint"`
	Ran          string  `cbor:"2,keyasint"`
	Detail       string  `cbor:"3,keyasint"`
	Remedy       string  `cbor:"4,keyasint"`
	Clause       string  `cbor:"5,keyasint"`
	Limit        float64 `cbor:"6,keyasint"`
	Observed     float64 `cbor:"7,keyasint"`
	Unit         string  `cbor:"8,keyasint"`
	RetryAfterMS int64   `cbor:"9,keyasint"`
}

// RelayCaller calls a method of another entry host and waits for the reply.
type RelayCaller interface {
	// Call returns a *RelayNotSentError if the call did not reach the host. After any other error, it may have reached the host.
	Call(ctx context.Context, host, method string, in, out any) error
}

// RelayNotSentError is the error of a call that did not reach the other host.
type RelayNotSentError struct{ Err error }

func (e *RelayNotSentError) Error() string { return "the host was not reached: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RelayNotSentError) Unwrap() error { return e.Err }

// RelayClient implements executor.Relayer.
type RelayClient struct{ Caller RelayCaller }

// Relay implements executor.Relayer.
func (r RelayClient) Relay(ctx context.Context, host string, c *executor.Call) (*executor.GrantedResponse, *refusals.Refusal, error) {
	if len(c.Body) > maxRelayBodyBytes {
		return nil, nil, &RelayNotSentError{fmt.Errorf("the body has %d bytes, and at most %d can be passed on; send it to %s itself", len(c.Body), maxRelayBodyBytes, host)}
	}
	in := &RelayRequest{RequestID: c.RequestID, Customer: c.Limits.Customer, Service: c.Limits.Name, Operation: c.Operation.Name,
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, RemainingMS: time.Until(c.Deadline).Milliseconds(), Attempt: c.Attempt.Number, Key: c.Key, HasAttempt: c.Attempt.Numbered, NewKey: c.Attempt.NewKey}
	var out RelayReply
	if err := r.Caller.Call(ctx, host, RelayMethod, in, &out); err != nil {
		return nil, nil, err
	}
	if f := out.Refusal; f != nil {
		return nil, &refusals.Refusal{Reason: refusals.Reason(f.Reason), Ran: refusals.Ran(f.Ran), Detail: f.Detail, Remedy: f.Remedy,
			Clause: f.Clause, Limit: f.Limit, Observed: f.Observed, Unit: f.Unit, RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond}, nil
	}
	if !callerapi.IsFinalStatus(out.Status) {
		return nil, nil, errors.New("the reply holds neither an answer nor a refusal")
	}
	return executor.ResponseFromRecord(&keys.RecordedResponse{Status: out.Status, Header: out.Header, Body: out.Body, Upstream: out.Upstream}), nil, nil
}

// stopRetryAfter is the delay stated in refusals of requests that a stopping host may cut.
const stopRetryAfter = 20 * time.Millisecond

// RelayServer executes relayed requests at the host that their keys name.
type RelayServer struct {
	Executor *executor.Executor
	// Resolve returns the operation and the limits in force, or nil if the contract does not contain them.
	Resolve func(customer, service, operation string) (*contract.Operation, *limits.ServiceLimits)
	// MayBeCut reports whether this host stops too soon for a request with the given deadline. Nil means that it does not stop.
	MayBeCut func(deadline time.Time) bool
}

// Serve executes one relayed request.
func (s *RelayServer) Serve(ctx context.Context, in *RelayRequest) *RelayReply {
	attempt := keys.Attempt{Number: in.Attempt, Numbered: in.HasAttempt, NewKey: in.NewKey}
	op, l := s.Resolve(in.Customer, in.Service, in.Operation)
	if op == nil || l == nil || op.Idempotent {
		r := &refusals.Refusal{Reason: refusals.OperationNotInContract, Ran: refusals.RanUnknown,
			Detail: fmt.Sprintf("the contract in force here has no non-idempotent operation %s of %s", in.Operation, in.Service),
			Remedy: "send the request again after the stated delay", RetryAfter: time.Second}
		if s.Executor.ConfirmNotRun(in.Customer, in.Key, attempt) {
			r.Ran = refusals.RanNo
		}
		return replyFromRefusal(r)
	}
	c := &executor.Call{RequestID: in.RequestID, Operation: op, Limits: l, Method: in.Method, Path: in.Path, Header: in.Header, Body: in.Body,
		Deadline: time.Now().Add(time.Duration(in.RemainingMS) * time.Millisecond), Attempt: attempt, Key: in.Key}
	if c.Header == nil {
		c.Header = http.Header{}
	}
	if s.MayBeCut != nil && s.MayBeCut(c.Deadline) && s.Executor.ConfirmNotRun(in.Customer, in.Key, attempt) { // otherwise its outcome may be known
		return replyFromRefusal(&refusals.Refusal{Reason: refusals.HostDraining, Ran: refusals.RanNo, RetryAfter: stopRetryAfter,
			Detail: "the host to which the key is bound stops before the deadline of the request", Remedy: "send the request to another host"})
	}
	answer, refusal := s.Executor.ExecuteRelayed(ctx, c)
	if refusal != nil {
		return replyFromRefusal(refusal)
	}
	return replyFromAnswer(answer)
}

func replyFromAnswer(a *executor.GrantedResponse) *RelayReply {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxRelayBodyBytes+1))
	tooLarge := len(body) > maxRelayBodyBytes
	if err == nil && tooLarge {
		_, err = io.Copy(io.Discard, a.Body)
	}
	if err != nil {
		a.Finish(executor.BodyTruncated)
		return replyFromRefusal(&refusals.Refusal{Reason: refusals.UpstreamLost, Ran: refusals.RanUnknown,
			Detail: "the upstream's answer was cut: " + err.Error(), Remedy: "find out at the service whether the request took effect"})
	}
	a.Finish(executor.BodyComplete)
	if tooLarge {
		return replyFromRefusal(&refusals.Refusal{Reason: refusals.KeyAnswerNotKept, Ran: refusals.RanYes, Limit: maxRelayBodyBytes, Unit: "bytes of body",
			Detail: "the request ran, but its answer is too large to be passed on by another host", Remedy: "read the result at the service"})
	}
	return &RelayReply{Status: a.Status, Header: a.Header, Body: body, Upstream: a.Endpoint.Address}
}

func replyFromRefusal(r *refusals.Refusal) *RelayReply {
	return &RelayReply{Refusal: &RelayRefusal{Reason: string(r.Reason), Ran: string(r.Ran), Detail: r.Detail, Remedy: r.Remedy,
		Clause: r.Clause, Limit: r.Limit, Observed: r.Observed, Unit: r.Unit, RetryAfterMS: r.RetryAfter.Milliseconds()}}
}
