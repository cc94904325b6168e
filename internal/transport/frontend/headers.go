package frontend

import (
	"net/http"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
)

// forwarded returns the headers that go to the upstream: no credentials, nothing that concerns one connection, and nothing
// that belongs to the protocols of this system.
func forwarded(in http.Header) http.Header {
	return callerapi.EndToEnd(in, func(name string) bool {
		return name == "Authorization" || name == callerapi.HeaderIdempotencyKey || ownHeader(name)
	})
}

// ownHeader reports whether a header belongs to the protocols of this system.
func ownHeader(name string) bool {
	return strings.HasPrefix(name, "Upstream-") || strings.HasPrefix(name, "Arbutusspan-")
}

// pathFault tells why a path could mean something else to the upstream than to the contract, or returns "".
func pathFault(escaped, path string) string {
	if strings.Contains(escaped, "%") {
		lower := strings.ToLower(escaped)
		if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") {
			return "has an escaped separator"
		}
	}
	for i := range len(path) {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return "has a control character or a backslash"
		}
	}
	if strings.Contains(path, "//") {
		return "has an empty segment"
	}
	if !strings.Contains(path, "/.") {
		return ""
	}
	for segment := range strings.SplitSeq(path, "/") {
		// Some servers cut path parameters off before they resolve dots.
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return "has a dot segment"
		}
	}
	return ""
}
