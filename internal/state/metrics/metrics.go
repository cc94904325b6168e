// Package metrics holds the counters, gauges and histograms of a host and publishes them with expvar. Durations are recorded in HDR
// histograms, in shards that each have their own lock. The name of a metric ends with its unit.
package metrics

import (
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms. Durations are recorded in microseconds. Two significant digits keep one histogram below 32 KiB.
const (
	minDurationUS     = 1
	maxDurationUS     = 120_000_000
	significantDigits = 2
	histogramShards   = 4
)

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	shards [histogramShards]histogramShard
}

type histogramShard struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	h := &Histogram{}
	for i := range h.shards {
		h.shards[i].h = hdrhistogram.New(minDurationUS, maxDurationUS, significantDigits)
	}
	return h
}

// Record adds one duration. A duration above two minutes is recorded as two minutes.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), minDurationUS), maxDurationUS)
	s := &h.shards[rand.IntN(histogramShards)]
	s.mu.Lock()
	defer s.mu.Unlock()
	// RecordValue cannot fail because the value is within the histogram's range.
	_ = s.h.RecordValue(us)
}

// Summary holds the count and the percentiles of a histogram, in microseconds.
type Summary struct {
	Count  int64 `json:"count"`
	P50US  int64 `json:"p50_us"`
	P99US  int64 `json:"p99_us"`
	P999US int64 `json:"p999_us"`
	MaxUS  int64 `json:"max_us"`
}

// Summary returns the summary of all shards together.
func (h *Histogram) Summary() Summary {
	merged := hdrhistogram.New(minDurationUS, maxDurationUS, significantDigits)
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		merged.Merge(s.h)
		s.mu.Unlock()
	}
	return Summary{Count: merged.TotalCount(), P50US: merged.ValueAtPercentile(50), P99US: merged.ValueAtPercentile(99),
		P999US: merged.ValueAtPercentile(99.9), MaxUS: merged.Max()}
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	// Marshal cannot fail because a Summary contains only integers.
	text, _ := json.Marshal(h.Summary())
	return string(text)
}

// Registry holds the metrics of one host. The zero value is not usable; see New.
type Registry struct {
	root expvar.Map

	mu         sync.RWMutex
	counters   map[string]*atomic.Int64
	histograms map[string]*Histogram
}

// New returns an empty registry. It is not registered under a global name of expvar, so that tests can run several hosts in one
// process. The operator port serves it.
func New() *Registry {
	r := &Registry{counters: map[string]*atomic.Int64{}, histograms: map[string]*Histogram{}}
	r.root.Init()
	return r
}

// Add adds n to the counter with this name and creates it if it does not exist. The name ends with the unit, for example _total or
// _bytes_total.
func (r *Registry) Add(name string, n int64) {
	r.mu.RLock()
	c := r.counters[name]
	r.mu.RUnlock()
	if c == nil {
		c = r.counter(name)
	}
	c.Add(n)
}

func (r *Registry) counter(name string) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.counters[name]; c != nil {
		return c
	}
	c := &atomic.Int64{}
	r.counters[name] = c
	r.root.Set(name, expvar.Func(func() any { return c.Load() }))
	return c
}

// Observe records a duration in the histogram with this name and creates it if it does not exist. The name ends with _duration.
func (r *Registry) Observe(name string, d time.Duration) {
	r.mu.RLock()
	h := r.histograms[name]
	r.mu.RUnlock()
	if h == nil {
		h = r.histogram(name)
	}
	h.Record(d)
}

func (r *Registry) histogram(name string) *Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.histograms[name]; h != nil {
		return h
	}
	h := NewHistogram()
	r.histograms[name] = h
	r.root.Set(name, h)
	return h
}

// Gauge publishes a value. read is called for the value each time the metrics are read.
func (r *Registry) Gauge(name string, read func() any) { r.root.Set(name, expvar.Func(read)) }

// Value returns the value of a counter, or 0 if it does not exist.
func (r *Registry) Value(name string) int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if c := r.counters[name]; c != nil {
		return c.Load()
	}
	return 0
}

// String returns all metrics as one JSON object.
func (r *Registry) String() string { return r.root.String() }
