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
	for _, c := range []struct {
		name           string
		grace, longest time.Duration
		connections    int
		want           time.Duration
	}{
		{"all requests fit", 10 * time.Second, 2 * time.Second, 1, 6600 * time.Millisecond},
		{"nobody is connected", 10 * time.Second, 2 * time.Second, 0, minReadTime},
		{"long requests", 10 * time.Second, 8 * time.Second, 1, minReadTime},
		{"requests longer than the grace time", 10 * time.Second, time.Minute, 1, minReadTime},
		{"short grace time", time.Second, time.Minute, 1, 470 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			is.New(t).Equal(planDrain(start, c.grace).readUntil(c.longest, c.connections).Sub(start), c.want)
		})
	}
}

// TestLongestTimeout guards against a drain that does not know how long the requests of some route may take.
func TestLongestTimeout(t *testing.T) {
	is := is.New(t)
	g := &Gateway{}
	is.Equal(g.longestTimeout(), defaultRequestTimeout) // no configuration
	configureTimeouts(t, g, time.Second, 4*time.Second, 2*time.Second)
	is.Equal(g.longestTimeout(), 4*time.Second)
	configureTimeouts(t, g, time.Second, 0)
	is.Equal(g.longestTimeout(), defaultRequestTimeout) // of the route without a timeout
}

// configureTimeouts puts a configuration in force whose routes have the given timeouts.
func configureTimeouts(t *testing.T, g *Gateway, timeouts ...time.Duration) {
	t.Helper()
	cfg := routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk"}}}
	for i, timeout := range timeouts {
		cfg.Routes = append(cfg.Routes, routing.Route{Name: fmt.Sprint(i), Host: "shop.example", Prefix: fmt.Sprintf("/%d/", i), Timeout: timeout, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}})
	}
	table, err := routing.New(cfg)
	is.New(t).NoErr(err)
	g.routes.Store(table)
}

// TestDrainFollowsLongerTimeouts guards against a drain that goes on reading requests which it has no time for, because a configuration with longer
// timeouts came into force after its start.
func TestDrainFollowsLongerTimeouts(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{}
		configureTimeouts(t, g, time.Second) // which would allow reading for 7.6 s
		start := time.Now()
		time.AfterFunc(6*time.Second, func() { configureTimeouts(t, g, 3*time.Second) })
		g.awaitReadEnd(planDrain(start, 10*time.Second), func() int { return 1 })
		is.True(time.Since(start) >= 6*time.Second)
		is.True(time.Since(start) <= 6*time.Second+readEndCheckInterval)
	})
}

// TestDrainRefusesWhatItMayCut guards against a drain that cuts a request which it read at its end: the request is refused as not run, unless its
// deadline lies before the end.
func TestDrainRefusesWhatItMayCut(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/") // with a timeout of one minute
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	now := time.Now()
	h.gateway.drainPlan.Store(&drainPlan{minRead: now.Add(time.Hour), end: now.Add(2 * time.Hour)})
	status, _, _ := h.call(t, "/lots/1", "early")
	is.Equal(status, http.StatusOK)
	h.gateway.drainPlan.Store(&drainPlan{minRead: now, end: now.Add(time.Hour)})
	status, _, _ = h.call(t, "/lots/2", "short")
	is.Equal(status, http.StatusOK)
	h.gateway.drainPlan.Store(&drainPlan{minRead: now, end: now.Add(30 * time.Second)})
	status, body, header := h.call(t, "/lots/3", "late")
	is.Equal(status, http.StatusServiceUnavailable)
	var doc problem.Document
	is.NoErr(json.Unmarshal([]byte(body), &doc))
	is.Equal(doc.Reason, refusals.HostDraining)
	is.Equal(doc.Ran, refusals.RanNo)
	is.True(header.Get("Retry-After") != "")
	is.Equal(d.ran.Load(), int64(2))
	waitFor(t, "the log line of the refusal", func() bool { return strings.Contains(d.logged(), "id=late reason=host_draining") })
}
