// Package hop defines the headers of requests that one entry host sends through another one, in addition to those of the caller and the endpoint.
package hop

import (
	"encoding/base64"
	"net/http"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
)

// Headers between two entry hosts. The caller's own header fields are passed on beside them.
const (
	HeaderRequestID  = "Arbutusspan-Hop-Request-Id"  // the caller's request id; the response repeats it
	HeaderDeadlineMS = "Arbutusspan-Hop-Deadline-Ms" // remaining time in milliseconds
	headerRequest    = "Arbutusspan-Hop-Request"     // detour.HopRequest, as CBOR in base64url
	headerResult     = "Arbutusspan-Hop-Result"      // detour.HopResult, as CBOR in base64url
	headerKey        = "Arbutusspan-Hop-Key"         // the key that the caller has sent, unless it has sent none
	headerPrefix     = "Arbutusspan-Hop-"
)

// MaxHeaderBytes bounds what these headers add to a request, in bytes.
const MaxHeaderBytes = 4 << 10

// IsHeader reports whether a header field, in canonical form, is one of this package.
func IsHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// SetRequest adds a request to a header.
func SetRequest(h http.Header, r *detour.HopRequest) error {
	r.Tried = r.Tried[:min(len(r.Tried), detour.MaxTried)]
	return set(h, headerRequest, r)
}

// SetKey adds the caller's key to a header, or removes what the caller may have sent in its place.
func SetKey(h http.Header, key string) {
	delete(h, headerKey)
	if key != "" {
		h[headerKey] = []string{key}
	}
}

// Key returns the caller's key that a header holds; empty if it holds none.
func Key(h http.Header) string { return h.Get(headerKey) }

// SetResult adds a result to a header.
func SetResult(h http.Header, r *detour.HopResult) error {
	r.Detail = r.Detail[:min(len(r.Detail), detour.MaxDetailBytes)]
	return set(h, headerResult, r)
}

func set(h http.Header, name string, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "encode %s", name)
	}
	h[name] = []string{base64.RawURLEncoding.EncodeToString(data)}
	return nil
}

// GetRequest returns the request that a header holds.
func GetRequest(h http.Header) (*detour.HopRequest, error) {
	var r detour.HopRequest
	if err := get(h, headerRequest, &r); err != nil {
		return nil, err
	}
	if r.From == "" || r.Service == "" || r.Waited < 0 || r.WaitedBefore < 0 || r.Attempts < 1 || len(r.Tried) > detour.MaxTried {
		return nil, trace.BadParameter("%s: it names no host or service, or a figure that no host sends: %d ms, %d attempts, %d endpoints", headerRequest, r.Waited, r.Attempts, len(r.Tried))
	}
	return &r, nil
}

// GetResult returns the result that a header holds. The error is a NotFound error if it holds none, because the host has not handled the request.
func GetResult(h http.Header) (*detour.HopResult, error) {
	var r detour.HopResult
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
