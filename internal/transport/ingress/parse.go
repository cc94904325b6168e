package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// parser reads one request. If that fails, it sets refusal or disconnected; otherwise request is complete.
type parser struct {
	br           *bufio.Reader
	limits       routing.Limits
	server       *Server
	conn         *conn // nil in tests of the parser alone
	sendContinue func()

	extendBody   func()
	request      *Request
	keepAlive    bool      // the connection may carry further requests
	refusal      *Response // response to a request that was refused; the connection cannot be read further
	refusedFor   string    // reason of the refusal, as in the response's body
	disconnected bool      // the caller disconnected before the request was complete
	body         *bodyBuffer
	arriving     *arrivingBody  // nil unless the body may be evicted
	bodyBytes    int64          // memory reserved for the body
	bodyKind     membudget.Kind // of bodyBytes
	headBytes    int64          // memory reserved for the head
}

func (p *parser) refuse(status int, detail string) {
	p.refusedFor = detail
	p.refusal = &Response{Status: status, Body: []byte(detail + "\n"), CloseConnection: true, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}}
	if status == http.StatusServiceUnavailable {
		p.refusal.Header["Retry-After"] = []string{"1"}
	}
}

// refuseLate refuses a request of which a part did not arrive in time, or before the connection was asked to make room for others.
func (p *parser) refuseLate(detail string) {
	evicted := notEvicted
	if p.conn != nil {
		evicted = p.conn.endEvicted()
	}
	switch evicted {
	case notEvicted:
		p.refuse(http.StatusRequestTimeout, detail)
	case EvictedBody:
		p.refuse(http.StatusServiceUnavailable, "the body arrived slowly, and others needed its memory")
	default:
		p.refuse(http.StatusServiceUnavailable, "the request arrived slowly, and others needed its connection")
	}
}

var (
	errHeaderTooLarge = errors.New("the header is too large")
	errTooManyHeavy   = errors.New("too many requests with very many header fields arrive")
	errBareLineFeed   = errors.New("a line of the header does not end with CR LF")
)

// parse reads a request. It calls extendBody before it reads each maxReadBytes of the body. release must be called once the request is answered.
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
	case errors.Is(err, errTooManyHeavy):
		p.refuse(http.StatusServiceUnavailable, err.Error())
		return
	case isTimeout(err):
		p.refuseLate("the header did not arrive within the time that the configuration in force allows")
		return
	case err != nil:
		p.disconnected = true
		return
	}
	readAt, unread, late := time.Now(), time.Duration(0), time.Duration(0)
	if p.conn != nil {
		unread, late = p.conn.headRead(readAt)
	}
	if !p.admitHead(head) {
		return
	}
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
	p.request = &Request{Method: r.Method, Target: r.RequestURI, Path: pathOf(r.RequestURI), Host: r.Host, Header: r.Header, HeaderReadAt: readAt, Unread: unread, ReadLate: late}
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
	for lines := 0; ; {
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
		if lines++; lines == heavyHeadFields && !p.server.heavyHeads.Allow() {
			return nil, errTooManyHeavy
		}
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

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}
