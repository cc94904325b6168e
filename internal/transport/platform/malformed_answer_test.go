package platform

import (
	"net/http"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestMalformedAnswer guards against bytes that are no HTTP/1.1 response and are taken for one.
func TestMalformedAnswer(t *testing.T) {
	for _, a := range rawserver.MalformedAnswers {
		if strings.Contains(a.Text, "4\r\nbody") {
			continue // the body is not replaced below
		}
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			const body = `{"offset":5,"hosts":[]}`
			text, _, _ := strings.Cut(strings.NewReplacer("Content-Length: 4", "Content-Length: 23", "Content-Length: 0", "Content-Length: 23").Replace(a.With("")), "body")
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return text + body, rawserver.Close })
			is.NoErr(err)
			defer s.Close()
			_, err = NewLog("http://"+s.Address(), "stream").Append(t.Context(), []byte("record"))
			is.True(trace.IsConnectionProblem(err))
			_, err = NewHostList("http://" + s.Address()).Fetch(t.Context())
			is.True(trace.IsConnectionProblem(err))
		})
	}
}

// TestResetWhileSending guards against the part of a response without a length that is taken as whole, if the platform resets the connection while a record
// is being written, also if it has ended its side of the connection in order before.
func TestResetWhileSending(t *testing.T) {
	for name, end := range rawserver.LateResets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return "HTTP/1.1 200 OK\r\n\r\n{\"offset\":5}", end })
			is.NoErr(err)
			defer s.Close()
			whole := 0
			for range 25 {
				if _, err := NewLog("http://"+s.Address(), "stream").Append(t.Context(), make([]byte, 8<<20)); err == nil {
					whole++
				}
			}
			is.Equal(whole, 0)
		})
	}
}
