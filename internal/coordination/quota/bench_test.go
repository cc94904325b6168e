package quota

import (
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// BenchmarkAcquire measures a request on the coordinator itself, in nanoseconds.
func BenchmarkAcquire(b *testing.B) {
	now := simBegin
	l := New(Config{Tolerance: tolerance, Host: "a", Zone: "z", Limit: func(string) (Limit, bool) { return Limit{1e6, 1e6, 1}, true }, Limited: func() []string { return nil },
		LastMessage: func(string) time.Time { return now }, Quorum: func(time.Time) (int, int) { return 3, 3 }, QuorumWindow: func() time.Duration { return minTakeoverTime },
		Hosts: func(time.Time) map[string][]peers.Host { return map[string][]peers.Host{"z": {{Name: "a", Zone: "z"}}} }, OnEvent: func(string, ...any) {}}, now)
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		l.lastTick = now
		l.begin("norte", false, now)
	}
	runtime.KeepAlive(l)
	b.ReportMetric(float64(unsafe.Sizeof(bucket{})+unsafe.Sizeof(coordinated{})), "bytes/bucket")
	b.ReportMetric(float64(unsafe.Sizeof(holding{})), "bytes/holding")
}
