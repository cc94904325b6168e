package callerapi

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1). Expect is included because the body
// has been read before the request is forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true, "Expect": true, "Content-Length": true,
}

// connectionOptions returns the names listed in the Connection header, or nil if there is none.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// EndToEndHeaders returns the end-to-end headers of in: those that are not hop-by-hop and for which drop returns false. A nil drop
// keeps all of them.
func EndToEndHeaders(in http.Header, drop func(name string) bool) http.Header {
	out := make(http.Header, len(in)+4)
	options := connectionOptions(in)
	for name, values := range in {
		if !hopByHop[name] && !options[name] && (drop == nil || !drop(name)) {
			out[name] = values
		}
	}
	return out
}
