package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// streamHandler answers each request with a stream.
type streamHandler struct {
	stream io.Reader
	length int64
}

func (h *streamHandler) MayRunConcurrently(*Request) bool { return true }

func (h *streamHandler) Serve(context.Context, *Request) *Response {
	return &Response{Status: http.StatusOK, Length: h.length, Stream: io.NopCloser(h.stream)}
}

// slowReader returns its bytes in halves, with a pause before the second one.
type slowReader struct {
	halves [][]byte
	pause  time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.halves) == 0 {
		return 0, io.EOF
	}
	if len(r.halves) == 1 {
		time.Sleep(r.pause)
	}
	n := copy(p, r.halves[0])
	r.halves = r.halves[1:]
	return n, nil
}

// TestLongResponse guards against responses that are cut after a fixed time, although the caller reads them: because its link is slow, or the
// endpoint pauses.
func TestLongResponse(t *testing.T) {
	large := bytes.Repeat([]byte{'x'}, 20<<20)
	for name, h := range map[string]*streamHandler{
		"slow link":      {stream: bytes.NewReader(large), length: int64(len(large))},
		"pausing stream": {stream: &slowReader{halves: [][]byte{[]byte("one"), []byte("two")}, pause: 2 * writeTimeout}, length: 6},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := faketime.NewLink(10e6 / 8)
				server := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 1, Memory: bodyMemory(1)})
				go func() { _ = server.Serve(link) }() // returns when the link is closed
				defer link.Close()
				conn, err := link.DialContext(t.Context(), "", "")
				is.NoErr(err)
				defer conn.Close()
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				n, err := io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.Equal(n, h.length)
			})
		})
	}
}

// TestUnreadResponse guards against a connection that stays open while its caller does not read the response.
func TestUnreadResponse(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := faketime.NewLink(10e6 / 8)
		server := New(Config{Handler: &streamHandler{stream: bytes.NewReader(make([]byte, 1<<20)), length: 1 << 20},
			Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 1, Memory: bodyMemory(1)})
		go func() { _ = server.Serve(link) }() // returns when the link is closed
		defer link.Close()
		conn, err := link.DialContext(t.Context(), "", "")
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		time.Sleep(2 * writeTimeout)
		is.Equal(server.Connections(), 0)
	})
}

// echoHandler answers each request with the length of its body.
type echoHandler struct{}

func (echoHandler) MayRunConcurrently(*Request) bool { return true }

func (echoHandler) Serve(_ context.Context, r *Request) *Response {
	return &Response{Status: http.StatusOK, Length: -1, Body: []byte(strconv.Itoa(len(r.Body)))}
}

// TestLongRequestBody guards against request bodies that are refused after a fixed time, although they arrive over a slow link, and against
// connections that wait for a body that does not arrive.
func TestLongRequestBody(t *testing.T) {
	const size = 30 << 20
	for name, c := range map[string]struct {
		header string
		sent   int
		status int
	}{
		"length":     {header: "Content-Length: " + strconv.Itoa(size), sent: size, status: http.StatusOK},
		"chunked":    {header: "Transfer-Encoding: chunked", sent: size, status: http.StatusOK},
		"incomplete": {header: "Content-Length: " + strconv.Itoa(size), sent: size / 2, status: http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := faketime.NewLink(10e6 / 8)
				limits := routing.DefaultLimits
				server := New(Config{Handler: echoHandler{}, Limits: func() routing.Limits { return limits }, MaxConnections: 1, Memory: bodyMemory(limits.MaxBodyBytes)})
				go func() { _ = server.Serve(link) }() // returns when the link is closed
				defer link.Close()
				conn, err := link.DialContext(t.Context(), "", "")
				is.NoErr(err)
				defer conn.Close()
				go func() { // a write fails if the server has closed the connection
					io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+c.header+"\r\n\r\n")
					if name == "chunked" {
						w := httputil.NewChunkedWriter(conn)
						for range c.sent >> 20 {
							w.Write(make([]byte, 1<<20))
						}
						w.Close()
						io.WriteString(conn, "\r\n")
						return
					}
					conn.Write(make([]byte, c.sent))
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				if c.status == http.StatusOK {
					is.Equal(string(body), strconv.Itoa(size))
				}
			})
		})
	}
}

// TestPausingStreamIsNotHeldBack guards against a caller that gets what an endpoint has sent only once the endpoint sends more.
func TestPausingStreamIsNotHeldBack(t *testing.T) {
	for _, length := range []int64{6, -1} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := &streamHandler{stream: &slowReader{halves: [][]byte{[]byte("one"), []byte("two")}, pause: time.Minute}, length: length}
			link := faketime.NewLink(10e6)
			server := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 1, Memory: bodyMemory(1)})
			go func() { _ = server.Serve(link) }() // returns when the link is closed
			defer link.Close()
			conn, err := link.DialContext(t.Context(), "", "")
			is.NoErr(err)
			defer conn.Close()
			begin := time.Now()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			half := make([]byte, 3)
			_, err = io.ReadFull(resp.Body, half)
			is.NoErr(err)
			is.Equal(string(half), "one")
			is.True(time.Since(begin) < time.Second)
			rest, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(rest), "two")
		})
	}
}

// headHandler answers each request with a length and without a body, as an endpoint answers HEAD.
type headHandler struct{ length int64 }

func (h headHandler) MayRunConcurrently(*Request) bool { return true }

func (h headHandler) Serve(context.Context, *Request) *Response {
	return &Response{Status: http.StatusOK, Length: h.length}
}

// TestHeadStatesLength guards against responses to HEAD that state another length than the endpoint did.
func TestHeadStatesLength(t *testing.T) {
	for length, want := range map[int64]int64{1234: 1234, 0: 0, -1: -1} {
		is := is.New(t)
		_, dial := serve(t, headHandler{length}, routing.DefaultLimits)
		c := dial()
		send(t, c, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodHead})
		is.NoErr(err)
		is.Equal(resp.ContentLength, want)
	}
}

// TestBodyTimeoutBeginsWithContinue guards against a body that is refused as late while its caller waits for the server's 100 Continue.
func TestBodyTimeoutBeginsWithContinue(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &recordingHandler{ran: map[string]bool{}, delay: func() time.Duration { return bodyTimeout + 5*time.Second }}
		network := newMemNetwork(time.Millisecond)
		s := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 1, Memory: bodyMemory(100)})
		go func() { _ = s.Serve(network) }() // returns when Close has closed the listener
		c := network.dial()
		br := bufio.NewReader(c)
		send(t, c, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n")
		_, body := answer(t, br)
		is.Equal(body, "/1")
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusContinue)
		time.Sleep(bodyTimeout - time.Second)
		send(t, c, strings.Repeat("x", 100))
		_, body = answer(t, br)
		is.Equal(body, "/2")
		c.Close()
		s.Close(context.Background())
	})
}
