package routing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
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
