// Package ctl implements arbutusctl, the command-line tool for operators.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

// Exit codes. Scripts may branch on them.
const (
	ExitOK           = 0
	ExitFailed       = 1 // any other error
	ExitUsage        = 2 // wrong arguments or an invalid document; nothing was sent or changed
	ExitConflict     = 3 // the change conflicts with one that was accepted earlier
	ExitUnknown      = 4 // the outcome is not known; repeating with the same op id is safe
	ExitNotFound     = 5
	ExitUnauthorized = 6
	ExitUnavailable  = 7 // no host was reached, or the host cannot answer now; nothing was changed
	ExitDiffer       = 8 // hosts that should agree differ, or some did not respond
)

// Error is an error with an exit code.
type Error struct {
	Code    int
	Message string
}

func (e *Error) Error() string { return e.Message }

func usageError(format string, args ...any) error {
	return &Error{Code: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

// client sends requests to the operator port of the first reachable entry host.
type client struct {
	hosts []string // base URLs, in order of preference
	token string
	http  *http.Client
}

// newHTTPClient returns a client that accepts only what HTTP/1.1 allows as a response.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: strictresponse.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// maxResponseBytes limits how much of a host's response is read.
const maxResponseBytes = 64 << 20

// get fetches a JSON document and decodes it.
func (c *client) get(ctx context.Context, path string, into any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, into)
	return err
}

// call sends a request to the first reachable host. The next host is tried only if no connection was made or a GET got no
// response, so no other request is ever sent twice.
func (c *client) call(ctx context.Context, method, path string, in, into any) (int, error) {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = data
	}
	var last error
	for _, host := range c.hosts {
		status, err := c.callHost(ctx, host, method, path, body, into)
		var notReached *notReachedError
		if !errors.As(err, &notReached) {
			return status, err
		}
		last = err
	}
	return 0, &Error{Code: ExitUnavailable, Message: fmt.Sprintf("no host was reached: %v; check --host", last)}
}

// notReachedError means that the request may be sent to another host: no connection was made, or a GET got no response.
type notReachedError struct{ err error }

func (e *notReachedError) Error() string { return e.err.Error() }

func (c *client) callHost(ctx context.Context, host, method, path string, body []byte, into any) (int, error) {
	// NopCloser hides the reader's type, so that net/http cannot rewind the body and send the request twice.
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(host, "/")+path, reader)
	if err != nil {
		return 0, usageError("host %q is not a usable URL: %v; use http://ADDRESS:PORT", host, err)
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		if isDialError(err) || (method == http.MethodGet && ctx.Err() == nil) {
			return 0, &notReachedError{err}
		}
		return 0, &Error{Code: ExitUnknown, Message: fmt.Sprintf("%s did not respond: %v; the request may have taken effect", host, err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, &Error{Code: ExitUnknown, Message: fmt.Sprintf("the response of %s was incomplete: %v", host, err)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resp.StatusCode, responseError(resp.StatusCode, data)
	}
	if into == nil {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return resp.StatusCode, fmt.Errorf("the response of %s is not valid JSON: %w; run the same version of arbutusctl and arbutusspan", host, err)
	}
	return resp.StatusCode, nil
}

// responseError converts an error response into an error with an exit code.
func responseError(status int, data []byte) error {
	var doc admin.ErrorDocument
	message := fmt.Sprintf("status %d", status)
	if json.Unmarshal(data, &doc) == nil && doc.Error != "" {
		message = doc.Error
	}
	return &Error{Code: exitCode(status), Message: message}
}

func exitCode(status int) int {
	switch status {
	case http.StatusBadRequest:
		return ExitUsage
	case http.StatusUnauthorized, http.StatusForbidden:
		return ExitUnauthorized
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ExitConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ExitUnavailable
	case http.StatusGatewayTimeout:
		return ExitUnknown
	}
	return ExitFailed
}
