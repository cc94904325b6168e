// Package platform is the client of the platform's services: the append-only log and the list of live and leaving hosts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// Record is a record that the log has stored.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // when the log stored it
	Data   []byte    `json:"data"`
}

// Page is the result of a read.
type Page struct {
	First   int64    `json:"first"` // offset of the oldest retained record
	Next    int64    `json:"next"`  // offset that the next append gets
	Records []Record `json:"records"`
}

// maxResponseBytes is the maximum size of a response of the platform after decompression, because a compressed response of 32 KB can
// expand to 32 MB.
const maxResponseBytes = 32 << 20

// Log reads one stream and appends to it.
type Log struct {
	base   string
	stream string
	client *http.Client
	traffic
}

// NewLog returns the client of a stream. base is the URL before the path /v1/streams.
func NewLog(base, stream string) *Log {
	l := &Log{base: base, stream: stream}
	l.client = l.newClient()
	return l
}

// Append appends a record and returns its offset. After an error the record may or may not be stored, unless
// trace.IsBadParameter or trace.IsLimitExceeded reports true for the error: then it is not stored.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	var answer struct {
		Offset int64 `json:"offset"`
	}
	err := l.do(ctx, http.MethodPost, l.url("records", nil), data, &answer)
	return answer.Offset, err
}

// Read returns records from the offset from on. If there are none yet, it waits up to wait for the first one.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	q := url.Values{"from": {fmt.Sprint(from)}, "wait_ms": {fmt.Sprint(wait.Milliseconds())}}
	var p Page
	err := l.do(ctx, http.MethodGet, l.url("records", q), nil, &p)
	return p, err
}

func (l *Log) url(part string, q url.Values) string {
	u := l.base + "/v1/streams/" + url.PathEscape(l.stream) + "/" + part
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	return u
}

func (l *Log) do(ctx context.Context, method, target string, body []byte, out any) error {
	return roundTrip(ctx, l.client, method, target, body, out)
}

func roundTrip(ctx context.Context, client *http.Client, method, target string, body []byte, out any) error {
	_, err := exchange(ctx, client, method, target, http.Header{}, body, func(data []byte) error { return json.Unmarshal(data, out) })
	return err
}

// responseHead is the status and the header of a response.
type responseHead struct {
	status int
	header http.Header
}

// exchange sends a request and calls decode with the JSON body of the response after it was read to its end. If the status is 304 (Not Modified),
// which only a conditional request allows, it does not call decode.
func exchange(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte, decode func([]byte) error) (head responseHead, err error) {
	// NopCloser hides the reader's type, so that net/http cannot rewind the body and resend an append.
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return head, trace.BadParameter("platform address %q is not usable: %v; correct the settings", target, err)
	}
	req.Header = header
	header.Set("User-Agent", "") // omits the header, which would be a tenth of the bytes of a poll that returns nothing new
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	resp, err := client.Do(req)
	if err != nil {
		return head, trace.ConnectionProblem(err, "platform not reached at %s; it is tried again", target)
	}
	defer resp.Body.Close()
	// net/http requests gzip and decompresses the response, so ReadAll fails if the body does not match its length or coding.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return head, trace.ConnectionProblem(err, "platform's answer was cut or is not gzip as it says; it is tried again")
	}
	if len(data) > maxResponseBytes {
		return head, trace.ConnectionProblem(nil, "platform's answer has more than %d bytes; it is tried again", maxResponseBytes)
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return head, trace.LimitExceeded("platform refused for its rate limit; it is tried again later")
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return head, trace.BadParameter("platform refused the request with status %d: %.200s", resp.StatusCode, data)
	case resp.StatusCode == http.StatusNotModified && header.Get("If-None-Match") != "":
		return responseHead{resp.StatusCode, resp.Header}, nil
	case resp.StatusCode != http.StatusOK:
		return head, trace.ConnectionProblem(nil, "platform answered with status %d; it is tried again", resp.StatusCode)
	}
	if err := decode(data); err != nil {
		return head, trace.ConnectionProblem(err, "platform's answer is not valid JSON; it is tried again")
	}
	return responseHead{resp.StatusCode, resp.Header}, nil
}
