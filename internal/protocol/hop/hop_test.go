package hop

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestHeaders checks that what one host sets is what the other one gets, within what the headers may take.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{"X-Caller": {"kept"}}
	sent := detour.HopRequest{From: "host-1", Service: "lotdesk", Version: 7, Waited: 12, Attempts: 2, Caller: netip.MustParseAddr("10.0.0.7"), Counted: true}
	for range 2 * detour.MaxTried {
		sent.Tried = append(sent.Tried, endpoints.ID{Address: "10.128.100.100:65535", Incarnation: strings.Repeat("i", 40)})
	}
	is.NoErr(SetRequest(h, &sent))
	got, err := GetRequest(h)
	is.NoErr(err)
	is.Equal(*got, sent)
	is.Equal(len(got.Tried), detour.MaxTried)
	is.True(len(h[headerRequest][0]) < MaxHeaderBytes)
	result := detour.HopResult{Outcome: "answered", Retry: 250, Sends: 2, ID: endpoints.ID{Address: "10.0.0.1:80", Incarnation: "i"}, Detail: strings.Repeat("x", 2*detour.MaxDetailBytes)}
	is.NoErr(SetResult(h, &result))
	gotResult, err := GetResult(h)
	is.NoErr(err)
	is.Equal(*gotResult, result)
	for name := range h {
		is.Equal(IsHeader(name), name != "X-Caller")
	}
}

// TestMalformedHeaders guards against a request or result that is taken for valid although it cannot be read, or states what no host sends.
func TestMalformedHeaders(t *testing.T) {
	is := is.New(t)
	_, err := GetResult(http.Header{})
	is.True(trace.IsNotFound(err))
	for _, text := range []string{"%", "AAAA", "oA", strings.Repeat("A", 100)} {
		h := http.Header{headerRequest: {text}, headerResult: {text}}
		_, err := GetRequest(h)
		is.True(err != nil)
		if _, err = GetResult(h); err != nil {
			is.True(!trace.IsNotFound(err))
		}
	}
	for _, r := range []detour.HopRequest{{}, {From: "a", Service: "s"}, {From: "a", Service: "s", Attempts: 1, Waited: -1}, {From: "a", Attempts: 1}} {
		h := http.Header{}
		is.NoErr(SetRequest(h, &r))
		_, err := GetRequest(h)
		is.True(trace.IsBadParameter(err))
	}
	h := http.Header{}
	is.NoErr(SetResult(h, &detour.HopResult{Sends: -1}))
	_, err = GetResult(h)
	is.True(trace.IsBadParameter(err))
}

// FuzzHeaders checks that no header ends the process, and that what is accepted can be sent again.
func FuzzHeaders(f *testing.F) {
	h := http.Header{}
	if err := SetRequest(h, &detour.HopRequest{From: "a", Service: "s", Attempts: 1}); err != nil {
		f.Fatal(err)
	}
	f.Add(h[headerRequest][0])
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{headerRequest: {text}, headerResult: {text}}
		if r, err := GetRequest(h); err == nil {
			if err := SetRequest(h, r); err != nil {
				t.Fatal(err)
			}
		}
		if r, err := GetResult(h); err == nil {
			if err := SetResult(h, r); err != nil {
				t.Fatal(err)
			}
		}
	})
}
