package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// refusalCopier is an upstream that responds to the first request of each connection with a status of its own, if it has not got that before, and runs the
// others, but writes a refusal before it responds to further ones of a connection.
type refusalCopier struct {
	listener net.Listener
	first    string // status line and header lines of the first response
	copyID   func(firstID string) string
	received sync.Map // ids of requests
	ran      func(id string)
}

func startRefusalCopier(t *testing.T, u *refusalCopier) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u.listener = l
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return l.Addr().String()
}

func (u *refusalCopier) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	respond := func(status, id string) {
		if id != "" {
			id = "Upstream-Request-Id: " + id + "\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sUpstream-Load: 0/2\r\nContent-Length: 0\r\n\r\n", status, id)
	}
	firstID := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Upstream-Request-Id")
		switch {
		case r.URL.Path == "/health":
			respond("200 OK", id)
		case firstID == "":
			firstID = id
			status := u.first
			if _, again := u.received.LoadOrStore(id, true); again {
				status = "200 OK"
			}
			if strings.HasPrefix(status, "200") {
				u.ran(id)
			}
			respond(status, id)
		default:
			u.ran(id)
			respond(refusal, u.copyID(firstID))
			respond("200 OK", id)
		}
	}
}

const refusal = "503 Full\r\nUpstream-Ran: no"

// TestCopiedRefusal guards against callers that are told "not run" of a request that an upstream has run, and against a second run of a request at another
// upstream, because the first one has written a refusal of another exchange before its response.
func TestCopiedRefusal(t *testing.T) {
	for _, c := range []struct {
		name   string
		echoes bool // the dialect's EchoesID
		keepID bool // callers keep the id of a request over their tries
		first  string
		copyID func(firstID string) string
	}{
		{"no id, responses need it", true, false, "200 OK", func(string) string { return "" }},
		{"no id, responses may lack it", false, false, "200 OK", func(string) string { return "" }},
		{"the same id, responses need one", true, true, refusal, func(firstID string) string { return firstID }},
		{"the same id, responses may lack one", false, true, refusal, func(firstID string) string { return firstID }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t)
			d.echoes = c.echoes
			var mu sync.Mutex
			runs := map[string]int{}
			for n := range 2 {
				address := startRefusalCopier(t, &refusalCopier{first: c.first, copyID: c.copyID, ran: func(id string) {
					mu.Lock()
					defer mu.Unlock()
					runs[id]++
				}})
				name := fmt.Sprint("e-", n+1)
				d.store.put(t, "endpoints", name, registry.Entry{Name: name, Started: 1, Service: "lotdesk", Address: address, Zone: "a", Slots: 2})
			}
			d.store.put(t, "contract", "config", routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk", HealthPath: "/health"}},
				Routes: []routing.Route{{Name: "orders", Host: "shop.example", Prefix: "/orders/", Timeout: 5 * time.Second, TargetLatency: time.Second,
					MaxAttempts: 2, Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}}}})
			h := d.start(t)
			waitFor(t, "the host", h.ready)
			answered := 0
			for n := range 12 {
				id := fmt.Sprint("order-", n)
				for try := range 3 {
					if try > 0 && !c.keepID {
						id = fmt.Sprint("order-", n, "-", try)
					}
					mu.Lock()
					before := runs[id]
					mu.Unlock()
					status, _, _ := h.callWith(t, http.MethodPost, "/orders/1", id)
					mu.Lock()
					ran := runs[id] - before
					mu.Unlock()
					is.True(ran <= 1) // at one upstream
					if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
						is.Equal(ran, 0) // the caller was told so
						continue
					}
					if status == http.StatusOK {
						answered++
					}
					break
				}
			}
			is.True(answered > 0)
		})
	}
}
