package strictresponse

import (
	"io"
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
