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
