package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// anonymousMemory returns the memory of a process in bytes that is not backed by files, as the kernel counts it.
func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// memoryWatch plays the platform's limit: a process that exceeds its memory is killed, and started again after a short delay.
type memoryWatch struct {
	mu      sync.Mutex
	peak    map[string]int64
	killed  map[string]int
	pausing map[string]bool // planned work: the process is stopped and started by the case
}

const (
	watchInterval = 5 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

func (r *rig) watchMemory(ctx context.Context, extra func(h *gatewayHost) int64) *memoryWatch {
	w := &memoryWatch{peak: map[string]int64{}, killed: map[string]int{}, pausing: map[string]bool{}}
	for _, h := range r.hosts {
		limit := int64(h.settings["memory_mb"].(int)) << 20
		go func() {
			for ctx.Err() == nil {
				time.Sleep(watchInterval)
				w.mu.Lock()
				pausing := w.pausing[h.name]
				w.mu.Unlock()
				if pausing || h.ended() {
					continue
				}
				used := anonymousMemory(h.cmd.Process.Pid)
				if extra != nil {
					used += extra(h)
				}
				w.mu.Lock()
				w.peak[h.name] = max(w.peak[h.name], used)
				w.mu.Unlock()
				if used <= limit {
					continue
				}
				r.note("%s uses %d MiB, more than its %d MiB: it is killed", h.name, used>>20, limit>>20)
				w.mu.Lock()
				w.killed[h.name]++
				w.mu.Unlock()
				h.cmd.Process.Signal(syscall.SIGKILL)
				<-h.done
				time.Sleep(restartDelay)
				if ctx.Err() == nil {
					r.start(h)
				}
			}
		}()
	}
	return w
}

func (w *memoryWatch) pause(h *gatewayHost, pausing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausing[h.name] = pausing
}
