package upstreamconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMemoryOfUnfinishedHeads guards against a host that runs out of memory while the heads of many responses arrive and do not end: each is within the
// limit on a head, and all together are not. Other requests must be answered meanwhile, and all of them once the heads are given up.
func TestMemoryOfUnfinishedHeads(t *testing.T) {
	const requests, headBytes, limit, perRequest = 200, 60 << 10, 1 << 20, 40 << 10
	fields := func(name func(i int) string) (s string) {
		for i := range 250 {
			s += fmt.Sprintf("%s: %s\r\n", name(i), strings.Repeat("x", headBytes/250))
		}
		return s
	}
	for name, start := range map[string]string{
		"status line": "HTTP/1.1 200 " + strings.Repeat("O", headBytes),
		"one field":   okHead + "X: " + strings.Repeat("x", headBytes),
		"fields":      okHead + fields(func(int) string { return "X" }),
		"names":       okHead + fields(func(i int) string { return fmt.Sprint("X", i) }),
		"interim":     strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 700)+"\r\n\r\n", headBytes/732),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
				if r.Method == http.MethodPut {
					_, err := io.WriteString(c, okHead+"X: "+strings.Repeat("x", 4<<10)+"\r\nContent-Length: 2\r\n\r\nok")
					is.NoErr(err)
					return true
				}
				_, _ = io.WriteString(c, start) // fails if the host has given it up
				_, _ = c.Read(make([]byte, 1))  // until the host closes the connection
				return false
			})
			cfg := DefaultConfig()
			cfg.MaxUnfinishedHeads = limit
			p := NewPool(cfg)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			before := heapBytes()
			var ended sync.WaitGroup
			for i := range requests {
				ended.Go(func() {
					resp, err := p.Send(ctx, u.endpoint, call(fmt.Sprint("r", i), "GET", nil))
					is.True(err != nil)
					is.Equal(resp, nil)
				})
			}
			for begin := time.Now(); p.unfinishedHeads.Load() < limit/2; time.Sleep(time.Millisecond) {
				is.True(time.Since(begin) < 10*time.Second)
			}
			time.Sleep(200 * time.Millisecond) // further ones arrive
			used := heapBytes() - before
			t.Logf("%d KiB for %d requests", used>>10, requests)
			is.True(used < 2*limit+requests*perRequest)
			_, text, err := exchange(t.Context(), p, u.endpoint, call("other", "PUT", nil))
			is.NoErr(err)
			is.Equal(text, "ok")
			cancel()
			ended.Wait()
			for begin := time.Now(); p.unfinishedHeads.Load() > 0; time.Sleep(time.Millisecond) {
				is.True(time.Since(begin) < 10*time.Second)
			}
		})
	}
}
