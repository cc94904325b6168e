package upstreamconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// wholeAnswer is a complete answer of an upstream to a request with a method.
type wholeAnswer struct {
	name, method, text string
	untilClose         bool // the end of the connection ends the body
}

// wholeAnswers returns answers whose ends are found in all ways that HTTP/1.1 has. %s stands for the field with the request id.
func wholeAnswers() []wholeAnswer {
	const get, head = http.MethodGet, http.MethodHead
	return []wholeAnswer{
		{"length", get, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody", false},
		{"no content", get, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
		{"length last", get, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n", false},
		{"trailer", get, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n", false},
		{"empty chunked", get, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"interim", get, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
		{"no reason", get, "HTTP/1.1 200\r\n%sX:\r\nContent-Length: 0\r\n\r\n", false},
		{"line feeds", get, "HTTP/1.1 200 OK\n%sContent-Length: 0\n\n", false},
		{"status 204", get, "HTTP/1.1 204 No Content\r\n%s\r\n", false},
		{"status 304", get, "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 9\r\n\r\n", false},
		{"HEAD", head, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n", false},
		{"HEAD without length", head, "HTTP/1.1 200 OK\r\n%s\r\n", false},
		{"until close", get, "HTTP/1.1 200 OK\r\n%s\r\nbody", true},
		{"until close, line feeds", get, "HTTP/1.1 200 OK\n%s\nbody", true},
		{"until close, announced", get, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\nbody", true},
		{"HTTP/1.0", get, "HTTP/1.0 200 OK\r\n%s\r\nbody", true},
	}
}

// headEnd returns the length of the head of an answer, with its interim responses.
func headEnd(text string) int {
	rest := text
	for strings.HasPrefix(rest, "HTTP/1.1 1") {
		_, rest, _ = strings.Cut(rest, "\r\n\r\n")
	}
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := strings.Index(rest, end); i >= 0 {
			return len(text) - len(rest) + i + len(end)
		}
	}
	panic("the head of the answer has no end")
}

// cuttingUpstream sends the first bytes of an answer to each request and then closes its connection. The first request of each connection gets an
// answer of its own if reused is set.
type cuttingUpstream struct {
	answer        wholeAnswer
	reused, reset bool
	bytes         atomic.Int64
}

func (u *cuttingUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := "Upstream-Request-Id: " + r.Header.Get("Upstream-Request-Id") + "\r\n"
		if n == 0 && u.reused {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", id)
			continue
		}
		io.WriteString(c, u.text(id)[:u.bytes.Load()])
		if u.reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// text returns the whole answer with the field of the request id.
func (u *cuttingUpstream) text(id string) string {
	text := fmt.Sprintf(u.answer.text, id)
	if !strings.Contains(u.answer.text, "\r\n") {
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}

// TestCutAnswerIsNotWhole guards against an answer that ends in its head, or before the end of its body, and is taken as whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for _, a := range wholeAnswers() {
		for _, reused := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reused %t, reset %t", a.name, reused, reset), func(t *testing.T) {
					testCuts(t, &cuttingUpstream{answer: a, reused: reused, reset: reset})
				})
			}
		}
	}
}

func testCuts(t *testing.T, u *cuttingUpstream) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	cfg := DefaultConfig()
	cfg.Dialect.RequestID, cfg.Dialect.EchoesID = "Upstream-Request-Id", true
	e := endpoints.Endpoint{ID: endpoints.ID{Address: l.Addr().String(), Incarnation: "e@1"}}
	call := func(p *Pool, method string) bool {
		resp, err := p.Send(t.Context(), e, &executor.Call{RequestID: "r1", Method: method, Path: "/", Header: http.Header{}})
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil
	}
	// whole reports whether the first n bytes of the answer are taken as whole.
	whole := func(n int) bool {
		u.bytes.Store(int64(n))
		p := NewPool(cfg)
		if u.reused {
			is.True(call(p, http.MethodGet))
			for idleCount(p, e.ID) == 0 {
				time.Sleep(time.Millisecond) // until net/http has called Read again, so that the connection is idle
			}
		}
		return call(p, u.answer.method)
	}
	text := u.text("Upstream-Request-Id: r1\r\n")
	ends := len(text)
	if u.answer.untilClose && !u.reset {
		ends = headEnd(text) // a close in the body is its end
	}
	for n := range ends {
		if whole(n) {
			t.Errorf("whole with %d of %d bytes: %q", n, len(text), text[:n])
		}
	}
	all := whole(len(text))
	is.True(all || u.reset) // a reset may overtake what has been sent
	is.True(!all || !u.reset || !u.answer.untilClose)
}
