package framing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// serve starts a server that responds with 400 to ambiguous requests and with path and body to others.
func serve(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if HasAmbiguousLength(r) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, _ := io.ReadAll(r.Body) // a truncated body is noticed by the test, since the response is too short
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})}
	go server.Serve(NewListener(l))
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

const (
	plain     = "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n"
	fixed     = "POST /fixed HTTP/1.1\r\nHost: h\r\nContent-Length: 45\r\n\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
	chunks    = "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n13\r\nContent-Length: 12\n\r\n0\r\nX: y\r\n\r\n"
	ambiguous = "POST /ambiguous HTTP/1.1\r\nHost: h\r\ncontent-length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
)

// TestAmbiguousAmongOthers guards against request smuggling: an ambiguous request is refused and its connection closed, at any position
// among other requests and with its bytes divided into any pieces. Requests whose body only contains the text of such headers are served.
func TestAmbiguousAmongOthers(t *testing.T) {
	address := serve(t)
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(rapid.SampledFrom([]string{plain, fixed, chunks}), 0, 6).Draw(t, "before")
		text := strings.Join(before, "") + ambiguous
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "piece")
			if _, err := conn.Write([]byte(text[:n])); err != nil {
				break // the server has already refused the request and closed the connection
			}
			text = text[n:]
		}
		br := bufio.NewReader(conn)
		for _, want := range before {
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%q: %v", want, err)
			}
			body, err := io.ReadAll(resp.Body)
			path := strings.Fields(want)[1]
			if err != nil || !strings.HasPrefix(string(body), path+" ") {
				t.Fatalf("%q: %q", want, body)
			}
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != http.StatusBadRequest {
			t.Fatalf("response to the ambiguous request: %v %v, want status 400", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		if _, err := br.ReadByte(); err == nil {
			t.Fatal("the server sent more bytes after the refusal")
		}
	})
}

// TestOtherListeners checks that HasAmbiguousLength returns false for a request whose connection was not accepted by a listener of
// NewListener.
func TestOtherListeners(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "/", nil)
	is := is.New(t)
	is.NoErr(err)
	is.True(!HasAmbiguousLength(r))
}

// TestScannerStops guards against memory growth by an endless header line, and checks that an invalid chunk size stops the scanner.
func TestScannerStops(t *testing.T) {
	is := is.New(t)
	var s scanner
	s.scan([]byte("GET / HTTP/1.1\r\nX: "), nil)
	for range 100 {
		s.scan([]byte(strings.Repeat("x", 1024)), nil)
	}
	is.Equal(len(s.line), maxLineBytes)
	s = scanner{state: inChunkSize}
	s.scan([]byte("zz\r\n"), nil)
	is.Equal(s.state, stopped)
	is.Equal(len(s.scan([]byte(plain), nil)), 0)
}
