package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
)

// UpstreamConfig configures an upstream endpoint.
type UpstreamConfig struct {
	Incarnation  string
	Slots        int           // requests that run at the same time
	Backlog      int           // requests that may wait for a slot; further ones are refused
	MeanWork     time.Duration // mean work time of a request
	Sigma        float64       // spread of the log-normal work time; 0 means that each request takes MeanWork
	Seed         uint64        // seed of the work times, and of the slow episodes if EpisodeSeed is 0
	EpisodeSeed  uint64        // seed of the slow episodes; 0 means Seed
	ColdRequests int           // number of requests after the start that take ColdFactor times longer
	ColdFactor   float64
	NetworkDelay time.Duration // one-way network delay, applied before a request is handled and before its response is sent
	MaxRecords   int           // maximum number of records and of arrivals that are kept; 0 means defaultMaxRecords
}

const (
	// defaultBacklog is far above the number of requests that wait in tests without load.
	defaultBacklog    = 1024
	defaultMaxRecords = 1 << 18
	// maxLoadSamples bounds the load samples that are kept for Faults.LoadLagMS.
	maxLoadSamples = 4096
)

// Record describes a request that ran.
type Record struct {
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Body       string `json:"body"` // at most the first maxRecordBody bytes
}

const maxRecordBody = 256

// Arrival describes a request or a health probe that reached the endpoint, whether or not it ran.
type Arrival struct {
	RequestID string `json:"request_id,omitempty"`
	At        int64  `json:"at"` // Unix time in microseconds
	Probe     bool   `json:"probe,omitempty"`
}

// Time returns when the request arrived.
func (a Arrival) Time() time.Time { return time.UnixMicro(a.At) }

// Stats counts requests by outcome. InFlight and Waiting are the current numbers.
type Stats struct {
	Ran            int64 `json:"ran"`
	Shed           int64 `json:"shed"`            // refused because the backlog was full or Faults.Shed was set
	Expired        int64 `json:"expired"`         // refused because the deadline passed before a slot was free
	Cancelled      int64 `json:"cancelled"`       // the client cancelled before a slot was free
	RefusedLeaving int64 `json:"refused_leaving"` // refused during a drain
	FailedFast     int64 `json:"failed_fast"`     // failed because Faults.FailFast was set
	Measuring      int64 `json:"measuring"`       // requests to /healthz
	InFlight       int64 `json:"in_flight"`
	Waiting        int64 `json:"waiting"`
	DroppedRecords int64 `json:"dropped_records"` // records and arrivals beyond UpstreamConfig.MaxRecords
}

// Upstream is the stand-in for one upstream endpoint.
type Upstream struct {
	cfg    UpstreamConfig
	slots  chan struct{}
	conns  sync.Map // net.Conn -> *connState
	faults atomic.Pointer[faultState]

	mu          sync.Mutex
	stats       Stats
	records     []Record
	arrivals    []Arrival
	loadSamples []loadSample // newest last
}

// loadSample is the number of requests in flight from a moment on.
type loadSample struct {
	at       time.Time
	inFlight int64
}

// NewUpstream returns an upstream endpoint without faults.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	if cfg.EpisodeSeed == 0 {
		cfg.EpisodeSeed = cfg.Seed
	}
	u := &Upstream{cfg: cfg, slots: make(chan struct{}, cfg.Slots)}
	u.SetFaults(Faults{})
	return u
}

// Handler returns the handler of requests, of health probes, and of the stand-in's control API under /standin/.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/ran", func(w http.ResponseWriter, _ *http.Request) {
		ids := []string{}
		for _, r := range u.Records() {
			ids = append(ids, r.RequestID)
		}
		json.NewEncoder(w).Encode(ids)
	})
	mux.HandleFunc("GET /standin/records", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(u.Records()) })
	mux.HandleFunc("GET /standin/arrivals", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(u.Arrivals()) })
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(u.Stats()) })
	mux.HandleFunc("PUT /standin/faults", u.putFaults)
	mux.HandleFunc("GET /healthz", u.serveHealth)
	mux.HandleFunc("/", u.serve)
	return mux
}

