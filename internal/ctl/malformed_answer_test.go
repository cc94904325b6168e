package ctl

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestMalformedAnswer guards against a change that counts as accepted although the answer to it is none.
func TestMalformedAnswer(t *testing.T) {
	for _, a := range rawserver.MalformedAnswers {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return a.With(""), rawserver.Close })
			is.NoErr(err)
			defer s.Close()
			c := &client{hosts: []string{"http://" + s.Address()}, http: newHTTPClient()}
			_, err = c.call(t.Context(), http.MethodPost, "/", struct{}{}, nil)
			var failed *Error
			is.True(errors.As(err, &failed))
			is.Equal(failed.Code, ExitUnknown)
			_, err = gatewayClient(s.Address()).call(t.Context(), http.MethodGet, "/", nil, nil)
			is.True(errors.As(err, &failed))
			is.Equal(failed.Code, ExitUnavailable)
		})
	}
}

// TestResetWhileSending guards against a change that counts as accepted, although the host has reset the connection while the change was being written, also
// if the host has ended its side of the connection in order before.
func TestResetWhileSending(t *testing.T) {
	for name, end := range rawserver.LateResets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return "HTTP/1.1 200 OK\r\n\r\n{}", end })
			is.NoErr(err)
			defer s.Close()
			for range 5 {
				c := &client{hosts: []string{"http://" + s.Address()}, http: newHTTPClient()}
				_, err = c.call(t.Context(), http.MethodPost, "/", make([]byte, 8<<20), nil)
				var failed *Error
				is.True(errors.As(err, &failed))
				is.Equal(failed.Code, ExitUnknown)
			}
		})
	}
}
