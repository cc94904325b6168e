package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// writeUploadContract writes the contract of Trentvale with an idempotent operation for long bodies.
func writeUploadContract(t *testing.T, bodyBytes int64) (path string) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("../examples/trentvale.json")
	is.NoErr(err)
	doc, err := contract.Decode(text)
	is.NoErr(err)
	lotdesk := doc.Service("lotdesk")
	lotdesk.MaxBodyBytes = bodyBytes
	lotdesk.Operations = append(lotdesk.Operations, contract.Operation{Name: "upload", Method: http.MethodPut, Path: "/uploads/", Idempotent: true, DeadlineMS: 5000})
	path, err = testbed.WriteJSON(t.TempDir(), "contract.json", doc)
	is.NoErr(err)
	return path
}

// send sends a request with a body, and with a key if key is not empty.
func (d *rawDaemon) send(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, d.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer trentvale."+testbed.CustomerSecret)
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

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
	d := startRawDaemon(t, ctx, writeUploadContract(t, uploadBytes), func(r *http.Request) (string, rawserver.End) {
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
	check := func(name string, resp *http.Response, err error, allowed ...int) {
		t.Helper()
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		for _, status := range allowed {
			if resp.StatusCode == status {
				return
			}
		}
		t.Errorf("%s: status %d, header %v", name, resp.StatusCode, resp.Header)
	}
	// An endpoint that is avoided has not run the request: 503.
	for path, a := range answers {
		is.NoErr(d.untilReached(ctx, func() {
			resp, err := d.send(ctx, http.MethodGet, "/lots/"+path, "", nil)
			check(a.Name, resp, err, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
		}))
	}
	for n := range 5 {
		is.NoErr(d.untilReached(ctx, func() {
			resp, err := d.send(ctx, http.MethodPut, fmt.Sprintf("/uploads/%d", n), "", make([]byte, uploadBytes))
			if err == nil { // otherwise the caller has seen that the answer was cut
				check("upload", resp, err, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
			}
		}))
	}
	key := ""
	is.NoErr(d.untilReached(ctx, func() {
		key = fmt.Sprintf("%s.%032d", d.prefix, time.Now().UnixNano())
		resp, err := d.send(ctx, http.MethodPost, "/reservations", key, nil)
		check("reservation", resp, err, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
	}))
	reached := d.reached.Load()
	resp, err := d.send(ctx, http.MethodPost, "/reservations", key, nil)
	check("repeat", resp, err, http.StatusConflict)
	is.Equal(d.reached.Load(), reached) // a request that may have run is not sent again
}
