package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestTrafficCountsWholeResponses guards against byte counters that omit headers or bodies, which would understate control traffic.
func TestTrafficCountsWholeResponses(t *testing.T) {
	is := is.New(t)
	const body = `{"hosts":[{"role":"entry","name":"a"}]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(body)) }))
	defer s.Close()
	list := NewHostList(s.URL)
	_, err := list.Fetch(context.Background())
	is.NoErr(err)
	sent, received := list.Traffic()
	is.True(sent > int64(len("GET /v1/hosts HTTP/1.1\r\n")))
	is.True(received > int64(len(body)))
}

// TestPollIsShort guards against additional request headers that make each poll longer. A host polls continuously, and most polls return
// nothing new.
func TestPollIsShort(t *testing.T) {
	is := is.New(t)
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("ETag", `"1"`)
		w.Write([]byte(`{"hosts":[]}`))
	}))
	defer s.Close()
	list := NewHostList(s.URL)
	for range 2 {
		_, err := list.Fetch(t.Context())
		is.NoErr(err)
	}
	is.Equal(got, http.Header{"Accept-Encoding": {"gzip"}, "If-None-Match": {`"1"`}})
}

// TestUnchangedListIsNotTransferred guards against an unchanged list that is transferred again, and against Fetch returning the old list
// after a change or a failed request.
func TestUnchangedListIsNotTransferred(t *testing.T) {
	is := is.New(t)
	const one, two = `{"hosts":[{"name":"a"}]}`, `{"hosts":[{"name":"b"}]}`
	body, sent, fail := one, 0, false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tag := fmt.Sprintf("%q", body[19:20])
		w.Header().Set("ETag", tag)
		switch {
		case fail:
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.Header.Get("If-None-Match") == tag:
			w.WriteHeader(http.StatusNotModified)
		default:
			sent++
			w.Write([]byte(body))
		}
	}))
	defer s.Close()
	list := NewHostList(s.URL)
	expect := func(name string, bodies int) {
		t.Helper()
		hosts, err := list.Fetch(t.Context())
		is.NoErr(err)
		is.Equal(len(hosts), 1)
		is.Equal(hosts[0].Name, name)
		is.Equal(sent, bodies)
	}
	expect("a", 1)
	expect("a", 1)
	body = two
	fail = true
	_, err := list.Fetch(t.Context())
	is.True(err != nil)
	fail = false
	expect("b", 2)
	expect("b", 2)
}
