package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// memoryInUse returns the memory of the heap and the stacks after a garbage collection, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// residentBytes returns the resident memory of this process.
func residentBytes(t testing.TB) int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		t.Skip("needs /proc: ", err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}

// bodyMemory returns a budget that limits only the memory for the small and for the large request bodies.
func bodyMemory(n int64) *membudget.Budget {
	return membudget.New(membudget.Limits{SmallBodies: n, LargeBodies: n})
}

// bodyBytes returns the memory that is reserved for request bodies.
func bodyBytes(s *Server) int64 {
	return s.memory.Used(membudget.SmallBodies) + s.memory.Used(membudget.LargeBodies)
}

// memoryServer starts a server with a budget and the least values of the limits that deployments use.
func memoryServer(t *testing.T, h Handler, cfg Config) (*Server, func() net.Conn) {
	t.Helper()
	limits := routing.DefaultLimits
	cfg.Handler, cfg.Limits = h, func() routing.Limits { return limits }
	cfg.OnPanic = func(_ *Request, value any, _ []byte) { t.Error(value) }
	s := New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go s.Serve(l)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Close(ctx)
	})
	return s, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// heldHandler answers requests for /held when release is closed, and others at once with a body of size bytes.
type heldHandler struct {
	release chan struct{}
	size    int
}

func (h *heldHandler) MayRunConcurrently(*Request) bool { return true }

func (h *heldHandler) Serve(ctx context.Context, r *Request) *Response {
	if r.Path == "/held" {
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, h.size)}
}

// manyFields returns a request of the largest legal size that consists of very short fields.
func manyFields(path string) string {
	head := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	var b strings.Builder
	b.WriteString(head)
	for n := 0; b.Len() < int(routing.DefaultLimits.MaxHeaderBytes)-16; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String() + "\r\n"
}

// TestMemoryPerClient guards against connections and heads that take more memory than the budget counts for them.
func TestMemoryPerClient(t *testing.T) {
	const conns = 200
	for _, c := range []struct {
		name, send string
		most       func(s *Server) int64 // bytes that the budget counts for a connection
	}{
		{"idle", "", func(*Server) int64 { return ConnectionBytes }},
		{"idle after a request", get("/"), func(*Server) int64 { return ConnectionBytes }},
		{"slow head", get("/")[:20], func(*Server) int64 { return ConnectionBytes }},
		{"slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65535), func(s *Server) int64 {
			return ConnectionBytes + s.memory.Used(membudget.SmallBodies)/conns
		}},
		{"slow large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("x", 65535), func(*Server) int64 { return ConnectionBytes }},
		{"held request", get("/held"), func(*Server) int64 { return ConnectionBytes + freeHeadBytes }},
		{"many fields", manyFields("/held"), func(s *Server) int64 { return ConnectionBytes + s.memory.Used(membudget.Heads)/conns }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &heldHandler{release: make(chan struct{}), size: 10}
			defer close(h.release)
			s, dial := memoryServer(t, h, Config{MaxConnections: 2 * conns, Memory: bodyMemory(1 << 30)})
			s.heavyHeads.SetLimit(1e9)
			before := memoryInUse()
			var clients []net.Conn
			for range conns {
				nc := dial()
				_, err := io.WriteString(nc, c.send)
				is.NoErr(err)
				clients = append(clients, nc)
			}
			time.Sleep(300 * time.Millisecond) // until the server has read all
			each := (memoryInUse() - before) / conns
			t.Logf("%s: %d bytes each, %d counted", c.name, each, c.most(s))
			is.True(each <= c.most(s)+clientBytes)
			runtime.KeepAlive(clients)
		})
	}
}

// clientBytes is the memory of the test's own side of a connection, in bytes.
const clientBytes = 2 << 10
