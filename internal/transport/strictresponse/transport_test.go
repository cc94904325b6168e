package strictresponse

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestTransportOverTLS guards against bytes of TLS that are taken for the head of a response.
func TestTransportOverTLS(t *testing.T) {
	is := is.New(t)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "body") }))
	defer s.Close()
	client := &http.Client{Transport: NewTransport(s.Client().Transport.(*http.Transport).Clone())}
	defer client.CloseIdleConnections()
	for range 2 { // the second request on the connection of the first
		resp, err := client.Get(s.URL)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(body), "body")
	}
}

// TestEndOfFileBeforeEndOfRequest guards against the loss of a whole response whose server ends its side of the connection and then reads the request's body,
// and against one that is taken as whole although the request states no length by which its end could be found.
func TestEndOfFileBeforeEndOfRequest(t *testing.T) {
	for _, statesLength := range []bool{true, false} {
		t.Run(fmt.Sprintf("length %t", statesLength), func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
				c.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, c) // until the client closes the connection
			}))
			defer s.Close()
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, io.NopCloser(bytes.NewReader(make([]byte, 32<<20))))
			is.NoErr(err)
			if statesLength {
				req.ContentLength = 32 << 20
			}
			resp, err := client.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), "whole")
			if statesLength {
				is.NoErr(err)
			} else {
				is.True(errors.Is(err, errUnknownLength))
			}
		})
	}
}
