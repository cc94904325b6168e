// Package framing lets handlers of net/http's server detect requests that carry both Content-Length and Transfer-Encoding. net/http
// ignores the Content-Length of such a request, but a proxy in front of it may have used it. The two then disagree about where the body
// ends, and one takes bytes of the body for another request: request smuggling (RFC 9112 section 6.3).
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

// NewListener wraps l so that its connections check the header of each request that is read from them.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

type connKey struct{}

// ConnContext must be set as the ConnContext of the http.Server, so that HasAmbiguousLength finds the connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HasAmbiguousLength reports whether the request has both Content-Length and Transfer-Encoding. It must be called exactly once per
// request, in the order of the requests on the connection. For connections that were not accepted by a listener of NewListener it returns
// false.
func HasAmbiguousLength(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && c.nextResult()
}

// conn scans the requests that are read from a connection.
type conn struct {
	net.Conn

	mu      sync.Mutex
	scanner scanner
	results []bool // whether a request is ambiguous, for each one whose header was read and for which HasAmbiguousLength was not yet called
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = c.scanner.scan(b[:n], c.results)
	return n, err
}

// CloseWrite passes the call on to the wrapped connection. net/http closes the write side first, so that callers can read the last
// response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

func (c *conn) nextResult() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.results) == 0 {
		return false
	}
	v := c.results[0]
	c.results = c.results[1:]
	return v
}

// state is the part of a request that the scanner expects next.
type state uint8

const (
	inHeader    state = iota
	inBody            // body with a Content-Length
	inChunkSize       // line with the size of a chunk
	inChunk           // data of a chunk and the CR LF after it
	inTrailer
	stopped // after an ambiguous or invalid request, since the server closes the connection
)

// maxLineBytes is the number of bytes that are kept of a line. The rest is not needed: of a longer header field only the name matters, and
// the server refuses other lines of that length.
const maxLineBytes = 8 << 10

// scanner finds the headers in the bytes of consecutive requests, which may arrive in pieces of any size.
type scanner struct {
	state               state
	line                []byte
	started             bool  // the request line has been read
	http10              bool  // the request is one of HTTP/1.0
	remaining           int64 // bytes left of the body or chunk
	contentLength       int64
	hasContentLength    bool
	chunked             bool
	hasTransferEncoding bool
	fieldName           string // of the last header field, in lower case
}

// scan reads the next bytes of the connection. For each header that ends in b it appends to results whether the request is ambiguous.
func (s *scanner) scan(b []byte, results []bool) []bool {
	for len(b) > 0 && s.state != stopped {
		if s.state == inBody || s.state == inChunk {
			n := min(int64(len(b)), s.remaining)
			b, s.remaining = b[n:], s.remaining-n
			if s.remaining == 0 {
				s.state = map[state]state{inBody: inHeader, inChunk: inChunkSize}[s.state]
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.appendLine(b)
			break
		}
		s.appendLine(b[:end])
		b = b[end+1:]
		line := strings.TrimSuffix(string(s.line), "\r")
		s.line = s.line[:0]
		if s.processLine(line) {
			results = append(results, s.endHeader())
		}
	}
	return results
}

func (s *scanner) appendLine(b []byte) {
	s.line = append(s.line, b[:min(len(b), max(0, maxLineBytes-len(s.line)))]...)
}

// processLine processes a complete line without its line end. It reports whether the line ends a header.
func (s *scanner) processLine(line string) bool {
	switch s.state {
	case inHeader:
		switch {
		case line == "":
			return s.started // empty lines before the request line are skipped
		case !s.started:
			s.started, s.http10 = true, strings.HasSuffix(line, " HTTP/1.0")
		default:
			s.processField(line)
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
			s.state, s.remaining = inChunk, n+int64(len("\r\n"))
		}
	case inTrailer:
		if line == "" {
			s.state = inHeader
		}
	}
	return false
}

// processField processes a line of the header. One that begins with a space continues the value of the last field (RFC 9112 section 5.2).
func (s *scanner) processField(line string) {
	value := line
	if !strings.HasPrefix(line, " ") && !strings.HasPrefix(line, "\t") {
		var name string
		name, value, _ = strings.Cut(line, ":")
		s.fieldName = strings.ToLower(strings.TrimSpace(name))
	}
	switch s.fieldName {
	case "content-length":
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err == nil {
			s.contentLength = n
		}
		s.hasContentLength = true
	case "transfer-encoding":
		s.hasTransferEncoding = true
		s.chunked = s.chunked || strings.Contains(strings.ToLower(value), "chunked")
	}
}

// endHeader sets the state for the bytes after the header and reports whether the request is ambiguous.
func (s *scanner) endHeader() bool {
	ambiguous := s.hasContentLength && s.hasTransferEncoding
	next := scanner{state: inHeader, line: s.line}
	switch {
	case ambiguous:
		next.state = stopped
	case s.chunked && !s.http10: // net/http ignores the Transfer-Encoding of HTTP/1.0
		next.state = inChunkSize
	case s.contentLength > 0:
		next.state, next.remaining = inBody, s.contentLength
	}
	*s = next
	return ambiguous
}
