package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/client"
)

func ExampleClient() {
	entryHost := exampleHost() // in production: the caller ports of some entry hosts
	defer entryHost.Close()
	c, err := client.New(client.Config{Hosts: []string{strings.TrimPrefix(entryHost.URL, "http://")}, Customer: "trentvale", Secret: "demo"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	resp, err := c.Do(context.Background(), &client.Request{Service: "lotdesk", Method: http.MethodPost, Path: "/reservations",
		Body: []byte(`{"lot":17}`), Timeout: 2 * time.Second})
	var failed *client.Error
	switch {
	case errors.As(err, &failed) && failed.Ran == client.RanUnknown:
		fmt.Println("look up the reservation before making another one")
	case err != nil:
		fmt.Println("not reserved:", err)
	default:
		fmt.Println(resp.Status, string(resp.Body))
	}
	// Output: 200 reserved
}

func exampleHost() *httptest.Server {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			fmt.Fprintf(w, `{"lifetime_ms":5000,"addresses":[{"host":"tamworth-1","address":%q,"key_prefix":"tamworth-1-0123456789abcdef.1"}]}`, s.Listener.Addr())
			return
		}
		fmt.Fprint(w, "reserved")
	}))
	return s
}
