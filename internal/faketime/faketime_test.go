package faketime

import (
	"sync"
	"testing"
	"time"
)

// TestSimultaneousTimers guards against a crash of the race detector when goroutines receive from expired timers at the same time.
func TestSimultaneousTimers(t *testing.T) {
	for range 120 {
		Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for range 32 {
				wg.Go(func() {
					for range 50 {
						expired := time.After(time.Millisecond)
						time.Sleep(2 * time.Millisecond)
						<-expired
					}
				})
			}
			wg.Wait()
		})
	}
}
