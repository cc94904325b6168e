package upstreamconn

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

const requestIDField = "Upstream-Request-Id"

// cuttingUpstream sends the first bytes of an answer to each request and then ends its connection. If reused is set, the first request of each connection
// gets a whole answer.
type cuttingUpstream struct {
	*rawserver.Server
	answer rawserver.Answer
	reused bool
	end    rawserver.End
	bytes  atomic.Int64
}

func startCuttingUpstream(t *testing.T, answer rawserver.Answer, reused bool, end rawserver.End) *cuttingUpstream {
	t.Helper()
	u := &cuttingUpstream{answer: answer, reused: reused, end: end}
	s, err := rawserver.New(func(nth int, r *http.Request) (string, rawserver.End) {
		id := requestIDField + ": " + r.Header.Get(requestIDField) + "\r\n"
		if u.reused && nth == 0 {
			return "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n", rawserver.Keep
		}
		if r.URL.Path == probePath {
			id = "" // as in the answers to health checks of some endpoints
		}
		return u.answer.With(id)[:u.bytes.Load()], u.end
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	u.Server = s
	return u
}

// send sends a request that gets the first n bytes of the answer, to which responses reports the heads that the pool has believed. It returns an error
// unless the answer looks whole.
func (u *cuttingUpstream) send(t *testing.T, n int, send func(*Pool, endpoints.Endpoint) error) (heads int, err error) {
	t.Helper()
	e := endpoints.Endpoint{ID: endpoints.ID{Address: u.Address(), Incarnation: "e@1"}}
	cfg := DefaultConfig()
	cfg.Dialect.RequestID, cfg.Dialect.EchoesID = requestIDField, true
	cfg.OnResponse = func(endpoints.Endpoint, *executor.Response) { heads++ }
	p := NewPool(cfg)
	if u.reused {
		if err := sendCall(t, p, e, http.MethodGet, "r0"); err != nil {
			t.Fatal(err)
		}
		for idleCount(p, e.ID) == 0 {
			time.Sleep(time.Millisecond) // until net/http has called Read again, so that the connection is idle
		}
	}
	heads = 0
	u.bytes.Store(int64(n))
	err = send(p, e)
	return heads, err
}

// longBody does not fit into the buffers of a connection.
var longBody = make([]byte, 16<<20)

// sendCall sends a request and reads the response to its end.
func sendCall(t *testing.T, p *Pool, e endpoints.Endpoint, method, id string) error {
	call := &executor.Call{RequestID: id, Method: method, Path: "/", Header: http.Header{}}
	if method == http.MethodPost {
		call.Body = longBody
	}
	resp, err := p.Send(t.Context(), e, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestCutAnswerIsNotWhole guards against an answer that ends in its head, or before the end of its body, and is taken as whole, and against a belief that
// is drawn from a part of a head.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for _, a := range rawserver.WholeAnswers {
		for _, reused := range []bool{false, true} {
			for _, end := range []rawserver.End{rawserver.Close, rawserver.Reset} {
				t.Run(fmt.Sprintf("%s, reused %t, reset %t", a.Name, reused, end == rawserver.Reset), func(t *testing.T) {
					is := is.New(t)
					u := startCuttingUpstream(t, a, reused, end)
					call := func(p *Pool, e endpoints.Endpoint) error { return sendCall(t, p, e, a.Method, "r1") }
					text := a.With(requestIDField + ": r1\r\n")
					reset := end == rawserver.Reset
					complete, head := a.EndAt(text, reset), rawserver.HeadBytes(text)
					for n := range min(complete, len(text)+1) {
						heads, err := u.send(t, n, call)
						if err == nil || heads > 0 && n < head {
							t.Errorf("whole, or believed, with %d of %d bytes: %d heads, %v: %q", n, len(text), heads, err, text[:n])
						}
					}
					if _, err := u.send(t, len(text), call); !reset { // a reset may overtake what has been sent
						is.NoErr(err)
					}
				})
			}
		}
	}
}

// TestCutHealthAnswer guards against the load or health of an endpoint that is taken from a part of the answer to a health check.
func TestCutHealthAnswer(t *testing.T) {
	for name, probe := range map[string]func(p *Pool, e endpoints.Endpoint) error{
		"load": func(p *Pool, e endpoints.Endpoint) error {
			_, err := p.ProbeLoad(t.Context(), e, probePath)
			return err
		},
		"health": func(p *Pool, e endpoints.Endpoint) error { _, err := p.Probe(t.Context(), e); return err },
	} {
		for _, a := range rawserver.WholeAnswers {
			for _, end := range []rawserver.End{rawserver.Close, rawserver.Reset} {
				if a.Method != http.MethodGet || a.Name == "status 204" || a.Name == "status 304" {
					continue // no answers to health checks
				}
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, a.Name, end == rawserver.Reset), func(t *testing.T) {
					is := is.New(t)
					u := startCuttingUpstream(t, a, false, end)
					text := a.With("")
					complete := a.EndAt(text, end == rawserver.Reset)
					for n := range min(complete, len(text)+1) {
						if _, err := u.send(t, n, probe); err == nil {
							t.Errorf("believed with %d of %d bytes: %q", n, len(text), text[:n])
						}
					}
					if _, err := u.send(t, len(text), probe); end == rawserver.Close {
						is.NoErr(err)
					}
				})
			}
		}
	}
}

// TestCutAnswerBeforeEndOfRequest guards against an answer that ends in its head or body, while the request is still being sent, and is taken as whole.
func TestCutAnswerBeforeEndOfRequest(t *testing.T) {
	for _, end := range []rawserver.End{rawserver.Close, rawserver.Reset} {
		a := rawserver.WholeAnswers[0]
		u := startCuttingUpstream(t, a, false, end)
		text := a.With(requestIDField + ": r1\r\n")
		for n := range len(text) {
			if _, err := u.send(t, n, func(p *Pool, e endpoints.Endpoint) error { return sendCall(t, p, e, http.MethodPost, "r1") }); err == nil {
				t.Errorf("whole with %d of %d bytes: %q", n, len(text), text[:n])
			}
		}
	}
}
