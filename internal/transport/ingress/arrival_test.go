package ingress

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unreadHandler passes on the requests that it gets, and answers them at once or, at paths that begin with /hold, when it is released.
type unreadHandler struct {
	got     chan *Request
	release chan struct{}
}

func (h *unreadHandler) MayRunConcurrently(*Request) bool { return false }

func (h *unreadHandler) Serve(_ context.Context, r *Request) *Response {
	h.got <- r
	if r.Path == "/hold" {
		<-h.release
	}
	return &Response{Status: 200}
}

// TestUnreadRequestArrivedEarlier guards against a host that takes the time at which it reads a request for that of its arrival: the request may lie in the buffer
// of its connection, or the connection in the accept queue, while the process has no processor, or other requests of the connection are handled. Only the
// former says that the host is late.
func TestUnreadRequestArrivedEarlier(t *testing.T) {
	const held = 300 * time.Millisecond
	const resolution = 25 * time.Millisecond // of the kernel's clock, and the time that a test needs to send
	check := func(t *testing.T, r *Request, sent time.Time, late bool) {
		t.Helper()
		is := is.New(t)
		is.True(!r.ArrivedAt().Before(sent))
		is.True(r.ArrivedAt().Sub(sent) <= resolution)
		is.True(r.Unread >= held-resolution)
		if late {
			is.Equal(r.ReadLate, r.Unread)
		} else {
			is.True(r.ReadLate < resolution)
		}
	}
	t.Run("reader", func(t *testing.T) {
		h := &unreadHandler{got: make(chan *Request, 8)}
		_, starved, dial := starvedServer(t, Config{Handler: h, MaxConnections: 8})
		c := dial()
		send(t, c, get("/1"))
		is.New(t).True((<-h.got).Unread < resolution)
		starved.delay.Store(int64(held + resolution))
		send(t, c, get("/2")) // is read at once
		<-h.got
		time.Sleep(resolution) // until the reader is held back
		sent := time.Now()
		send(t, c, get("/3"))
		check(t, <-h.got, sent, true)
	})
	t.Run("accept queue", func(t *testing.T) {
		h := &unreadHandler{got: make(chan *Request, 8)}
		s, starved, dial := starvedServer(t, Config{Handler: h, MaxConnections: 8})
		starved.accept.Store(true)
		withRequest(t, dial(), "/1") // Serve accepts
		<-h.got
		go s.Close(context.Background())
		<-starved.woken
		sent := time.Now()
		withRequest(t, dial(), "/2")
		time.Sleep(held)
		close(starved.release)
		check(t, <-h.got, sent, true)
	})
	for _, together := range []bool{true, false} {
		t.Run(fmt.Sprint("behind others, together: ", together), func(t *testing.T) {
			h := &unreadHandler{got: make(chan *Request, 8), release: make(chan struct{})}
			_, _, dial := starvedServer(t, Config{Handler: h, MaxConnections: 8})
			c := dial()
			sent := time.Now()
			if together {
				send(t, c, get("/hold")+get("/2")+get("/3"))
			} else {
				for _, path := range []string{"/hold", "/2", "/3"} {
					send(t, c, get(path))
					time.Sleep(time.Millisecond)
				}
			}
			<-h.got
			time.Sleep(held)
			close(h.release)
			second := <-h.got
			is.New(t).True(second.Unread < resolution)
			check(t, <-h.got, sent, false)
		})
	}
}

// TestLaterBytesHideNoTime guards against a request that seems to have arrived earlier than it did, and is refused although its caller waits: bytes that are read
// together with the end of an earlier body, or while the request before is handled, have arrived later than the earlier ones.
func TestLaterBytesHideNoTime(t *testing.T) {
	is := is.New(t)
	h := &unreadHandler{got: make(chan *Request, 8), release: make(chan struct{})}
	_, _, dial := starvedServer(t, Config{Handler: h, MaxConnections: 8})
	c := dial()
	send(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(100 * time.Millisecond)
	sent := time.Now()
	send(t, c, "b"+get("/hold"))
	<-h.got
	held := <-h.got
	is.True(!held.ArrivedAt().Before(sent))
	send(t, c, get("/3"))
	time.Sleep(100 * time.Millisecond)
	sent = time.Now()
	send(t, c, get("/4")) // is read by the goroutine that watches the connection, or after the third
	time.Sleep(20 * time.Millisecond)
	close(h.release)
	<-h.got
	is.True(!(<-h.got).ArrivedAt().Before(sent))
}
