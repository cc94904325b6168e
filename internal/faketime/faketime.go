// Package faketime runs tests on the fake clock of testing/synctest.
package faketime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble with GOMAXPROCS set to 1. Tests that use it must not run in parallel with other tests.
//
// All timers of a bubble share one context of the race detector. With a higher GOMAXPROCS, two goroutines that receive from
// expired timers at the same time use that context concurrently, and the process crashes inside the race detector (Go 1.26.8).
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
