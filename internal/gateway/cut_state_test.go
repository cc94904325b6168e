package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestCutStateChangesNothing guards against a host that takes a part of another host's state, or a newer configuration in it, for the whole one.
func TestCutStateChangesNothing(t *testing.T) {
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	late := newUnstarted(t, d)
	is.New(t).NoErr(late.follower.Refresh(t.Context()))
	d.configure(t, 4, "/lots/", "/bids/")
	peer := newUnstarted(t, d)
	is.New(t).NoErr(peer.follower.Refresh(t.Context()))
	recorder := httptest.NewRecorder()
	peer.serveState(recorder, httptest.NewRequest(http.MethodGet, statePath+"?"+topicParameter+"=contract", nil))
	body := recorder.Body.String()
	head := "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + stateAgeHeader + ": 5\r\n"
	for _, c := range []struct{ framing, whole string }{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)},
		{"chunked", fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)},
		{"until close", head + "\r\n" + body},
	} {
		t.Run(c.framing+", malformed", func(t *testing.T) {
			is := is.New(t)
			malformed := strings.Replace(c.whole, "\r\n", "\r\nX Y: 1\r\n", 1)
			server, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return malformed, rawserver.Close })
			is.NoErr(err)
			defer server.Close()
			is.True(!late.fetchConfiguration(t.Context(), 4, peers.Host{Name: "peer", StateAddress: server.Address()}))
			is.Equal(late.version(), uint64(3))
		})
		for _, end := range []rawserver.End{rawserver.Reset, rawserver.Close} {
			t.Run(fmt.Sprintf("%s, reset %t", c.framing, end == rawserver.Reset), func(t *testing.T) {
				is := is.New(t)
				var sent atomic.Int64
				server, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return c.whole[:sent.Load()], end })
				is.NoErr(err)
				defer server.Close()
				host := peers.Host{Name: "peer", StateAddress: server.Address()}
				for n := range len(c.whole) {
					sent.Store(int64(n))
					if state, err := fetchState(t.Context(), host, "", idleTransferTimeout); err == nil {
						t.Errorf("taken with %d of %d bytes: %+v", n, len(c.whole), state)
					}
				}
				sent.Store(int64(len(c.whole) - 1))
				is.True(!late.fetchConfiguration(t.Context(), 4, host))
				is.Equal(late.version(), uint64(3))
			})
		}
	}
	server, err := rawserver.New(func(int, *http.Request) (string, rawserver.End) { return head + "\r\n" + body, rawserver.Close })
	is.New(t).NoErr(err)
	defer server.Close()
	is.New(t).True(late.fetchConfiguration(t.Context(), 4, peers.Host{Name: "peer", StateAddress: server.Address()}))
}
