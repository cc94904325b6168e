// Package hangup keeps SIGHUP from ending a process that has not installed its handler yet. Programs import it for this effect. It imports
// little, so that it is initialized before most other packages. In builds with cgo it ignores the signal already before the Go runtime starts.
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
