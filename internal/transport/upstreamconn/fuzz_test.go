package upstreamconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// FuzzPath checks that an endpoint gets the path and query as the caller sent them.
func FuzzPath(f *testing.F) {
	for _, path := range []string{"/", "/a%2fb?c=d&e", "/a//b/../c;d", "/?"} {
		f.Add(path)
	}
	pool := NewPool(DefaultConfig())
	f.Fuzz(func(t *testing.T, path string) {
		if _, err := url.ParseRequestURI(path); err != nil || strings.Contains(path, " ") {
			return // ingress accepts no such request
		}
		is := is.New(t)
		req, err := pool.newRequest(t.Context(), endpoints.Endpoint{ID: endpoints.ID{Address: "10.0.0.1:80"}}, &executor.Call{Method: "GET", Path: path})
		if err != nil {
			is.True(!strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//"))
			return
		}
		var wire bytes.Buffer
		is.NoErr(req.Write(&wire))
		line, _, _ := strings.Cut(wire.String(), "\r\n")
		is.Equal(line, "GET "+path+" HTTP/1.1")
	})
}

// readWhole parses the final response in data. It returns false if the response is incomplete, or is ended by the end of the connection.
func readWhole(data []byte) (status int, body []byte, ok bool) {
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return 0, nil, false
		}
		body, err = io.ReadAll(resp.Body)
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp.StatusCode, body, err == nil && !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
		}
	}
}

// FuzzResponse checks that an answer that was accepted is the whole answer of the endpoint, within the limits, and that whatever the
// endpoint sent with it is not taken for the answer to the next request.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 500 Late\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nabc", "HTTP/1.1 200 OK\r\n" + callerapi.UpstreamRequestID + ": other\r\nContent-Length: 0\r\n\r\n",
		testResponse("200 OK", "first", "abc"), testResponse("200 OK", "first", "abc") + testResponse("500 Late", "", "")} {
		f.Add([]byte(text))
	}
	for _, r := range slices.Concat(endlessHeads, endlessBodies, []endlessResponse{afterResponse}) {
		f.Add([]byte(r.start + strings.Repeat(r.unit, 1+4096/len(r.unit))))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { l.Close() })
	first := make(chan []byte, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, first)
		}
	}()
	cfg := DefaultConfig()
	cfg.MaxHeaderBytes, cfg.MaxBodyBytes = 2048, 1024
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		pool := NewPool(cfg)
		defer func() { pool.CloseIdle(time.Now().Add(time.Hour)) }()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		send := func(id string) (int, []byte, error) {
			resp, err := pool.Send(ctx, endpoints.Endpoint{ID: endpoints.ID{Address: l.Addr().String()}}, &executor.Call{RequestID: id, Method: "GET", Path: "/"})
			if err != nil {
				return 0, nil, err
			}
			defer resp.Body.Close()
			if id := resp.Header.Get(callerapi.UpstreamRequestID); id != "" {
				is.Equal(id, "first")
			}
			body, err := io.ReadAll(resp.Body)
			return resp.Status, body, err
		}
		first <- data
		status, body, err := send("first")
		is.True(!errors.Is(err, context.DeadlineExceeded))
		if wantStatus, wantBody, ok := readWhole(data); err == nil && ok {
			is.Equal(status, wantStatus)
			is.Equal(string(body), string(wantBody))
			is.True(int64(len(body)) <= cfg.MaxBodyBytes)
		}
		if status, body, err = send("second"); err == nil {
			is.Equal(status, http.StatusOK)
			is.Equal(string(body), "second answer")
		}
	})
}

// answer sends the bytes from first to one request, and a fixed answer to each other request. It closes the connection if the bytes are no
// complete answer.
func answer(c net.Conn, first <-chan []byte) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		select {
		case data := <-first:
			if _, err := c.Write(data); err != nil {
				return
			}
			if _, _, ok := readWhole(data); !ok {
				return
			}
		default:
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nsecond answer"); err != nil {
				return
			}
		}
	}
}
