package ingress

import (
	"bytes"
	"net/http"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
)

const (
	// headFieldBytes is the memory of one header field while its request is served, in bytes: its entry in the parsed header and in the copies of it.
	headFieldBytes = 640
	// freeHeadBytes is the memory up to which a head is not counted by itself, in bytes. ConnectionBytes covers it.
	freeHeadBytes = 16 << 10
	// heavyHeadFields is the number of fields from which on a head takes a millisecond of a small host's processor. heavyHeadsPerS and heavyHeadsBurst
	// bound how many of them are parsed.
	heavyHeadFields = 512
	heavyHeadsPerS  = 4
	heavyHeadsBurst = 8
)

// admitHead reserves the memory that the parsed head takes, or refuses the request.
func (p *parser) admitHead(head []byte) bool {
	fields := bytes.Count(head, []byte{'\n'})
	size := int64(len(head)) + int64(fields)*headFieldBytes
	if size <= freeHeadBytes {
		return true
	}
	if !p.server.memory.Reserve(membudget.Heads, p.address(), 0, size) {
		p.refuse(http.StatusServiceUnavailable, "the headers of other requests fill the memory of this host")
		return false
	}
	p.headBytes = size
	return true
}

// releaseHead gives back the memory that is reserved for the head.
func (p *parser) releaseHead() {
	p.server.memory.Release(membudget.Heads, p.address(), p.headBytes)
	p.headBytes = 0
}

// needsBody asks the handler whether it needs the body of a request.
func (s *Server) needsBody(r *Request) (needed bool) {
	filter, ok := s.cfg.Handler.(BodyFilter)
	if !ok {
		return true
	}
	defer func() {
		if recover() != nil {
			needed = true // Serve reports the cause
		}
	}()
	return filter.NeedsBody(r)
}
