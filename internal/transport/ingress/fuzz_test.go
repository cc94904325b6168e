package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

var (
	fuzzLimits = routing.Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 4096}
	hostLine   = regexp.MustCompile(`(?im)^host:`)
	folded     = regexp.MustCompile(`\n[ \t]`)
	host       = regexp.MustCompile(`^[A-Za-z0-9!$%&'()*+,;=_~.:\[\]-]+$`) // RFC 3986 section 3.2.2, with the port
	token      = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	fieldValue = regexp.MustCompile(`^[^\x00-\x08\x0a-\x1f\x7f]*$`)
)

// parseBytes parses one request. It returns the parser and what was not read.
func parseBytes(data []byte) (*parser, []byte) {
	src := bytes.NewReader(data)
	p := &parser{br: bufio.NewReader(src), limits: fuzzLimits, server: New(Config{Memory: bodyMemory(3000)}), sendContinue: func() {}}
	p.parse(func() {})
	rest, _ := io.ReadAll(p.br) // a bytes.Reader does not fail
	return p, rest
}

// write writes a request as an endpoint would get it.
func write(r *Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			if name != "Content-Length" {
				fmt.Fprintf(&b, "%s: %s\r\n", name, v)
			}
		}
	}
	if len(r.Body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// FuzzRequest checks that a request that was accepted keeps to the limits, can be sent to an endpoint, and, written again, is the same
// request and ends where it ended before. The memory of a request that was not accepted is released.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{get("/a?b=c"), "POST /p HTTP/1.1\r\nHost: h:80\r\nContent-Length: 3\r\n\r\nabcGET /next", "\r\nGET / HTTP/1.0\r\nhost: h\r\n\r\n",
		"PUT /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: v\r\n\r\nGET /next",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\tb\r\nX: c\r\nConnection: close\r\n\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		p, rest := parseBytes(data)
		if p.refusal != nil || p.disconnected {
			is.True(p.refusal == nil || !p.disconnected)
			is.Equal(bodyBytes(p.server), int64(0))
			return
		}
		r := p.request
		is.True(int64(len(r.Body)) <= fuzzLimits.MaxBodyBytes)
		is.Equal(bodyBytes(p.server), int64(len(r.Body)))
		is.True(bytes.HasSuffix(data, rest))
		head, _, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\r\n\r\n"))
		is.Equal(len(hostLine.FindAll(head, -1)), 1)
		is.True(!folded.Match(head))
		is.True(token.MatchString(r.Method) && strings.HasPrefix(r.Target, "/") && !strings.HasPrefix(r.Target, "//") && fieldValue.MatchString(r.Target))
		is.True(host.MatchString(r.Host))
		for name, values := range r.Header {
			is.True(token.MatchString(name))
			for _, v := range values {
				is.True(fieldValue.MatchString(v))
			}
		}
		const next = "GET /next HTTP/1.1\r\n"
		again, rest := parseBytes(append(write(r), next...))
		is.True(again.refusal == nil && !again.disconnected)
		is.Equal(string(rest), next)
		second := again.request
		r.HeaderReadAt = second.HeaderReadAt
		for _, h := range []http.Header{r.Header, second.Header} {
			delete(h, "Content-Length")
		}
		if len(r.Body) == 0 {
			r.Body, second.Body = nil, nil
		}
		is.Equal(r, second)
	})
}
