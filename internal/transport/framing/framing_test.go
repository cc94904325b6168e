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

// serve starts a server that answers 400 to ambiguous requests and else repeats path and body.
func serve(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if Ambiguous(r) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, _ := io.ReadAll(r.Body) // a cut body shows as a short one
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})}
	go server.Serve(Listener(l))
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

const (
	plain     = "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n"
	fixed     = "POST /fixed HTTP/1.1\r\nHost: h\r\nContent-Length: 45\r\n\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
	chunks    = "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n13\r\nContent-Length: 12\n\r\n0\r\nX: y\r\n\r\n"
	ambiguous = "POST /ambiguous HTTP/1.1\r\nHost: h\r\ncontent-length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
)

// TestAmbiguousAmongOthers guards against requests that two parsers read in two ways: one is refused and ends its connection wherever it
// stands and however its bytes are divided, and requests that only look like it are served.
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
				break // the server has refused and closed already
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
			t.Fatalf("the ambiguous request: %v %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		if _, err := br.ReadByte(); err == nil {
			t.Fatal("bytes after the refusal")
		}
	})
}

// TestOtherListeners guards servers without the watch.
func TestOtherListeners(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "/", nil)
	is := is.New(t)
	is.NoErr(err)
	is.True(!Ambiguous(r))
}

// TestScannerStops guards against memory that grows with a header that never ends, and against chunk sizes that are none.
func TestScannerStops(t *testing.T) {
	is := is.New(t)
	var s scanner
	s.scan([]byte("GET / HTTP/1.1\r\nX: "), nil)
	for range 100 {
		s.scan([]byte(strings.Repeat("x", 1024)), nil)
	}
	is.Equal(len(s.line), maxLine)
	s = scanner{state: inChunkSize}
	s.scan([]byte("zz\r\n"), nil)
	is.Equal(s.state, stopped)
	is.Equal(len(s.scan([]byte(plain), nil)), 0)
}
