package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestCutRequestsAreExplained guards against requests whose connection just ends when a planned stop takes too long: one that was not sent
// must be refused as not run, and one that was sent must not.
func TestCutRequestsAreExplained(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	t.Cleanup(func() { close(d.release) })
	type result struct {
		status int
		doc    problem.Document
	}
	results := make(chan result, 3)
	call := func(id string) {
		status, body, _ := h.call(t, "/lots/held", id)
		var doc problem.Document
		if err := json.Unmarshal([]byte(body), &doc); err != nil {
			t.Error(err)
		}
		results <- result{status, doc}
	}
	for i := range 2 { // the endpoint has two slots
		go call(fmt.Sprint("sent-", i))
		<-d.waiting
	}
	go call("unsent")
	waitFor(t, "the third request", func() bool { return h.gateway.callers.Unanswered() == 3 })
	h.stop()
	byStatus := map[int][]problem.Document{}
	for range 3 {
		r := <-results
		byStatus[r.status] = append(byStatus[r.status], r.doc)
	}
	is.Equal(len(byStatus[http.StatusBadGateway]), 2)
	for _, doc := range byStatus[http.StatusBadGateway] {
		is.Equal(doc.Ran, refusals.RanUnknown)
	}
	is.Equal(len(byStatus[http.StatusServiceUnavailable]), 1)
	is.Equal(byStatus[http.StatusServiceUnavailable][0].Reason, refusals.HostDraining)
	is.Equal(byStatus[http.StatusServiceUnavailable][0].Ran, refusals.RanNo)
	is.Equal(d.ran.Load(), int64(2))
	is.NoErr(<-h.ended)
	close(h.ended)
	waitFor(t, "the log lines of the cut", func() bool {
		return strings.Contains(d.logged(), "cut=3") && strings.Contains(d.logged(), "cut=\"the server stopped")
	})
}

// TestDrainReadsWhileRequestsFit guards against a drain that closes kept connections although every request on them could still be answered, and
// against one that reads requests which it has no time for.
func TestDrainReadsWhileRequestsFit(t *testing.T) {
	is := is.New(t)
	g := &Gateway{settings: &Settings{GraceS: 10}}
	start := time.Unix(1000, 0)
	end := start.Add(8 * time.Second)
	is.Equal(g.readUntil(start, end), start.Add(5*time.Second)) // no configuration
	for _, c := range []struct {
		timeouts []time.Duration
		want     time.Duration
	}{
		{[]time.Duration{time.Second, 2 * time.Second}, 6 * time.Second},
		{[]time.Duration{time.Second, 4 * time.Second}, 5 * time.Second},
		{[]time.Duration{time.Second, 0}, 5 * time.Second}, // a route without a timeout
		{nil, 8 * time.Second},
	} {
		cfg := routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk"}}}
		for i, timeout := range c.timeouts {
			cfg.Routes = append(cfg.Routes, routing.Route{Name: fmt.Sprint(i), Host: "shop.example", Prefix: fmt.Sprintf("/%d/", i), Timeout: timeout, MaxAttempts: 1,
				Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}})
		}
		table, err := routing.New(cfg)
		is.NoErr(err)
		g.routes.Store(table)
		is.Equal(g.readUntil(start, end).Sub(start), c.want)
	}
}

// TestDrainFollowsLongerTimeouts guards against a drain that goes on reading requests which it has no time for, because a configuration with longer
// timeouts came into force after its start.
func TestDrainFollowsLongerTimeouts(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{settings: &Settings{GraceS: 10}}
		configure := func(timeout time.Duration) {
			table, err := routing.New(routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk"}},
				Routes: []routing.Route{{Name: "lookup", Host: "shop.example", Prefix: "/", Timeout: timeout, MaxAttempts: 1,
					Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}}}})
			is.NoErr(err)
			g.routes.Store(table)
		}
		configure(time.Second) // which would allow reading for 7 s
		start := time.Now()
		time.AfterFunc(6*time.Second, func() { configure(3 * time.Second) })
		g.awaitReadEnd(start, start.Add(8*time.Second))
		is.True(time.Since(start) >= 6*time.Second)
		is.True(time.Since(start) <= 6*time.Second+readEndCheckInterval)
	})
}
