// Package hop defines the headers of requests that one entry host sends through another one, in addition to those of the caller and the endpoint.
package hop

import (
	"encoding/base64"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Headers between two entry hosts. The caller's own header fields are passed on beside them.
const (
	HeaderRequestID  = "Arbutusspan-Hop-Request-Id"  // the caller's request id; the response repeats it
	HeaderDeadlineMS = "Arbutusspan-Hop-Deadline-Ms" // remaining time in milliseconds
	headerRequest    = "Arbutusspan-Hop-Request"     // Request, as CBOR in base64url
	headerResult     = "Arbutusspan-Hop-Result"      // Result, as CBOR in base64url
	headerPrefix     = "Arbutusspan-Hop-"
)

// MaxHeaderBytes bounds what these headers add to a request, in bytes.
const MaxHeaderBytes = 4 << 10

// maxTried bounds Request.Tried.
const maxTried = 16

// Request is what a host tells the next one about a request.
type Request struct {
	From    string `cbor:"1,keyasint"` // host that got the request from its caller
	Service string `cbor:"2,keyasint"` // service that it has chosen
	Version uint64 `cbor:"3,keyasint"` // of its configuration
	Waited  int64  `cbor:"4,keyasint"` // ms since the host has read the request
	// Attempts is the number of endpoints to which the request may be sent.
	Attempts int            `cbor:"5,keyasint"`
	Caller   netip.Addr     `cbor:"6,keyasint"`           // address of the caller
	Tried    []endpoints.ID `cbor:"7,keyasint,omitempty"` // endpoints to which the request is not sent again
	// Counted is set if the first host has counted the request for its repeat budget.
	Counted bool `cbor:"8,keyasint,omitempty"`
	// Late is set if an answer after the target latency is wanted, because an earlier send has failed or hangs.
	Late bool `cbor:"9,keyasint,omitempty"`
}

// WaitedFor returns Waited as a duration.
func (r *Request) WaitedFor() time.Duration { return time.Duration(r.Waited) * time.Millisecond }

// Result is how a request ended at the host through which it went.
type Result struct {
	Outcome string       `cbor:"1,keyasint"`           // a forward.Outcome
	Retry   int64        `cbor:"2,keyasint,omitempty"` // ms until the caller should come back; 0 if that is not known
	Sends   int          `cbor:"3,keyasint,omitempty"` // endpoints that the request may have reached
	ID      endpoints.ID `cbor:"4,keyasint"`           // endpoint that answered
	Detail  string       `cbor:"5,keyasint,omitempty"` // cause of a failure
}

// RetryAfter returns Retry as a duration.
func (r *Result) RetryAfter() time.Duration { return time.Duration(r.Retry) * time.Millisecond }

// IsHeader reports whether a header field, in canonical form, is one of this package.
func IsHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// SetRequest adds a request to a header.
func SetRequest(h http.Header, r *Request) error {
	r.Tried = r.Tried[:min(len(r.Tried), maxTried)]
	return set(h, headerRequest, r)
}

// SetResult adds a result to a header.
func SetResult(h http.Header, r *Result) error {
	r.Detail = r.Detail[:min(len(r.Detail), maxDetail)]
	return set(h, headerResult, r)
}

// maxDetail bounds Result.Detail in bytes.
const maxDetail = 200

func set(h http.Header, name string, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "encode %s", name)
	}
	h[name] = []string{base64.RawURLEncoding.EncodeToString(data)}
	return nil
}

// GetRequest returns the request that a header holds.
func GetRequest(h http.Header) (*Request, error) {
	var r Request
	if err := get(h, headerRequest, &r); err != nil {
		return nil, err
	}
	if r.From == "" || r.Service == "" || r.Waited < 0 || r.Attempts < 1 || len(r.Tried) > maxTried {
		return nil, trace.BadParameter("%s: it names no host or service, or a figure that no host sends: %d ms, %d attempts, %d endpoints", headerRequest, r.Waited, r.Attempts, len(r.Tried))
	}
	return &r, nil
}

// GetResult returns the result that a header holds. The error is a NotFound error if it holds none, because the host has not handled the request.
func GetResult(h http.Header) (*Result, error) {
	var r Result
	if err := get(h, headerResult, &r); err != nil {
		return nil, err
	}
	if r.Retry < 0 || r.Sends < 0 {
		return nil, trace.BadParameter("%s: a figure is negative: %d ms, %d sends", headerResult, r.Retry, r.Sends)
	}
	return &r, nil
}

func get(h http.Header, name string, v any) error {
	text := h.Get(name)
	if text == "" {
		return trace.NotFound("the header has no %s", name)
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return trace.BadParameter("%s is no base64url: %v", name, err)
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return trace.BadParameter("%s cannot be decoded: %v", name, err)
	}
	return nil
}
