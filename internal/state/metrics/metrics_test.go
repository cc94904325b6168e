package metrics

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConcurrentUse guards against lost counts and invalid JSON when several goroutines record metrics at the same time.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	r := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 1000 {
				r.Add("requests_total", 1)
				r.Observe("request_duration", time.Duration(i)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	var doc struct {
		Requests int64   `json:"requests_total"`
		Duration Summary `json:"request_duration"`
	}
	is.NoErr(json.Unmarshal([]byte(r.String()), &doc))
	is.Equal(doc.Requests, int64(8000))
	is.Equal(doc.Duration.Count, int64(8000))
	is.True(doc.Duration.P50US >= 495_000 && doc.Duration.P50US <= 505_000) // two significant digits
}

// TestDurationsOutsideTheRange guards against durations that are not recorded because they are outside the histogram's range.
func TestDurationsOutsideTheRange(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	h.Record(-time.Second)
	h.Record(time.Hour)
	is.Equal(h.Summary().Count, int64(2))
}
