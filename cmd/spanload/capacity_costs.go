package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// costs is a reading of one daemon.
type costs struct {
	cpu   time.Duration
	bytes map[string]float64 // control bytes by mechanism, both directions
	heap  float64            // bytes in use
}

// controlMechanisms are the prefixes of the daemon's byte counters.
var controlMechanisms = []string{"log", "host_list", "gossip", "peers_opened", "peers_accepted"}

func readCosts(ctx context.Context, h *testbed.EntryHost) (*costs, error) {
	var vars struct {
		Own map[string]json.RawMessage  `json:"arbutusspan"`
		Mem struct{ HeapInuse float64 } `json:"memstats"`
	}
	if err := operatorGet(ctx, h, "/debug/vars", &vars); err != nil {
		return nil, err
	}
	c := &costs{bytes: map[string]float64{}, heap: vars.Mem.HeapInuse}
	for _, name := range controlMechanisms {
		for _, direction := range []string{"_sent_bytes", "_received_bytes"} {
			v, err := strconv.ParseFloat(string(vars.Own[name+direction]), 64)
			if err != nil {
				return nil, fmt.Errorf("counter %s%s: %w", name, direction, err)
			}
			c.bytes[name] += v
		}
	}
	var err error
	c.cpu, err = schedulerTime(h.Process.PID())
	return c, err
}

// schedulerTime returns the processor time of all threads of a process. /proc/PID/stat counts in steps of 10 ms, which is as much as
// an idle daemon uses in a second.
func schedulerTime(pid int) (time.Duration, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, fmt.Errorf("no schedstat of process %d: %v", pid, err)
	}
	var total time.Duration
	for _, path := range threads {
		data, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		var ns int64
		if _, err := fmt.Sscan(string(data), &ns); err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// rss returns the resident memory of a process in KiB.
func rss(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS", pid)
}

// observe measures hosts for m.repeats windows while during runs, which may be nil. The names tell the hosts apart.
func (m *capacity) observe(ctx context.Context, s *sweep, x int, hosts map[string]*testbed.EntryHost, during func(context.Context, time.Duration) error) error {
	select {
	case <-time.After(m.settle):
	case <-ctx.Done():
		return ctx.Err()
	}
	for repeat := range m.repeats {
		before := map[string]*costs{}
		for name, h := range hosts {
			c, err := readCosts(ctx, h)
			if err != nil {
				return err
			}
			before[name] = c
		}
		began := time.Now()
		var err error
		if during != nil {
			err = during(ctx, m.window)
		}
		time.Sleep(time.Until(began.Add(m.window)))
		if err != nil {
			return err
		}
		for name, h := range hosts {
			if err := m.record(ctx, s, x, repeat, name, h, before[name], began); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *capacity) record(ctx context.Context, s *sweep, x, repeat int, name string, h *testbed.EntryHost, before *costs, began time.Time) error {
	after, err := readCosts(ctx, h)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	memory, err := rss(h.Process.PID())
	if err != nil {
		return err
	}
	m.add(s, x, repeat, name+"cpu_us_per_s", float64((after.cpu-before.cpu).Microseconds())/seconds)
	m.add(s, x, repeat, name+"rss_kib", memory)
	m.add(s, x, repeat, name+"heap_in_use_kib", after.heap/1024)
	for _, mechanism := range controlMechanisms {
		m.add(s, x, repeat, name+mechanism+"_bytes_per_s", (after.bytes[mechanism]-before.bytes[mechanism])/seconds)
	}
	return nil
}
