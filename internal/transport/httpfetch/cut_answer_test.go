package httpfetch

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestCutAnswer guards against an answer that ends in its head or body, or that is reset before its connection ends it, and is taken as whole.
func TestCutAnswer(t *testing.T) {
	for _, a := range rawserver.WholeAnswers {
		for _, end := range []rawserver.End{rawserver.Close, rawserver.Reset} {
			t.Run(fmt.Sprintf("%s, reset %t", a.Name, end == rawserver.Reset), func(t *testing.T) {
				is := is.New(t)
				text := a.With("")
				var sent atomic.Int64
				s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return text[:sent.Load()], end })
				is.NoErr(err)
				defer s.Close()
				get := func(n int) error {
					sent.Store(int64(n))
					req, err := http.NewRequestWithContext(t.Context(), a.Method, "http://"+s.Address()+"/", nil)
					is.NoErr(err)
					_, err = Do(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, req, Limits{Idle: time.Second, Bytes: 100})
					return err
				}
				for n := range min(len(text)+1, a.EndAt(text, end == rawserver.Reset)) {
					if err := get(n); !trace.IsConnectionProblem(err) {
						t.Errorf("whole with %d of %d bytes, %v: %q", n, len(text), err, text[:n])
					}
				}
				if err := get(len(text)); end == rawserver.Close { // a reset may overtake what has been sent
					is.NoErr(err)
				}
			})
		}
	}
}
