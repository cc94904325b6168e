package test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestMalformedAnswerThroughDaemon guards against a caller of the daemon that gets a status 000 as an answer, also when it repeats a request by its key, or
// the part of an answer to a long upload that the upstream has ended in order before it reset the connection.
func TestMalformedAnswerThroughDaemon(t *testing.T) {
	const uploadBytes = 8 << 20
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answers := map[string]rawserver.Answer{} // by the last element of the path
	for i, a := range rawserver.MalformedAnswers {
		if strings.HasPrefix(a.Name, "status 000") {
			answers[fmt.Sprint("malformed-", i)] = a
		}
	}
	is.True(len(answers) >= 4)
	contractPath, err := writeContract(t.TempDir(), func(lotdesk *contract.Service) {
		lotdesk.MaxBodyBytes = uploadBytes
		lotdesk.Operations = append(lotdesk.Operations, contract.Operation{Name: "upload", Method: http.MethodPut, Path: "/uploads/", Idempotent: true, DeadlineMS: 5000})
	})
	is.NoErr(err)
	d := startRawDaemon(t, ctx, contractPath, func(r *http.Request) (string, rawserver.End) {
		last := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		if a, ok := answers[last]; ok {
			return a.With(rawAnswerFields), rawserver.Close
		}
		switch {
		case last == "reservations":
			return "HTTP/1.1 000 OK\r\n" + rawAnswerFields + "Content-Length: 4\r\n\r\nbody", rawserver.Close
		case strings.HasPrefix(r.URL.Path, "/uploads/"):
			return "HTTP/1.1 200 OK\r\n" + rawAnswerFields + "\r\npart", rawserver.EndThenReset
		}
		return wholeRawAnswer, rawserver.Keep
	})
	// 503: the endpoint is avoided, and has not run the request.
	failed := []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable}
	for path, a := range answers {
		is.NoErr(d.untilReached(ctx, func() {
			status, body, err := send(ctx, http.MethodGet, d.url+"/lots/"+path, "", nil)
			if err != nil || !slices.Contains(failed, status) {
				t.Errorf("%s: status %d, %q, %v", a.Name, status, body, err)
			}
		}))
	}
	for n := range 5 {
		is.NoErr(d.untilReached(ctx, func() {
			status, body, err := send(ctx, http.MethodPut, fmt.Sprintf("%s/uploads/%d", d.url, n), "", make([]byte, uploadBytes))
			if err == nil && !slices.Contains(failed, status) { // after an error, the caller has seen that the answer was cut
				t.Errorf("upload: status %d, %q", status, body)
			}
		}))
	}
	key := ""
	is.NoErr(d.untilReached(ctx, func() {
		key = d.prefix + "." + rand.Text()
		status, body, err := send(ctx, http.MethodPost, d.url+"/reservations", key, nil)
		if err != nil || !slices.Contains(failed, status) {
			t.Errorf("reservation: status %d, %q, %v", status, body, err)
		}
	}))
	reached := d.reached.Load()
	status, _, err := send(ctx, http.MethodPost, d.url+"/reservations", key, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	is.Equal(d.reached.Load(), reached) // a request that may have run is not sent again
}
