package upstreamconn

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// sendRaw sends a request to an upstream that responds with the text of an answer. heads is the number of responses that the pool has reported.
func sendRaw(t *testing.T, a rawserver.Answer, c *executor.Call) (heads int, body string, err error) {
	t.Helper()
	s, err := rawserver.New(func(_ int, r *http.Request) (string, rawserver.End) {
		return a.With(requestIDField + ": " + r.Header.Get(requestIDField) + "\r\n"), rawserver.Close
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	cfg := DefaultConfig()
	cfg.Dialect.RequestID, cfg.Dialect.EchoesID = requestIDField, true
	cfg.OnResponse = func(endpoints.Endpoint, *executor.Response) { heads++ }
	_, body, err = exchange(t.Context(), NewPool(cfg), endpoints.Endpoint{ID: endpoints.ID{Address: s.Address(), Incarnation: "e@1"}}, c)
	return heads, body, err
}

// TestMalformedAnswer guards against bytes that are no HTTP/1.1 response and are taken for the upstream's response, and against a promise that the request
// has not run.
func TestMalformedAnswer(t *testing.T) {
	for _, a := range rawserver.MalformedAnswers {
		t.Run(a.Name, func(t *testing.T) {
			heads, body, err := sendRaw(t, a, call("r1", a.Method, nil))
			if err == nil || heads > 0 || !written(err) {
				t.Errorf("%d heads, body %q, %v", heads, body, err)
			}
		})
	}
}

// TestMalformedHealthAnswer guards against the load or health of an endpoint that is taken from such bytes.
func TestMalformedHealthAnswer(t *testing.T) {
	for _, a := range rawserver.MalformedAnswers {
		t.Run(a.Name, func(t *testing.T) {
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return a.With(""), rawserver.Close })
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			e := endpoints.Endpoint{ID: endpoints.ID{Address: s.Address(), Incarnation: "e@1"}}
			p := NewPool(DefaultConfig())
			if _, err := p.ProbeLoad(t.Context(), e, probePath); err == nil {
				t.Error("a load")
			}
			if _, err := p.Probe(t.Context(), e); err == nil {
				t.Error("healthy")
			}
		})
	}
}

// TestUnusualAnswer guards against the loss of responses that HTTP/1.1 allows.
func TestUnusualAnswer(t *testing.T) {
	for _, a := range rawserver.UnusualAnswers {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			_, body, err := sendRaw(t, a, call("r1", a.Method, nil))
			is.NoErr(err)
			is.Equal(body, "body")
		})
	}
}
