package soak

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// sendTimeout is the time after which a caller closes a connection on which it cannot send.
const sendTimeout = 2 * time.Second

// connection is a connection of a caller to a host.
type connection struct {
	net.Conn
	caller *caller
	host   *host
	number int64 // of all connections of the run
	br     *bufio.Reader
}

// exchange sends a batch of pipelined requests and reads the responses. It reports whether the connection can be used again.
func (c *connection) exchange(batch []*request) bool {
	rng := c.caller.rng
	var out bytes.Buffer
	for i, r := range batch {
		r.sent, r.ahead = time.Now(), i
		c.encode(&out, r)
	}
	leaves := rng.Float64() < cancelShare
	if leaves {
		after := time.Duration(rng.IntN(40)) * time.Millisecond
		defer time.AfterFunc(after, func() { c.Close() }).Stop()
	}
	writeErr := c.send(out.Bytes())
	usable := true
	for i, r := range batch {
		r.unsent = writeErr != nil
		if usable {
			usable = c.receive(r)
		} else {
			c.giveUp(r, batch[i-1])
		}
		if leaves && r.outcome != answered {
			r.outcome = cancelled
		}
		c.caller.soak.requests.add(r)
	}
	if extra := c.br.Buffered(); usable && extra > 0 {
		peek, _ := c.br.Peek(min(extra, 60))
		c.caller.soak.ledger.Check(ownResponses, false, "%s sent %d extra bytes after the response to %s: %q", c.host.name, extra, batch[len(batch)-1].id, peek)
	}
	return usable
}

// send writes requests.
func (c *connection) send(requests []byte) error {
	c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := c.Write(requests)
	return err
}

// receive reads the response to the oldest unanswered request and records how the request ended. It reports whether the connection can be
// used again.
func (c *connection) receive(r *request) bool {
	c.SetReadDeadline(r.sent.Add(r.deadline + extraResponseWait))
	usable := c.read(r)
	r.ended = time.Now()
	r.unread = r.unsent && r.outcome != answered
	return usable
}

// giveUp records how a request ended that was sent after another one on a connection that cannot be used any more.
func (c *connection) giveUp(r, previous *request) {
	r.ended, r.failure = time.Now(), previous.failure
	r.unread = r.unsent || previous.outcome == answered || previous.unread
	r.outcome = connClosed
	if previous.outcome == timedOut || previous.outcome == cancelled {
		r.outcome = cancelled // the caller closes the connection
	}
}

// encode writes a request. A body is sent with a Content-Length or chunked.
func (c *connection) encode(out *bytes.Buffer, r *request) {
	var body []byte
	if !r.idempotent {
		r.method = http.MethodPost
		body = bytes.Repeat([]byte{byte('a' + c.caller.rng.IntN(26))}, c.caller.rng.IntN(200))
		if c.caller.rng.IntN(50) == 0 {
			body = bytes.Repeat(body, maxBodyBytes/200)
		}
	}
	if crashes(r.target) && len(body) > 0 {
		body = []byte(crashPrefix) // the same in all its attempts
	}
	sum := sha256.Sum256(body)
	r.digest = hex.EncodeToString(sum[:])
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.target, virtualHost,
		platformtest.HeaderRequestID, r.id, platformtest.HeaderDeadlineMS, r.deadline.Milliseconds())
	switch {
	case len(body) > 0 && c.caller.rng.IntN(4) == 0:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for chunk := range slices.Chunk(body, 97) {
			fmt.Fprintf(out, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		out.WriteString("0\r\n\r\n")
	case r.method == http.MethodPost:
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		out.WriteString("\r\n")
	}
}

// read reads one response and checks that it is complete and belongs to the request. It reports whether the connection can be used again.
func (c *connection) read(r *request) bool {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		r.outcome, r.failure = failedOutcome(err), err.Error()
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.outcome, r.failure = failedOutcome(err), err.Error()
		return false
	}
	r.outcome, r.status = answered, resp.StatusCode
	r.signed, r.signer = platformtest.Signed(resp.Header), platformtest.Signer(resp.Header)
	whole := !r.signed && r.status >= http.StatusMultipleChoices ||
		r.signed && platformtest.IsAnswer(resp.Header, r.status, string(data), platformtest.Arrival{ID: r.id, Method: r.method, Target: r.target, Body: r.digest})
	c.caller.soak.ledger.Check(ownResponses, whole, "%s of %s got a response that is truncated or not its own: status %d, body of %d bytes: %.80q", r.id, r.host.name, r.status, len(data), data)
	if !r.signed && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable) {
		_, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		c.caller.soak.ledger.Check(retryAfterGiven, err == nil, "%s of %s was refused with status %d without a valid Retry-After", r.id, r.host.name, r.status)
	}
	return !resp.Close && whole
}

// failedOutcome returns how a request ended if reading its response failed with err.
func failedOutcome(err error) string {
	if isTimeout(err) {
		return timedOut
	}
	return connClosed
}

func isTimeout(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}
