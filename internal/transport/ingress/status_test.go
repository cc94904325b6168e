package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// statusHandler answers each request with a status and counts the streams that are closed.
type statusHandler struct {
	status int
	stream bool
	closed chan struct{}
}

func (h *statusHandler) MayRunConcurrently(*Request) bool { return false }

func (h *statusHandler) Serve(context.Context, *Request) *Response {
	resp := &Response{Status: h.status, Header: http.Header{"X-Handler": {"s"}}, Body: []byte("body")}
	if h.stream {
		resp.Body, resp.Length = nil, 4
		resp.Stream = struct {
			io.Reader
			io.Closer
		}{strings.NewReader("body"), h}
	}
	return resp
}

// Close implements io.Closer for the stream of a response.
func (h *statusHandler) Close() error {
	h.closed <- struct{}{}
	return nil
}

// TestResponseWithoutStatus guards against a response that was given no status, or none that HTTP/1.1 has for a response: it would be written as
// "HTTP/1.1 000", or as an interim response that no final one follows.
func TestResponseWithoutStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 7, 99, 100, 101, 199, 600, 999, 1000, 200, 599} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, stream %t", status, stream), func(t *testing.T) {
				is := is.New(t)
				h := &statusHandler{status: status, stream: stream, closed: make(chan struct{}, 1)}
				undelivered := make(chan error, 1)
				_, dial := serve(t, h, routing.DefaultLimits, func(cfg *Config) {
					cfg.OnUndelivered = func(_ *Request, resp *Response, cause error) {
						is.Equal(resp.Status, status)
						undelivered <- cause
					}
				})
				c := dial()
				send(t, c, get("/"))
				resp, body := answer(t, bufio.NewReader(c))
				if stream {
					<-h.closed
				}
				if status == 200 || status == 599 {
					is.Equal(resp.StatusCode, status)
					is.Equal(body, "body")
					is.True(!resp.Close)
					return
				}
				is.Equal(resp.StatusCode, http.StatusInternalServerError)
				is.Equal(body, "")
				is.Equal(resp.Header.Get("X-Handler"), "")
				is.True(resp.Close)
				is.Equal(<-undelivered, ErrStatus)
			})
		}
	}
}
