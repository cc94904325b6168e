package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
)

func startUpstream(t *testing.T, cfg UpstreamConfig) (*Upstream, *httptest.Server) {
	t.Helper()
	u := NewUpstream(cfg)
	s := httptest.NewUnstartedServer(nil)
	s.Config = u.Server()
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return u, s
}

// sendRequest sends a request with the given headers (name, value, ...). It returns the response, its body, and the error of the request
// or of reading the body.
func sendRequest(ctx context.Context, s *httptest.Server, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/lots/1", nil)
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.Client().Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// awaitStats waits until the condition holds for the upstream's stats.
func awaitStats(u *Upstream, cond func(Stats) bool) {
	for !cond(u.Stats()) {
		time.Sleep(time.Millisecond)
	}
}

// occupySlot sends a request that holds a slot until the returned function is called.
func occupySlot(t *testing.T, u *Upstream, s *httptest.Server) (release func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	before := u.Stats().InFlight
	go func() { defer close(done); sendRequest(ctx, s, callerapi.UpstreamRequestID, "holder") }()
	awaitStats(u, func(st Stats) bool { return st.InFlight == before+1 })
	return func() { cancel(); <-done; awaitStats(u, func(st Stats) bool { return st.InFlight == before }) }
}

// TestNotRun guards against a request that runs although its deadline passed, the backlog is full or its client cancelled.
func TestNotRun(t *testing.T) {
	is := is.New(t)
	u, s := startUpstream(t, UpstreamConfig{Incarnation: "7", Slots: 1, Backlog: 1, MeanWork: time.Hour})
	release := occupySlot(t, u, s)

	resp, _, err := sendRequest(t.Context(), s, callerapi.UpstreamDeadlineMS, "1", callerapi.UpstreamRequestID, "late")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(callerapi.UpstreamRequestID), "late") // otherwise entry hosts do not believe the refusal
	is.Equal(resp.Header.Get(callerapi.UpstreamRan), "no")
	is.Equal(u.Stats().Expired, int64(1))

	ctx, cancel := context.WithCancel(t.Context())
	clientErr := make(chan error)
	go func() { _, _, err := sendRequest(ctx, s); clientErr <- err }()
	awaitStats(u, func(st Stats) bool { return st.Waiting == 1 })
	resp, _, err = sendRequest(t.Context(), s) // the slot and the backlog are full
	is.NoErr(err)
	is.Equal(resp.Header.Get(callerapi.UpstreamRan), "no")
	is.Equal(u.Stats().Shed, int64(1))
	cancel()
	is.True(<-clientErr != nil)
	awaitStats(u, func(st Stats) bool { return st.Cancelled == 1 && st.Waiting == 0 })

	release()
	records := u.Records()
	is.Equal(len(records), 1) // only the holder of the slot ran
	is.Equal(records[0].RequestID, "holder")
}

// TestDrain guards against an upstream that announces a drain and then refuses requests before the grace period has passed, or
// accepts requests after it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	u, s := startUpstream(t, UpstreamConfig{Slots: 1, Backlog: 1})
	u.SetFaults(Faults{Leaving: true, LeaveGraceMS: time.Hour.Milliseconds()})
	resp, _, err := sendRequest(t.Context(), s)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get(callerapi.UpstreamState), callerapi.StateLeaving)
	u.SetFaults(Faults{Leaving: true})
	resp, _, err = sendRequest(t.Context(), s)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(callerapi.UpstreamRan), "no")
}

// TestFaultyAnswers checks the responses under each fault. It guards against faults that run requests which must not run, and
// against requests that run but are not counted.
func TestFaultyAnswers(t *testing.T) {
	is := is.New(t)
	u, s := startUpstream(t, UpstreamConfig{Slots: 2, Backlog: 1})
	u.SetFaults(Faults{FailFast: true})
	resp, _, err := sendRequest(t.Context(), s)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(u.Stats().Ran, int64(0))

	for healthOK, code := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusOK} {
		u.SetFaults(Faults{FailFast: true, HealthOK: healthOK})
		resp, err = s.Client().Get(s.URL + "/healthz")
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, code)
	}

	u.SetFaults(Faults{Shed: true})
	resp, _, err = sendRequest(t.Context(), s)
	is.NoErr(err)
	is.Equal(resp.Header.Get(callerapi.UpstreamRan), "no")
	is.Equal(u.Stats().Ran, int64(0))

	u.SetFaults(Faults{CutBodies: true})
	_, _, err = sendRequest(t.Context(), s)
	is.True(err != nil) // the client detects the incomplete body
	is.Equal(u.Stats().Ran, int64(1))

	u.SetFaults(Faults{LoadReport: "0/64"})
	resp, _, err = sendRequest(t.Context(), s) // leaves an idle connection open
	is.NoErr(err)
	is.Equal(resp.Header.Get(callerapi.UpstreamLoad), "0/64")

	for silence, ran := range map[string]int64{SilenceRequest: 0, SilenceResponse: 1} {
		// The limit of one connection makes the second request use the connection of the first. The client opens no further one.
		singleConn := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		resp, err := singleConn.Get(s.URL + "/lots/1")
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		before, arrived := u.Stats().Ran, len(u.Arrivals())
		u.SetFaults(Faults{Silence: silence})
		ctx, cancel := context.WithCancel(t.Context())
		clientErr := make(chan error)
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/lots/1", nil)
			if err == nil {
				_, err = singleConn.Do(req)
			}
			clientErr <- err
		}()
		awaitStats(u, func(st Stats) bool { return len(u.Arrivals()) > arrived && st.Ran >= before+ran })
		// This request uses a new connection, which is not silent.
		newConn := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err = newConn.Get(s.URL + "/lots/2")
		is.NoErr(err)
		resp.Body.Close()
		cancel()
		is.True(<-clientErr != nil)
		is.Equal(u.Stats().Ran, before+ran+1)
		is.Equal(len(u.Arrivals()), arrived+2)
		singleConn.CloseIdleConnections()
	}
}

