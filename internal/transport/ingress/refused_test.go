package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestRefusalsAreReported guards against requests that the server refuses itself and that leave no trace for operators.
func TestRefusalsAreReported(t *testing.T) {
	for _, c := range []struct {
		name, request  string
		maxConnections int
		want           string // status, request id, and the beginning of the reason
	}{
		{"malformed header", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 8, "400 - "},
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", 8, "431 - the header is larger"},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nId: r-1\r\nContent-Length: 999999999\r\n\r\n", 8, "413 r-1 the body is larger"},
		{"no memory for the body", "POST / HTTP/1.1\r\nHost: a\r\nId: r-2\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100), 8, "503 r-2 the bodies of other requests"},
		{"too many connections", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0, "503 - this host has too many"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			refused := make(chan string, 1)
			s := New(Config{Handler: newHandler(), Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: c.maxConnections, Memory: bodyMemory(10),
				OnRefused: func(caller net.Addr, header http.Header, status int, reason string) {
					id := header.Get("Id")
					if id == "" {
						id = "-"
					}
					refused <- fmt.Sprint(caller, " ", status, " ", id, " ", reason)
				}})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go s.Serve(l)
			defer l.Close()
			nc, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer nc.Close()
			go io.WriteString(nc, c.request)
			got := <-refused
			is.True(strings.HasPrefix(got, nc.LocalAddr().String()+" "+c.want))
		})
	}
}

// TestPathIsAsSent guards against a route that is chosen by another path than the endpoint gets.
func TestPathIsAsSent(t *testing.T) {
	is := is.New(t)
	p, _ := parseBytes([]byte(get("/lots%2Fa/%61?path=/b%2Fc")))
	is.Equal(p.request.Path, "/lots%2Fa/%61")
	is.Equal(p.request.Target, "/lots%2Fa/%61?path=/b%2Fc")
}
