package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// MaxHosts is the maximum number of hosts of a run.
const MaxHosts = 200

const (
	usualHosts = 5
	largeShare = 0.1      // part of the seeds that run as many hosts as the machine bears
	hostMemory = 64 << 20 // bytes that one host process may need
	maxCallers = 120
	// callerDelay lets the reset of a connection overtake a response.
	callerDelay = 8 * time.Millisecond
	// maxPeerRelays is the number of hosts with a relay in front of their peers' port. A relay needs a socket for each sending host, so that
	// relays for 200 hosts need more than the process may open.
	maxPeerRelays = 30
)

// callerCount returns the number of callers.
func (s *soak) callerCount() int { return min(s.Hosts*callersPerHost, maxCallers) }

// callerDelay returns the one-way delay between a host and its callers, which half of the hosts have.
func (s *soak) callerDelay(host int) time.Duration {
	if rand.New(rand.NewPCG(s.Seed, uint64(100_000+host))).IntN(2) == 0 {
		return 0
	}
	return callerDelay
}

// drawHosts sets the number of hosts, which depends on the seed and, for a part of the seeds, on the free memory. As many hosts as the
// machine bears leave no processor idle, so that the checks with time bounds do not apply to them.
func (s *soak) drawHosts() error {
	s.Hosts = usualHosts
	if rand.New(rand.NewPCG(s.Seed, 13)).Float64() >= largeShare {
		return nil
	}
	free, err := freeMemory()
	s.Hosts, s.Timed = int(min(MaxHosts, max(usualHosts, free/2/hostMemory))), false
	return err
}

// freeMemory returns the memory in bytes that new processes can use without swapping.
func freeMemory() (int64, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	var total, free, available int64 // kB
	if _, err := fmt.Sscanf(string(data), "MemTotal: %d kB\nMemFree: %d kB\nMemAvailable: %d kB", &total, &free, &available); err != nil {
		return 0, trace.BadParameter("/proc/meminfo: %v", err)
	}
	return available << 10, nil
}
