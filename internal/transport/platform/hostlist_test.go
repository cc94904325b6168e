package platform

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// gzipped returns plain, compressed with gzip.
func gzipped(plain []byte) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	z.Write(plain)
	z.Close()
	return out.Bytes()
}

// listServer responds with body, labelled as gzip, or with status 304 if the client sends its tag.
type listServer struct {
	body []byte
	tag  string
}

func (s *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", s.tag)
	if r.Header.Get("If-None-Match") == s.tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.Write(s.body)
}

// TestOddEntryOfList guards against one odd entry that keeps hosts from reading the list, or that is used although its figures are not possible.
func TestOddEntryOfList(t *testing.T) {
	const whole = `{"role":"upstream","name":"u","address":"10.0.0.1:80","zone":"z","service":"s","slots":2,"incarnation":"1","state":"live"}`
	with := func(old, new string) string { return strings.Replace(whole, old, new, 1) }
	for name, odd := range map[string]string{
		"deep": strings.Repeat(`{"x":`, 100_000) + "1" + strings.Repeat("}", 100_000), "deep list": strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"number too large": with(`"slots":2`, `"slots":1e30`), "slots near the limit": with(`"slots":2`, `"slots":9223372036854775807`),
		"negative slots": with(`"slots":2`, `"slots":-1`), "text": with(`"slots":2`, `"slots":"2"`), "no entry": "7", "port too large": with(":80", ":65536"),
		"port 0": with(":80", ":0"), "no port": with(":80", "")} {
		for _, hosts := range []string{odd, whole + "," + odd, odd + "," + whole, odd + "," + odd + "," + whole + "," + odd} {
			is := is.New(t)
			server := &listServer{tag: "1", body: gzipped([]byte(`{"version":[{"hosts":[1]}],"hosts":[` + hosts + `],"more":{}}`))}
			s := httptest.NewServer(server)
			list := NewHostList(s.URL)
			var invalid int
			list.OnInvalid = func(n int, err error) { invalid = n; is.True(err != nil) }
			got, err := list.Fetch(t.Context())
			is.NoErr(err) // the other entries are valid
			t.Log(name)
			is.Equal(len(got), strings.Count(hosts, whole))
			is.Equal(invalid, strings.Count(hosts, odd))
			list.client.CloseIdleConnections()
			s.Close()
		}
	}
}

// TestMalformedListKeepsLastList guards against a compressed list that is truncated or not gzip and yet replaces the last list. It also
// guards against storing the entity tag of such a list: a later response with status 304 would then confirm a list that was never read.
func TestMalformedListKeepsLastList(t *testing.T) {
	server := &listServer{}
	s := httptest.NewServer(server)
	defer s.Close()
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		list := NewHostList(s.URL)
		defer list.client.CloseIdleConnections()
		var view []Host
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			name := fmt.Sprintf("host-%d", step)
			server.tag = fmt.Sprintf("W/%q", name)
			whole := gzipped(fmt.Appendf(nil, `{"hosts":[{"name":%q}]}`, name))
			kind := rapid.SampledFrom([]string{"whole", "cut", "not gzip"}).Draw(t, "kind")
			switch kind {
			case "whole":
				server.body = whole
			case "cut":
				server.body = whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "length")]
			case "not gzip":
				server.body = []byte(`{"hosts":[{"name":"plain"}]}`)
			}
			got, err := list.Fetch(t.Context())
			is.Equal(err == nil, kind == "whole")
			if kind == "whole" {
				view = []Host{{Name: name}}
				is.Equal(got, view)
			}
			is.Equal(list.last, view)
			if view == nil {
				continue
			}
			server.tag = list.etag // the server has the list again that was fetched last
			got, err = list.Fetch(t.Context())
			is.NoErr(err)
			is.Equal(got, view)
		}
	})
}

// TestOversizedListIsRefused guards against a small compressed response that exhausts the host's memory, and against a response that
// is read up to the limit and accepted as the whole list.
func TestOversizedListIsRefused(t *testing.T) {
	is := is.New(t)
	server := &listServer{tag: `W/"1"`, body: gzipped([]byte(`{"hosts":[{"name":"a"}]}`))}
	s := httptest.NewServer(server)
	defer s.Close()
	list := NewHostList(s.URL)
	first, err := list.Fetch(t.Context())
	is.NoErr(err)
	// The first maxResponseBytes bytes of the decompressed response are valid JSON.
	server.tag, server.body = `W/"2"`, gzipped(append([]byte(`{"hosts":[{"name":"b"}]}`), bytes.Repeat([]byte(" "), maxResponseBytes)...))
	is.True(len(server.body) < maxResponseBytes/100)
	_, err = list.Fetch(t.Context())
	is.True(err != nil)
	server.tag = `W/"1"`
	again, err := list.Fetch(t.Context())
	is.NoErr(err)
	is.Equal(again, first)
}
