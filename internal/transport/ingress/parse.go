package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// parser reads one request. If that fails, it sets refusal or disconnected; otherwise request is complete.
type parser struct {
	br           *bufio.Reader
	limits       routing.Limits
	server       *Server
	sendContinue func()

	extendBody   func()
	request      *Request
	keepAlive    bool      // the connection may carry further requests
	refusal      *Response // response to a request that was refused; the connection cannot be read further
	refusedFor   string    // reason of the refusal, as in the response's body
	disconnected bool      // the caller disconnected before the request was complete
	bodyBytes    int64     // memory reserved for the body, counted in server.totalBodyBytes too
}

func (p *parser) refuse(status int, detail string) {
	p.refusedFor = detail
	p.refusal = &Response{Status: status, Body: []byte(detail + "\n"), CloseConnection: true, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}}
	if status == http.StatusServiceUnavailable {
		p.refusal.Header["Retry-After"] = []string{"1"}
	}
}

var (
	errHeaderTooLarge = errors.New("the header is too large")
	errBareLineFeed   = errors.New("a line of the header does not end with CR LF")
)

// parse reads a request. It calls extendBody before it reads each maxReadBytes of the body.
func (p *parser) parse(extendBody func()) {
	p.extendBody = extendBody
	head, err := p.readHead()
	switch {
	case errors.Is(err, errHeaderTooLarge):
		p.refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limits of the configuration in force allow")
		return
	case errors.Is(err, errBareLineFeed):
		p.refuse(http.StatusBadRequest, err.Error())
		return
	case isTimeout(err):
		p.refuse(http.StatusRequestTimeout, "the header did not arrive within the time that the configuration in force allows")
		return
	case err != nil:
		p.disconnected = true
		return
	}
	readAt := time.Now()
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		p.refuse(http.StatusBadRequest, "the header cannot be parsed: "+err.Error())
		return
	}
	if fault := headerFault(head, r); fault != "" {
		p.refuse(http.StatusBadRequest, fault)
		return
	}
	p.keepAlive = !r.Close && r.ProtoAtLeast(1, 1)
	p.request = &Request{Method: r.Method, Target: r.RequestURI, Path: pathOf(r.RequestURI), Host: r.Host, Header: r.Header, HeaderReadAt: readAt}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		delete(r.Header, "Expect")
		p.sendContinue()
	}
	p.readBody(r)
}

// pathOf returns the path of a request target, as it was sent.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// readHead reads up to the empty line that ends the header. Empty lines before the request line are skipped (RFC 9112 section 2.2).
func (p *parser) readHead() ([]byte, error) {
	var head []byte
	for {
		line, err := p.br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err != nil {
			return nil, err
		}
		if int64(len(head)+len(line)) > p.limits.MaxHeaderBytes {
			return nil, errHeaderTooLarge
		}
		if len(head) == 0 && string(line) == "\r\n" {
			continue
		}
		head = append(head, line...)
		if line[len(line)-1] == '\n' && !bytes.HasSuffix(head, []byte("\r\n")) {
			return nil, errBareLineFeed
		}
		if bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			return head, nil
		}
	}
}

// headerFault returns the reason to refuse a request because of its header, or "". In particular it refuses headers that leave open where
// the request ends: if two servers disagree about that, one can take a part of the body for a separate request (RFC 9112 section 6.1).
func headerFault(head []byte, r *http.Request) string {
	lengths, codings := 0, 0
	first := true
	for line := range bytes.Lines(head) {
		if first {
			first = false // the request line
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return "a header is folded"
		case !ok:
		case bytes.ContainsAny(name, " \t"): // net/http reads such names but does not send them
			return "the name of a header contains a space"
		case strings.EqualFold(string(name), "Content-Length"):
			lengths++
		case strings.EqualFold(string(name), "Transfer-Encoding"):
			codings++
		}
	}
	switch {
	case lengths > 0 && codings > 0:
		return "the request has both Content-Length and Transfer-Encoding"
	case lengths > 1 || codings > 1:
		return "the request states its length more than once"
	case codings > 0 && !r.ProtoAtLeast(1, 1):
		return "the request has a Transfer-Encoding, which HTTP/1.0 does not know"
	case !strings.HasPrefix(r.RequestURI, "/"):
		return "the request target is not a path"
	case strings.HasPrefix(r.RequestURI, "//"): // can be taken for a host, and is not sent to endpoints
		return "the request target begins with two slashes"
	case r.Host == "":
		return "the Host header is missing"
	case strings.ContainsFunc(r.Host, func(c rune) bool { return !isHostCharacter(c) }): // net/http sends a part of such a host, or none
		return "the Host header contains a character that no host name has"
	}
	return ""
}

