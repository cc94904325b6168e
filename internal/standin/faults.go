package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Values of Faults.Silence.
const (
	SilenceRequest  = "request"  // requests on silent connections never run and get no response
	SilenceResponse = "response" // requests on silent connections run, but their responses are never sent
)

// Faults is the request body of PUT /standin/faults. Each PUT replaces all faults; the zero value means none.
type Faults struct {
	// Leaving announces a drain: responses carry Upstream-State: leaving, and new requests are refused once LeaveGraceMS has
	// passed since this PUT.
	Leaving      bool  `json:"leaving,omitempty"`
	LeaveGraceMS int64 `json:"leave_grace_ms,omitempty"`
	// SlowFactor multiplies the work time of requests for SlowForMS after this PUT.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	SlowForMS  int64   `json:"slow_for_ms,omitempty"`
	// Noise adds random slow episodes. Their sequence starts at this PUT.
	Noise Noise `json:"noise,omitzero"`
	// FailFast responds to each request with status 500 at once, without running it.
	FailFast bool `json:"fail_fast,omitempty"`
	// HealthOK makes the health endpoint report success even if requests fail or are refused. HealthDelayMS delays its responses.
	HealthOK      bool  `json:"health_ok,omitempty"`
	HealthDelayMS int64 `json:"health_delay_ms,omitempty"`
	// Shed refuses all new requests with Upstream-Ran: no, without running them.
	Shed bool `json:"shed,omitempty"`
	// Silence makes the connections that are open at this PUT silent permanently. Connections that are opened later work
	// normally. It is SilenceRequest, SilenceResponse or empty.
	Silence string `json:"silence,omitempty"`
	// CutBodies closes the connection in the middle of each response body. The requests run.
	CutBodies bool `json:"cut_bodies,omitempty"`
	// LoadLagMS makes load reports state the load of that many milliseconds ago. LoadReport, if set, is sent instead of the
	// actual load.
	LoadLagMS  int64  `json:"load_lag_ms,omitempty"`
	LoadReport string `json:"load_report,omitempty"`
}

// faultState holds the faults of one PUT and the state derived from them. It is not modified after it is stored.
type faultState struct {
	Faults
	since    time.Time
	slowness *Slowness
}

// connState is the state of one accepted connection. Its silence is nil, SilenceRequest or SilenceResponse.
type connState struct {
	silence atomic.Pointer[string]
}

type connKey struct{}

// Server returns an HTTP server for the upstream that also tracks connections, which Faults.Silence requires.
func (u *Upstream) Server() *http.Server {
	return &http.Server{Handler: u.Handler(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			state := &connState{}
			u.conns.Store(c, state)
			return context.WithValue(ctx, connKey{}, state)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				u.conns.Delete(c)
			}
		}}
}

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(f)
}

// SetFaults replaces all faults.
func (u *Upstream) SetFaults(f Faults) {
	state := &faultState{Faults: f, since: time.Now(), slowness: NewSlowness(u.cfg.EpisodeSeed, f.Noise)}
	if f.SlowFactor > 0 {
		state.slowness.Slow(0, time.Duration(f.SlowForMS)*time.Millisecond, f.SlowFactor)
	}
	u.faults.Store(state)
	if f.Silence != "" {
		u.conns.Range(func(_, v any) bool {
			v.(*connState).silence.Store(&f.Silence)
			return true
		})
	}
}

// connSilence returns the Faults.Silence value that applies to the request's connection, or "" if there is none.
func connSilence(r *http.Request) string {
	if c, ok := r.Context().Value(connKey{}).(*connState); ok {
		if s := c.silence.Load(); s != nil {
			return *s
		}
	}
	return ""
}

func (f *faultState) refusesNewWork(now time.Time) bool {
	return f.Leaving && now.Sub(f.since) >= time.Duration(f.LeaveGraceMS)*time.Millisecond
}
