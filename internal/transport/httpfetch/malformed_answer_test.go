package httpfetch

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// fetch makes a call that gets the text of a, on a new connection or on one that has carried a whole response before.
func fetch(t *testing.T, a rawserver.Answer, kept bool, method string) (*Response, error) {
	t.Helper()
	is := is.New(t)
	s, err := rawserver.New(func(nth int, _ *http.Request) (string, rawserver.End) {
		if kept && nth == 0 {
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", rawserver.Keep
		}
		return a.With(""), rawserver.Close
	})
	is.NoErr(err)
	defer s.Close()
	client := NewClient(&http.Transport{})
	defer client.CloseIdleConnections()
	call := func(method string) (*Response, error) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address()+"/", nil)
		is.NoErr(err)
		return Do(client, req, Limits{Idle: time.Second, Bytes: 100})
	}
	if kept {
		first, err := call(http.MethodGet)
		is.NoErr(err)
		is.Equal(string(first.Body), "first")
	}
	return call(method)
}

// TestMalformedAnswer guards against bytes that are no HTTP/1.1 response and are taken for one, on new and on kept connections.
func TestMalformedAnswer(t *testing.T) {
	for _, a := range rawserver.MalformedAnswers {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %t", a.Name, kept), func(t *testing.T) {
				r, err := fetch(t, a, kept, http.MethodPost) // a GET may be sent again, on a new connection
				if !trace.IsConnectionProblem(err) {
					t.Errorf("%+v, %v", r, err)
				}
			})
		}
	}
}

// TestAllowedAnswer guards against the loss of responses that HTTP/1.1 allows, on new and on kept connections.
func TestAllowedAnswer(t *testing.T) {
	for _, a := range slices.Concat(rawserver.WholeAnswers, rawserver.UnusualAnswers) {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %t", a.Name, kept), func(t *testing.T) {
				is := is.New(t)
				r, err := fetch(t, a, kept, a.Method)
				is.NoErr(err)
				is.True(string(r.Body) != "first")
			})
		}
	}
}

// TestResetWhileSending guards against the part of a response without a length that is taken as whole, if the server resets the connection while the
// request's body is being written, also if it has ended its side of the connection in order before.
func TestResetWhileSending(t *testing.T) {
	for name, end := range rawserver.LateResets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const runs = 25
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return "HTTP/1.1 200 OK\r\n\r\npart", end })
			is.NoErr(err)
			defer s.Close()
			whole := 0
			for range runs {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/", bytes.NewReader(make([]byte, 8<<20)))
				is.NoErr(err)
				if _, err := Do(NewClient(&http.Transport{DisableKeepAlives: true}), req, Limits{Idle: time.Second, Bytes: 100}); err == nil {
					whole++
				}
			}
			is.Equal(whole, 0)
		})
	}
}
