//go:build race

package testbed

// Build enables the race detector in the programs if it is enabled in the test.
func init() { buildFlags = append(buildFlags, "-race") }