// TestArrivals guards against requests that are missing from the arrivals because they did not run, and against health probes
// that are listed as requests.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	u, s := startUpstream(t, UpstreamConfig{Slots: 1, Backlog: 1, MaxRecords: 4})
	for _, f := range []Faults{{}, {FailFast: true}, {Shed: true}} {
		u.SetFaults(f)
		_, _, err := sendRequest(t.Context(), s, callerapi.UpstreamRequestID, "same")
		is.NoErr(err)
	}
	for range 2 { // the second arrival exceeds MaxRecords
		resp, err := s.Client().Get(s.URL + "/healthz")
		is.NoErr(err)
		resp.Body.Close()
	}
	got := u.Arrivals()
	is.Equal(len(got), 4)
	for i, a := range got {
		is.Equal(a.Probe, i == 3)
		is.Equal(a.RequestID == "same", i < 3)
	}
	is.Equal(u.Stats().DroppedRecords, int64(1))
}

// TestSlowness guards against work that runs at full speed during slow episodes. It compares End with a simulation in small
// time steps.
func TestSlowness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		noise := Noise{PerSecond: rapid.Float64Range(0, 10).Draw(t, "per_second"), Factor: 4, MS: 60}
		from := time.Duration(rapid.IntRange(0, 100).Draw(t, "from")) * time.Millisecond
		start := time.Duration(rapid.IntRange(0, 300).Draw(t, "start")) * time.Millisecond
		work := time.Duration(rapid.IntRange(1, 50).Draw(t, "work")) * time.Millisecond
		s := NewSlowness(seed, noise)
		s.Slow(from, from+200*time.Millisecond, 3)
		end := s.End(start, work)

		const step = 20 * time.Microsecond
		now, done := start, 0.0
		for done < float64(work) {
			factor, _ := s.factorAt(now)
			done += float64(step) / factor
			now += step
		}
		if diff := (end - now).Abs(); diff > 20*step {
			t.Fatalf("End returned %v, the simulation in steps %v", end, now)
		}
	})
}

// TestTimes guards against wrong durations of the cold start, the network delay and the slowdown, and against a wrong age of load
// reports.
func TestTimes(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := NewUpstream(UpstreamConfig{Slots: 1, MeanWork: 10 * time.Millisecond, ColdRequests: 1, ColdFactor: 4,
			NetworkDelay: 5 * time.Millisecond})
		get := func(path string) (time.Duration, http.Header) {
			began := time.Now()
			rec := httptest.NewRecorder()
			u.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
			is.Equal(rec.Code, http.StatusOK)
			return time.Since(began), rec.Header()
		}
		run := func() (time.Duration, http.Header) { return get("/lots/1") }
		took, _ := run()
		is.Equal(took, 50*time.Millisecond) // cold
		took, _ = get("/healthz")
		is.Equal(took, 10*time.Millisecond) // health probes have the same network delay as requests
		took, h := run()
		is.Equal(took, 20*time.Millisecond)
		is.Equal(h.Get(callerapi.UpstreamLoad), "0/1")

		u.SetFaults(Faults{SlowFactor: 3, SlowForMS: 20, LoadLagMS: 10})
		took, h = run()
		// The network delay takes 5 of the 20 slow milliseconds. The other 15 complete 5 ms of work.
		is.Equal(took, (5+15+5+5)*time.Millisecond)
		is.Equal(h.Get(callerapi.UpstreamLoad), "1/1") // the load of 10 ms ago, when the request was running
	})
}