// isHostCharacter reports whether a Host header may contain the character (RFC 3986 section 3.2).
func isHostCharacter(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c < 0x80 && strings.ContainsRune("-._~!$&'()*+,;=%:[]", c)
}

// chunkReadBytes is the number of bytes that are read at a time from a chunked body.
const chunkReadBytes = 16 << 10

func (p *parser) readBody(r *http.Request) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return
	}
	if r.ContentLength > p.limits.MaxBodyBytes {
		p.refuse(http.StatusRequestEntityTooLarge, "the body is larger than the limits of the configuration in force allow")
		return
	}
	var err error
	if r.ContentLength > 0 {
		if !p.reserve(r.ContentLength) {
			return
		}
		p.request.Body = make([]byte, r.ContentLength)
		for rest := p.request.Body; len(rest) > 0 && err == nil; {
			var n int
			p.extendBody()
			n, err = io.ReadFull(p.br, rest[:min(len(rest), maxReadBytes)])
			rest = rest[n:]
		}
	} else {
		err = p.readChunked()
	}
	switch {
	case p.refusal != nil:
	case isTimeout(err):
		p.refuse(http.StatusRequestTimeout, "the body did not arrive in time")
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !isNetError(err):
		p.refuse(http.StatusBadRequest, "the body cannot be parsed: "+err.Error())
	case err != nil:
		p.disconnected = true
	}
	if p.refusal != nil || p.disconnected {
		p.release()
	}
}

// release gives back the memory that is reserved for the body.
func (p *parser) release() {
	p.server.totalBodyBytes.Add(-p.bodyBytes)
	p.bodyBytes = 0
}

// reserve reserves memory for n bytes of the body. It refuses the request if the limit for all bodies is exceeded.
func (p *parser) reserve(n int64) bool {
	if p.server.totalBodyBytes.Add(n) > p.server.cfg.MaxTotalBodyBytes {
		p.server.totalBodyBytes.Add(-n)
		p.refuse(http.StatusServiceUnavailable, "the bodies of other requests fill the memory of this host")
		return false
	}
	p.bodyBytes += n
	return true
}

func (p *parser) readChunked() error {
	cr := httputil.NewChunkedReader(p.br)
	buf := make([]byte, chunkReadBytes)
	extended := 0 // length of the body when its deadline was extended
	p.extendBody()
	for {
		if len(p.request.Body)-extended >= maxReadBytes {
			p.extendBody()
			extended = len(p.request.Body)
		}
		n, err := cr.Read(buf)
		if n > 0 {
			if int64(len(p.request.Body)+n) > p.limits.MaxBodyBytes {
				p.refuse(http.StatusRequestEntityTooLarge, "the body is larger than the limits of the configuration in force allow")
				return nil
			}
			if !p.reserve(int64(n)) {
				return nil
			}
			p.request.Body = append(p.request.Body, buf[:n]...)
		}
		if err == io.EOF {
			return p.skipTrailer()
		}
		if err != nil {
			return err
		}
	}
}

// skipTrailer reads up to the empty line that ends the trailer.
func (p *parser) skipTrailer() error {
	for {
		line, err := p.br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}
