package routing

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func config() Config {
	return Config{Version: 7, Services: []Service{{Name: "lotdesk"}, {Name: "pricebook"}}, Routes: []Route{
		{Name: "all", Host: "Shop.Example", Prefix: "/", MaxAttempts: 2, Priority: 2, Split: []WeightedService{{"lotdesk", 1}}},
		{Name: "lots", Host: "shop.example", Prefix: "/lots/", MaxAttempts: 2, Priority: 1, Split: []WeightedService{{"lotdesk", 90}, {"pricebook", 10}}},
	}}
}

// TestMatch checks the selection of a route: by the host name without case and port, then by the longest path prefix.
func TestMatch(t *testing.T) {
	is := is.New(t)
	table, err := New(config())
	is.NoErr(err)
	is.Equal(table.Match("shop.example", "/lots/1").Name, "lots")
	is.Equal(table.Match("SHOP.example:8080", "/lots/1").Name, "lots")
	is.Equal(table.Match("shop.example", "/lots").Name, "all") // a prefix ends with a slash
	is.Equal(table.Match("other.example", "/lots/1"), nil)
	is.Equal(table.Routes(), 2)
	is.Equal(table.Limits, DefaultLimits)
}

// TestPick checks that each service of a split is selected in proportion to its weight, also for values at the ends of the range.
func TestPick(t *testing.T) {
	is := is.New(t)
	r := config().Routes[1]
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.ServiceAt(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"lotdesk": 900, "pricebook": 100})
	r.Split = []WeightedService{{"lotdesk", 0}, {"pricebook", 5}}
	is.Equal(r.ServiceAt(0), "pricebook") // a service with weight 0 is not selected
}

// TestFaultyRoutes guards against an invalid route that makes valid ones unusable, and against errors that do not name the field.
func TestFaultyRoutes(t *testing.T) {
	for want, change := range map[string]func(*Route){
		"host is empty":       func(r *Route) { r.Host = "" },
		"begin and end it":    func(r *Route) { r.Prefix = "/lots" },
		"use at least 1":      func(r *Route) { r.MaxAttempts = 0 },
		"no service is named": func(r *Route) { r.Split = nil },
		`"nowhere" is not`:    func(r *Route) { r.Split = []WeightedService{{"nowhere", 1}} },
		"all weights are 0":   func(r *Route) { r.Split = []WeightedService{{"lotdesk", 0}} },
		"use 0 or more":       func(r *Route) { r.Split = []WeightedService{{"lotdesk", -1}} },
		"a time is negative":  func(r *Route) { r.Timeout = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			c := config()
			change(&c.Routes[1])
			table, err := New(c)
			is.True(err != nil && strings.Contains(err.Error(), want))
			is.Equal(table.Match("shop.example", "/lots/1").Name, "all")
		})
	}
}

// TestEscapedPaths guards against a request that takes another route than its path states, because an escaped slash counts as one, and against one
// that takes none because it escapes characters which need no escape.
func TestEscapedPaths(t *testing.T) {
	is := is.New(t)
	var routes []Route
	for _, prefix := range []string{"/", "/lots/", "/lots/a/", "/caf\u00e9/", "/x%2fy/", "/a b/"} {
		routes = append(routes, Route{Name: prefix, Host: "h", Prefix: prefix, MaxAttempts: 1, Split: []WeightedService{{Service: "s", Weight: 1}}})
	}
	table, err := New(Config{Services: []Service{{Name: "s"}}, Routes: routes})
	is.NoErr(err)
	for path, want := range map[string]string{"/lots/a/1": "/lots/a/", "/lots/a%2F1": "/lots/", "/lots%2Fa/1": "/", "/lots%2fa%2f1": "/", "/l%6fts/%61/1": "/lots/a/",
		"/%6C%6F%74%73/1": "/lots/", "/caf%c3%a9/": "/caf\u00e9/", "/caf\u00e9/": "/caf\u00e9/", "/x%2Fy/1": "/x%2fy/", "/x/y/1": "/", "/a%20b/": "/a b/",
		"/lots%252Fa/1": "/", "/lots/%": "/lots/", "/lots/%4": "/lots/", "/lots/%zz/": "/lots/"} {
		if got := table.Match("h", path); got.Name != want {
			t.Errorf("%s: route %s instead of %s", path, got.Name, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.String().Draw(t, "path")
		once := NormalizePath(path)
		if NormalizePath(once) != once || strings.Count(once, "/") != strings.Count(path, "/") {
			t.Fatalf("%q: %q, then %q", path, once, NormalizePath(once))
		}
	})
}

// TestFractionalWeights guards against a service without weight that gets requests, because fractions do not add up exactly, and against parts that are
// not as the weights state.
func TestFractionalWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Route{Split: []WeightedService{{"a", rapid.Float64Range(1e-9, 1).Draw(t, "a")}, {"b", rapid.Float64Range(0, 1).Draw(t, "b")}, {"c", 0}}}
		for _, u := range []float64{0, rapid.Float64Range(0, 1).Draw(t, "u"), math.Nextafter(1, 0)} {
			want, total := "a", r.Split[0].Weight+r.Split[1].Weight
			if r.Split[1].Weight > 0 && u*total >= r.Split[0].Weight {
				want = "b"
			}
			if got := r.ServiceAt(u); got != want {
				t.Fatalf("%v at %v: %s instead of %s", r.Split, u, got, want)
			}
		}
	})
}
