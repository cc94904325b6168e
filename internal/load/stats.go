package load

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minRecordedLatency = int64(time.Microsecond)
	maxRecordedLatency = int64(2 * time.Minute)
	significantDigits  = 3
)

// Histogram records latencies with three significant digits. It is not safe for concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdrhistogram.New(minRecordedLatency, maxRecordedLatency, significantDigits)}
}

// Record adds a latency. Latencies below 1 µs or above 2 min count as 1 µs or 2 min.
func (h *Histogram) Record(d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.h.RecordValue(min(max(int64(d), minRecordedLatency), maxRecordedLatency))
}

// Merge adds all latencies of another histogram.
func (h *Histogram) Merge(from *Histogram) { h.h.Merge(from.h) }

// Summary holds the quantiles and the maximum of latencies, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Summary returns the quantiles and the maximum of the recorded latencies.
func (h *Histogram) Summary() Summary {
	at := func(q float64) float64 { return ms(time.Duration(h.h.ValueAtQuantile(q))) }
	return Summary{Count: h.h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: ms(time.Duration(h.h.Max()))}
}

// Summarize returns the exact quantiles and the maximum of values, which may be negative, such as differences of latencies.
func Summarize(values []time.Duration) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	at := func(q float64) float64 { return ms(quantile(values, q)) }
	return Summary{Count: int64(len(values)), P50: at(0.5), P99: at(0.99), P999: at(0.999), Max: at(1)}
}

// quantile returns the smallest of the values such that at least a fraction q of them is not above it. It needs at least one value.
func quantile(values []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}