// Records returns the requests that ran, in the order in which they started.
func (u *Upstream) Records() []Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Record{}, u.records...)
}

// Arrivals returns the requests and health probes that reached the endpoint, in order.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival{}, u.arrivals...)
}

func (u *Upstream) recordArrival(id string, probe bool) {
	u.updateStats(func(s *Stats) {
		if len(u.arrivals) >= u.cfg.MaxRecords {
			s.DroppedRecords++
			return
		}
		u.arrivals = append(u.arrivals, Arrival{id, time.Now().UnixMicro(), probe})
	})
}

// Stats returns the counts so far.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stats
}

func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), u.cfg.NetworkDelay) {
		return
	}
	u.recordArrival(repeatID(w, r), true)
	u.updateStats(func(s *Stats) { s.Measuring++ })
	f := u.faults.Load()
	if !sleep(r.Context(), time.Duration(f.HealthDelayMS)*time.Millisecond) {
		return
	}
	u.setStateHeaders(w.Header(), f)
	if !sleep(r.Context(), u.cfg.NetworkDelay) {
		return
	}
	if !f.HealthOK && (f.FailFast || f.refusesNewWork(time.Now())) {
		http.Error(w, "not ok", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

func (u *Upstream) updateStats(change func(*Stats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.stats)
}

// repeatID adds the request's id to the response, which shows whose response it is, and returns it.
func repeatID(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get(callerapi.UpstreamRequestID)
	if id != "" {
		w.Header().Set(callerapi.UpstreamRequestID, id)
	}
	return id
}

// setStateHeaders sets the headers of the upstream's state, incarnation and load, which every response carries.
func (u *Upstream) setStateHeaders(h http.Header, f *faultState) {
	state := callerapi.StateLive
	if f.Leaving {
		state = callerapi.StateLeaving
	}
	h.Set(callerapi.UpstreamState, state)
	h.Set(callerapi.UpstreamIncarnation, u.cfg.Incarnation)
	h.Set(callerapi.UpstreamLoad, u.loadReport(f, time.Now()))
}

func (u *Upstream) loadReport(f *faultState, now time.Time) string {
	if f.LoadReport != "" {
		return f.LoadReport
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	inFlight := u.stats.InFlight
	if f.LoadLagMS > 0 {
		inFlight = 0
		asOf := now.Add(-time.Duration(f.LoadLagMS) * time.Millisecond)
		for i := len(u.loadSamples) - 1; i >= 0; i-- {
			if !u.loadSamples[i].at.After(asOf) {
				inFlight = u.loadSamples[i].inFlight
				break
			}
		}
	}
	return fmt.Sprintf("%d/%d", inFlight, u.cfg.Slots)
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.recordArrival(repeatID(w, r), false)
	f := u.faults.Load()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if connSilence(r) == SilenceRequest {
		<-r.Context().Done()
		return
	}
	deadline := requestDeadline(r)
	if !sleep(r.Context(), u.cfg.NetworkDelay) {
		u.updateStats(func(s *Stats) { s.Cancelled++ })
		return
	}
	if f.FailFast {
		u.updateStats(func(s *Stats) { s.FailedFast++ })
		u.setStateHeaders(w.Header(), f)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if f.refusesNewWork(time.Now()) {
		u.refuse(w, f, "leaving", func(s *Stats) { s.RefusedLeaving++ })
		return
	}
	if f.Shed {
		u.refuse(w, f, "shedding", func(s *Stats) { s.Shed++ })
		return
	}
	if !u.acquireSlot(w, r, f, deadline) {
		return
	}
	f = u.faults.Load() // faults that were set while the request waited apply to it
	completed := u.run(r, f, body)
	if !completed || !sleep(r.Context(), u.cfg.NetworkDelay) {
		return
	}
	if connSilence(r) == SilenceResponse {
		<-r.Context().Done()
		return
	}
	u.writeResponse(w, r, f, body)
}

// acquireSlot waits in the backlog for a slot and reports whether the request got one. If the backlog is full or the deadline
// passes, it writes the refusal.
func (u *Upstream) acquireSlot(w http.ResponseWriter, r *http.Request, f *faultState, deadline <-chan time.Time) bool {
	if !u.enterBacklog() {
		u.refuse(w, f, "backlog full", func(s *Stats) { s.Shed++ })
		return false
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		u.updateStats(func(s *Stats) { s.Waiting--; s.Cancelled++ })
		return false
	case <-deadline:
		u.refuse(w, f, "deadline passed", func(s *Stats) { s.Waiting--; s.Expired++ })
		return false
	}
	// If several cases are ready, select picks one at random. A request must not run after its client cancelled or its deadline
	// passed, so both are checked again.
	select {
	case <-deadline:
		<-u.slots
		u.refuse(w, f, "deadline passed", func(s *Stats) { s.Waiting--; s.Expired++ })
		return false
	default:
	}
	if r.Context().Err() != nil {
		<-u.slots
		u.updateStats(func(s *Stats) { s.Waiting--; s.Cancelled++ })
		return false
	}
	return true
}

func (u *Upstream) enterBacklog() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stats.Waiting+u.stats.InFlight >= int64(u.cfg.Slots+u.cfg.Backlog) {
		return false
	}
	u.stats.Waiting++
	return true
}

// run records the request and sleeps for its work time. It reports whether the work was completed; it returns early if the
// client cancels. It frees the slot.
func (u *Upstream) run(r *http.Request, f *faultState, body []byte) bool {
	defer func() { <-u.slots }()
	sum := sha256.Sum256(body)
	id := r.Header.Get(callerapi.UpstreamRequestID)
	rec := Record{RequestID: id, Method: r.Method, Path: r.URL.Path, BodySHA256: hex.EncodeToString(sum[:]),
		Body: string(body[:min(len(body), maxRecordBody)])}
	work := WorkTime(u.cfg.Seed, id, u.cfg.MeanWork, u.cfg.Sigma)
	now := time.Now()
	u.updateStats(func(s *Stats) {
		if s.Ran < int64(u.cfg.ColdRequests) {
			work = time.Duration(float64(work) * u.cfg.ColdFactor)
		}
		if len(u.records) < u.cfg.MaxRecords {
			u.records = append(u.records, rec)
		} else {
			s.DroppedRecords++
		}
		s.Ran++
		s.Waiting--
		u.changeInFlight(1, now)
	})
	defer u.updateStats(func(*Stats) { u.changeInFlight(-1, time.Now()) })
	start := now.Sub(f.since)
	return sleep(r.Context(), f.slowness.End(start, work)-start)
}

// changeInFlight changes the number of requests in flight and records a load sample. The caller must hold u.mu.
func (u *Upstream) changeInFlight(delta int64, now time.Time) {
	u.stats.InFlight += delta
	if len(u.loadSamples) >= maxLoadSamples {
		u.loadSamples = append(u.loadSamples[:0], u.loadSamples[maxLoadSamples/2:]...)
	}
	u.loadSamples = append(u.loadSamples, loadSample{now, u.stats.InFlight})
}

func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, f *faultState, body []byte) {
	u.setStateHeaders(w.Header(), f)
	text := fmt.Sprintf("%s %s %s %s", r.Method, r.URL.Path, r.Header.Get(callerapi.UpstreamRequestID), body)
	if f.CutBodies {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(w, text[:len(text)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
}

// refuse writes a refusal with Upstream-Ran: no, which states that the request was not run.
func (u *Upstream) refuse(w http.ResponseWriter, f *faultState, reason string, change func(*Stats)) {
	u.updateStats(change)
	u.setStateHeaders(w.Header(), f)
	w.Header().Set(callerapi.UpstreamRan, "no")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// requestDeadline returns a channel that receives a value once the time in Upstream-Deadline-Ms has passed, or nil if the header
// is missing or invalid.
func requestDeadline(r *http.Request) <-chan time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(callerapi.UpstreamDeadlineMS), 10, 64)
	if err != nil {
		return nil
	}
	return time.After(time.Duration(ms) * time.Millisecond)
}

// sleep waits for d. It reports whether the context was still active at the end; it returns early if the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
