package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// connectionClose is the header field of a response after which the connection closes.
const connectionClose = "Connection: close\r\n"

// statedIdleFraction is the fraction of the idle timeout that responses state. The rest is for the way of a response and of the next request: one that crosses
// the close of its connection is not answered.
const statedIdleFraction = 0.8

// keepAlive returns the header field by which a response states for how long its connection may be idle, or "" if that is less than a second.
func keepAlive(idleTimeout time.Duration) string {
	seconds := int64(idleTimeout.Seconds() * statedIdleFraction)
	if seconds < 1 {
		return ""
	}
	return "Keep-Alive: timeout=" + strconv.FormatInt(seconds, 10) + "\r\n"
}

// writeResponse writes one response. connection is the header field that says how long its connection stays open. After an error the connection must be
// closed.
func writeResponse(bw *bufio.Writer, r *Request, resp *Response, connection string) error {
	head := r != nil && r.Method == http.MethodHead
	length := resp.Length
	switch {
	case resp.Stream != nil:
		defer resp.Stream.Close()
	case !head || len(resp.Body) > 0:
		length = int64(len(resp.Body))
	}
	bodyless := resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	fmt.Fprintf(bw, "HTTP/1.1 %03d %s\r\n", resp.Status, http.StatusText(resp.Status))
	if err := resp.Header.Write(bw); err != nil {
		return err
	}
	if resp.Header.Get("Date") == "" {
		fmt.Fprintf(bw, "Date: %s\r\n", time.Now().UTC().Format(http.TimeFormat))
	}
	switch {
	case bodyless:
	case length >= 0:
		bw.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	default:
		bw.WriteString("Transfer-Encoding: chunked\r\n")
	}
	bw.WriteString(connection)
	bw.WriteString("\r\n")
	if bodyless || head {
		return bw.Flush()
	}
	if resp.Stream == nil {
		bw.Write(resp.Body) // bufio.Writer keeps an error and returns it from Flush
		return bw.Flush()
	}
	return copyStream(bw, resp.Stream, length)
}

// flushWriter flushes after each write, so that a stream that pauses reaches its caller up to the pause.
type flushWriter struct {
	io.Writer
	buffered *bufio.Writer
}

// Write implements io.Writer.
func (w flushWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	if err != nil {
		return n, err
	}
	return n, w.buffered.Flush()
}

// copyStream writes a body of the given length, or a chunked body if length is negative. It fails if the body has another length.
func copyStream(bw *bufio.Writer, body io.Reader, length int64) error {
	w := flushWriter{bw, bw}
	var chunked io.WriteCloser
	if length < 0 {
		chunked = httputil.NewChunkedWriter(bw)
		w.Writer = chunked
	}
	sent, err := io.Copy(w, body)
	if err != nil {
		return err
	}
	if length >= 0 && sent != length {
		return io.ErrUnexpectedEOF
	}
	if chunked != nil {
		if err := chunked.Close(); err != nil {
			return err
		}
		bw.WriteString("\r\n")
	}
	return bw.Flush()
}
