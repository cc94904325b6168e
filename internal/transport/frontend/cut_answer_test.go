package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestCallerOfCutAnswer guards against a caller that gets a success that looks whole, or a promise that its request has not run, for an answer that the
// upstream broke off in its head or body.
func TestCallerOfCutAnswer(t *testing.T) {
	for _, a := range rawserver.WholeAnswers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", a.Name, reset), func(t *testing.T) {
				is := is.New(t)
				text := a.With("")
				var sent atomic.Int64
				s, _ := newFrontend(t, func(w http.ResponseWriter, _ *http.Request) {
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					_, _ = io.WriteString(c, text[:sent.Load()]) // fails if the host gives up
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0) // likewise
					}
				})
				// get returns what the caller of a request gets whose answer is cut after n bytes.
				get := func(n int) (resp *http.Response, whole bool) {
					sent.Store(int64(n))
					resp, _, err := sendRaw(t, s, a.Method, a.Method+" /s/svc/a/x HTTP/1.1\r\nHost: h\r\n"+auth+"\r\n")
					return resp, err == nil
				}
				for n := range min(len(text)+1, a.EndAt(text, reset)) {
					resp, whole := get(n)
					if !whole {
						continue // the connection broke
					}
					is.Equal(resp.StatusCode, http.StatusBadGateway)
					is.Equal(resp.Header.Get("Arbutusspan-Ran"), "unknown")
				}
				if resp, whole := get(len(text)); !reset { // a reset may overtake what has been sent
					is.True(whole)
					is.True(resp.StatusCode < http.StatusBadRequest)
				}
			})
		}
	}
}
