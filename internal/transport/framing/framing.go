// Package framing tells handlers of net/http's server which requests state both Content-Length and Transfer-Encoding. The server drops
// the length of such a request and reads on, but a proxy before it may have gone by the length: bytes that are body to one are a
// request to the other (RFC 9112 section 6.3).
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Listener makes the connections of a listener watch the requests that come over them.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

type connKey struct{}

// ConnContext is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Ambiguous reports whether the request states its length in two ways. It must be called once for each request. Connections that do not
// come from a Listener of this package have no ambiguous requests.
func Ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && c.next()
}

// conn follows the requests on a connection.
type conn struct {
	net.Conn

	mu       sync.Mutex
	scanner  scanner
	verdicts []bool // of requests whose header was read and which no handler has seen
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts = c.scanner.scan(b[:n], c.verdicts)
	return n, err
}

// CloseWrite lets the server end its side first, so that callers read the last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) next() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.verdicts) == 0 {
		return false
	}
	v := c.verdicts[0]
	c.verdicts = c.verdicts[1:]
	return v
}

// state of a scanner.
type state uint8

const (
	inHeader    state = iota
	inBody            // of a known length
	inChunkSize       // the line before a chunk
	inChunk           // with the line end behind it
	inTrailer
	stopped // after an ambiguous or unreadable request: the server ends the connection
)

// maxLine bounds what is kept of a line. Longer ones matter only up to their names, or the server refuses them.
const maxLine = 8 << 10

// scanner follows the bytes of requests.
type scanner struct {
	state   state
	line    []byte
	started bool // the header has a request line
	left    int64
	length  int64
	hasLen  bool
	chunked bool
	hasCode bool // Transfer-Encoding
}

// scan appends a verdict for each header that ends in b.
func (s *scanner) scan(b []byte, verdicts []bool) []bool {
	for len(b) > 0 && s.state != stopped {
		if s.state == inBody || s.state == inChunk {
			n := min(int64(len(b)), s.left)
			b, s.left = b[n:], s.left-n
			if s.left == 0 {
				s.state = map[state]state{inBody: inHeader, inChunk: inChunkSize}[s.state]
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.keep(b)
			break
		}
		s.keep(b[:end])
		b = b[end+1:]
		line := strings.TrimSuffix(string(s.line), "\r")
		s.line = s.line[:0]
		if s.takeLine(line) {
			verdicts = append(verdicts, s.endHeader())
		}
	}
	return verdicts
}

func (s *scanner) keep(b []byte) {
	s.line = append(s.line, b[:min(len(b), max(0, maxLine-len(s.line)))]...)
}

// takeLine takes in a whole line and reports whether it ends a header.
func (s *scanner) takeLine(line string) bool {
	switch s.state {
	case inHeader:
		switch {
		case line == "":
			return s.started // empty lines before a request are skipped
		case !s.started:
			s.started = true
		default:
			s.takeField(line)
		}
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		switch {
		case err != nil || n < 0:
			s.state = stopped
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.left = inChunk, n+int64(len("\r\n"))
		}
	case inTrailer:
		if line == "" {
			s.state = inHeader
		}
	}
	return false
}

func (s *scanner) takeField(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err == nil {
			s.length = n
		}
		s.hasLen = true
	case "transfer-encoding":
		s.hasCode = true
		s.chunked = s.chunked || strings.Contains(strings.ToLower(value), "chunked")
	}
}

// endHeader decides what follows and reports whether the request was ambiguous.
func (s *scanner) endHeader() bool {
	ambiguous := s.hasLen && s.hasCode
	next := scanner{state: inHeader, line: s.line}
	switch {
	case ambiguous:
		next.state = stopped
	case s.chunked:
		next.state = inChunkSize
	case s.length > 0:
		next.state, next.left = inBody, s.length
	}
	*s = next
	return ambiguous
}
