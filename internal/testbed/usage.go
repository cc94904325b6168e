package testbed

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc. Linux reports them to user space in hundredths of a second.
const clockTick = 10 * time.Millisecond

// CPUTime returns the processor time that the process has used, with a resolution of 10 ms.
func (p *Process) CPUTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	return parseStat(string(data))
}

// parseStat returns the sum of utime and stime, fields 14 and 15 of /proc/PID/stat. The second field is the program's name in
// parentheses, which may itself contain spaces and parentheses.
func parseStat(stat string) (time.Duration, error) {
	const utime, stime = 14 - 3, 15 - 3 // indexes relative to the first field after the name, field 3
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= stime {
		return 0, fmt.Errorf("/proc/PID/stat has too few fields: %q", stat)
	}
	user, err1 := strconv.ParseInt(fields[utime], 10, 64)
	system, err2 := strconv.ParseInt(fields[stime], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fmt.Errorf("/proc/PID/stat has no processor times: %q", stat)
	}
	return time.Duration(user+system) * clockTick, nil
}

// MemStats is the part of runtime.MemStats that measurements use.
type MemStats struct {
	Mallocs    uint64
	TotalAlloc uint64
	HeapSys    uint64
}

// MemStats reads the daemon's memory statistics from /debug/vars on its operator port.
func (h *EntryHost) MemStats(ctx context.Context) (*MemStats, error) {
	var vars struct {
		MemStats *MemStats `json:"memstats"`
	}
	if err := h.getFromOperatorPort(ctx, "/debug/vars", &vars); err != nil {
		return nil, err
	}
	if vars.MemStats == nil {
		return nil, fmt.Errorf("/debug/vars of %s has no memstats", h.Name)
	}
	return vars.MemStats, nil
}

// LoadAverage returns the machine's load averages over 1, 5 and 15 minutes, or "unknown". Reports include them because results
// measured on a busy machine can't be interpreted without them.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
