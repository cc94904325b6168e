package client

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestMalformedAnswer guards against bytes that are no HTTP/1.1 response and are taken for one, and against a request that counts as not sent.
func TestMalformedAnswer(t *testing.T) {
	for _, a := range rawserver.MalformedAnswers {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := rawserver.New(func(nth int, _ *http.Request) (string, rawserver.End) {
				if nth == 0 {
					return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", rawserver.Keep
				}
				return a.With(""), rawserver.Close
			})
			is.NoErr(err)
			defer s.Close()
			p := newConnPool(nil)
			defer p.closeIdle()
			send := func() (*response, *attemptError) {
				req, err := http.NewRequest(a.Method, "http://"+s.Address()+"/", nil)
				is.NoErr(err)
				return p.send(t.Context(), s.Address(), req, nil)
			}
			first, failed := send()
			is.True(failed == nil)
			is.Equal(string(first.body), "first")
			second, failed := send()
			if failed == nil || !failed.sent {
				t.Errorf("%+v, %v", second, failed)
			}
		})
	}
}

// TestResetWhileSending guards against the part of a response without a length that is taken as whole, if the host resets the connection while the request's
// body is being written, also if it has ended its side of the connection in order before.
func TestResetWhileSending(t *testing.T) {
	for name, end := range rawserver.LateResets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return "HTTP/1.1 200 OK\r\n\r\npart", end })
			is.NoErr(err)
			defer s.Close()
			p, body, whole := newConnPool(nil), make([]byte, 8<<20), 0
			for range 25 {
				req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/", nil)
				is.NoErr(err)
				if _, failed := p.send(t.Context(), s.Address(), req, body); failed == nil {
					whole++
				}
			}
			is.Equal(whole, 0)
		})
	}
}
