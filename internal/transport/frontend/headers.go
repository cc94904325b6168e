package frontend

import (
	"net/http"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
)

// forwardedHeaders returns the headers that are sent to the upstream: all but credentials, hop-by-hop headers and those of this system's
// own protocols.
func forwardedHeaders(in http.Header) http.Header {
	return callerapi.EndToEndHeaders(in, func(name string) bool {
		return name == "Authorization" || name == callerapi.HeaderIdempotencyKey || isProtocolHeader(name)
	})
}

// isProtocolHeader reports whether a header belongs to this system's own protocols.
func isProtocolHeader(name string) bool {
	return strings.HasPrefix(name, "Upstream-") || strings.HasPrefix(name, "Arbutusspan-")
}

// pathFault returns why the upstream could interpret a path differently from the contract's path matching, or "".
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
		// Some servers remove path parameters before they resolve dot segments.
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return "has a dot segment"
		}
	}
	return ""
}
