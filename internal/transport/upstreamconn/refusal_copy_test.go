package upstreamconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// forEachDialect runs a test with the dialect of upstreams that always repeat the request id, and with that of upstreams that need not.
func forEachDialect(t *testing.T, test func(t *testing.T, cfg Config)) {
	for name, echoes := range map[string]bool{"default": false, "echoes ids": true} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.Dialect.EchoesID = echoes
			test(t, cfg)
		})
	}
}

// testResponse returns a response. It repeats an id unless that is empty.
func testResponse(status, id, body string) string {
	if id != "" {
		id = callerapi.UpstreamRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// statusLine matches the line that begins the final response of a sequence of responses.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [2-5][^\r]*\r\n`)

// withID returns raw responses with the request's id in each final one.
func withID(r *http.Request, raw string) string {
	return statusLine.ReplaceAllString(raw, "${0}"+callerapi.UpstreamRequestID+": "+r.Header.Get(callerapi.UpstreamRequestID)+"\r\n")
}

const refused = "503 Full\r\nUpstream-Ran: no"

// awaitIdle waits until a connection to the upstream is idle, or none is open.
func awaitIdle(p *Pool, u *rawUpstream) {
	for idleCount(p, u.endpoint.ID) == 0 && p.openCount(u.endpoint.ID) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestCopiedRefusal guards against a request that an upstream runs and that counts as not run, because the upstream has written an earlier refusal, or that
// of another connection, before the response.
func TestCopiedRefusal(t *testing.T) {
	for _, c := range []struct{ name, first, firstID, copyID, secondID string }{
		{"another id", refused, "r1", "r1", "r2"},
		{"the same id", refused, "r1", "r1", "r1"},
		{"no id", refused, "", "", "r2"},
		{"no id, the same request", refused, "", "", "r1"},
		{"no id, earlier responses have theirs", "200 OK", "r1", "", "r2"},
		{"no id, earlier refusals have theirs", refused, "r1", "", "r2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEachDialect(t, func(t *testing.T, cfg Config) {
				is := is.New(t)
				u := newRawUpstream(t, func(conn net.Conn, r *http.Request, n, number int) bool {
					id := r.Header.Get(callerapi.UpstreamRequestID)
					if n == 1 && number == 1 {
						io.WriteString(conn, testResponse(c.first, c.firstID, ""))
						return true
					}
					if number > 1 {
						io.WriteString(conn, testResponse(refused, c.copyID, ""))
					}
					io.WriteString(conn, testResponse("200 OK", id, id))
					return true
				})
				p := NewPool(cfg)
				resp, _, err := exchange(t.Context(), p, u.endpoint, call("r1", "POST", nil))
				if c.firstID != "" {
					is.NoErr(err)
					is.Equal(resp.NotRun, c.first == refused)
				} else {
					is.True(written(err)) // it may have run
				}
				awaitIdle(p, u)
				resp, body, err := exchange(t.Context(), p, u.endpoint, call(c.secondID, "POST", nil))
				if err != nil {
					is.True(written(err))
				} else {
					is.True(!resp.NotRun)
					is.Equal(resp.Status, http.StatusOK)
					is.Equal(body, c.secondID)
				}
			})
		})
	}
}

// TestHonestRefusal guards against refusals that are not believed although they carry the request's id, and against new connections after them.
func TestHonestRefusal(t *testing.T) {
	forEachDialect(t, func(t *testing.T, cfg Config) {
		is := is.New(t)
		u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _, number int) bool {
			status := refused
			if number%3 == 0 {
				status = "200 OK"
			}
			io.WriteString(conn, testResponse(status, r.Header.Get(callerapi.UpstreamRequestID), ""))
			return true
		})
		p := NewPool(cfg)
		const requests = 12
		for n := 1; n <= requests; n++ {
			resp, _, err := exchange(t.Context(), p, u.endpoint, call(fmt.Sprint("r", n), "POST", nil))
			is.NoErr(err)
			is.Equal(resp.NotRun, n%3 != 0)
			awaitIdle(p, u)
		}
		conns, _ := u.counts()
		is.Equal(conns, 1)
	})
}

// TestUpstreamWithoutIDs guards against requests that fail at an upstream which never repeats ids, although it answers them and nothing requires the ids, and
// against its health checks that take a connection each.
func TestUpstreamWithoutIDs(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		io.WriteString(conn, testResponse("200 OK", "", r.Header.Get(callerapi.UpstreamRequestID)))
		return true
	})
	p := testPool()
	const rounds = 5
	for n := range rounds {
		_, err := p.Probe(t.Context(), u.endpoint)
		is.NoErr(err)
		awaitIdle(p, u)
		id := fmt.Sprint("r", n)
		_, body, err := exchange(t.Context(), p, u.endpoint, call(id, "POST", nil))
		is.NoErr(err)
		is.Equal(body, id)
	}
	conns, _ := u.counts()
	is.Equal(conns, 1+rounds)
}

// TestCopyWithSameID guards against the copy of an earlier response that counts for a later request with the same id, and against a request that finds no
// connection because the only one that the limit allows has carried its id.
func TestCopyWithSameID(t *testing.T) {
	forEachDialect(t, func(t *testing.T, cfg Config) {
		is := is.New(t)
		u := newRawUpstream(t, func(conn net.Conn, r *http.Request, n, number int) bool {
			id := r.Header.Get(callerapi.UpstreamRequestID)
			if number > 1 {
				io.WriteString(conn, testResponse("200 OK", id, "copy"))
			}
			io.WriteString(conn, testResponse("200 OK", id, fmt.Sprint("try ", n)))
			return true
		})
		cfg.MaxPerEndpoint = func(endpoints.Endpoint) int { return 1 }
		p := NewPool(cfg)
		for n := 1; n <= 3; n++ {
			_, body, err := exchange(t.Context(), p, u.endpoint, call("r1", "POST", nil))
			is.NoErr(err)
			is.Equal(body, fmt.Sprint("try ", n))
			awaitIdle(p, u)
		}
		is.Equal(p.openCount(u.endpoint.ID), 1)
	})
}

// TestRequestsOfConnection guards against ids of requests that a connection forgets, and against connections for which more and more of them are kept.
func TestRequestsOfConnection(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		io.WriteString(conn, testResponse("200 OK", r.Header.Get(callerapi.UpstreamRequestID), ""))
		return true
	})
	p := testPool()
	for n := range maxRequests {
		_, _, err := exchange(t.Context(), p, u.endpoint, call(fmt.Sprint("r", n), "POST", nil))
		is.NoErr(err)
		awaitIdle(p, u)
		if n == maxRequests-2 {
			idle := p.shard(u.endpoint.ID).idle[u.endpoint.ID][0]
			for sent := range n + 1 {
				is.True(!p.suits(idle, call(fmt.Sprint("r", sent), "POST", nil)))
			}
			is.True(p.suits(idle, call("another", "POST", nil)))
		}
	}
	conns, _ := u.counts()
	is.Equal(conns, 1)
	for p.openCount(u.endpoint.ID) > 0 {
		time.Sleep(time.Millisecond)
	}
}
