package soak

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPipeline guards against callers of pipelines that wait for a response before they send the next request, send more requests than
// their depth allows, or go on after a response that closes the connection.
func TestPipeline(t *testing.T) {
	const depth = 3
	is := is.New(t)
	s := recorded(io.Discard)
	s.stops.Add(1)
	recordedBefore := len(s.requests.list)
	callerSide, hostSide := net.Pipe()
	conn := &connection{Conn: callerSide, caller: &caller{soak: s, kind: pipelines, rng: rand.New(rand.NewPCG(1, 1))}, host: s.hosts[0], br: bufio.NewReader(callerSide)}
	received := make(chan int)
	go func() {
		defer hostSide.Close()
		br := bufio.NewReader(hostSide)
		for range depth {
			if _, err := http.ReadRequest(br); err != nil {
				received <- -1
				return
			}
		}
		hostSide.SetReadDeadline(time.Now().Add(20 * maxInterval))
		if _, err := br.Peek(1); !isTimeout(err) {
			received <- depth + 1
			return
		}
		hostSide.SetReadDeadline(time.Time{})
		io.WriteString(hostSide, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		if _, err := http.ReadRequest(br); err != nil {
			received <- -1
			return
		}
		io.WriteString(hostSide, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		n := depth + 1
		for _, err := http.ReadRequest(br); err == nil; _, err = http.ReadRequest(br) {
			n++
		}
		received <- n
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn.caller.sendPipelineOf(t.Context(), conn, depth)
		conn.Close()
	}()
	is.True(<-received <= depth+2) // the last one may be under way when the response is read
	<-done
	list := s.requests.list[recordedBefore:]
	is.Equal(list[0].outcome, answered)
	is.Equal(list[1].outcome, answered)
	for i, r := range list {
		is.True(r.idempotent)
		is.Equal(r.ahead, min(i, depth-1))
		if i > 1 {
			is.Equal(r.outcome, connClosed)
			is.True(r.unread)
		}
	}
}
