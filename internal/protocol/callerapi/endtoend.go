package callerapi

import (
	"net/http"
	"strings"
)

// hopByHop lists headers that concern one connection only (RFC 9110, section 7.6.1). Expect is among them, because the
// body was read before the request goes on.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true, "Expect": true, "Content-Length": true,
}

// connectionOptions returns the headers that Connection names, or nil.
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

// EndToEndHeaders copies the headers that are meant for the other end, without those that drop names. A nil drop names none.
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
