package peerrpc

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// CallError is the error that Peers.Call returns.
type CallError struct {
	Host    string
	Method  string
	Reached bool  // whether the peer may have received, and thus executed, the call
	Err     error // a *RemoteError if the peer replied with an error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call %s of %s (may have reached it: %t): %v", e.Method, e.Host, e.Reached, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// MayHaveReached reports whether the peer may have executed the call that failed with err. It returns true if err holds no *CallError.
func MayHaveReached(err error) bool {
	var e *CallError
	return !errors.As(err, &e) || e.Reached
}

// RemoteError is an error that the peer's handler returned. It unwraps to the typed error of package trace for its code, so that
// trace.IsNotFound and the like recognize it.
type RemoteError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

func (e *RemoteError) Error() string { return e.Message }

// Codes of a RemoteError.
const (
	CodeNotFound       = "not_found"
	CodeBadParameter   = "bad_parameter"
	CodeAccessDenied   = "access_denied"
	CodeAlreadyExists  = "already_exists"
	CodeCompareFailed  = "compare_failed"
	CodeLimitExceeded  = "limit_exceeded"
	CodeConnection     = "connection_problem"
	CodeNotImplemented = "not_implemented"
	CodeDeadline       = "deadline_exceeded"
	CodeInternal       = "internal"
)

// errorKinds maps codes to the typed errors of package trace, and CodeDeadline to context.DeadlineExceeded.
var errorKinds = []struct {
	code     string
	matches  func(error) bool
	newError func(message string) error
}{
	{CodeNotFound, trace.IsNotFound, func(m string) error { return trace.NotFound("%s", m) }},
	{CodeBadParameter, trace.IsBadParameter, func(m string) error { return trace.BadParameter("%s", m) }},
	{CodeAccessDenied, trace.IsAccessDenied, func(m string) error { return trace.AccessDenied("%s", m) }},
	{CodeAlreadyExists, trace.IsAlreadyExists, func(m string) error { return trace.AlreadyExists("%s", m) }},
	{CodeCompareFailed, trace.IsCompareFailed, func(m string) error { return trace.CompareFailed("%s", m) }},
	{CodeLimitExceeded, trace.IsLimitExceeded, func(m string) error { return trace.LimitExceeded("%s", m) }},
	{CodeConnection, trace.IsConnectionProblem, func(m string) error { return trace.ConnectionProblem(nil, "%s", m) }},
	{CodeNotImplemented, trace.IsNotImplemented, func(m string) error { return trace.NotImplemented("%s", m) }},
	{CodeDeadline, func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }, func(string) error { return context.DeadlineExceeded }},
}

// Unwrap returns the typed error for the code, or nil if there is none.
func (e *RemoteError) Unwrap() error {
	for _, k := range errorKinds {
		if k.code == e.Code {
			return k.newError(e.Message)
		}
	}
	return nil
}

// toRemoteError converts a handler's error to a RemoteError. A *RemoteError keeps its code.
func toRemoteError(err error) *RemoteError {
	var own *RemoteError
	if errors.As(err, &own) {
		return own
	}
	for _, k := range errorKinds {
		if k.matches(err) {
			return &RemoteError{Code: k.code, Message: trace.UserMessage(err)}
		}
	}
	return &RemoteError{Code: CodeInternal, Message: trace.UserMessage(err)}
}
