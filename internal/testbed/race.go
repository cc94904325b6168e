//go:build race

package testbed

import "os"

// raceOptions shortens the second that the race detector adds to the end of a process, which would not end within its grace time.
const raceOptions = "atexit_sleep_ms=100"

// Build enables the race detector in the programs if it is enabled in the test.
func init() {
	buildFlags = append(buildFlags, "-race")
	if os.Getenv("GORACE") == "" {
		os.Setenv("GORACE", raceOptions)
	}
}
