package testbed

import (
	"sync"
	"time"
)

const bitsPerByte = 8

// bandwidth limits one direction of a Relay. All connections and datagrams of the direction share the limit.
type bandwidth struct {
	mu             sync.Mutex
	bytesPerSecond float64   // 0 for no limit
	free           time.Time // when the data that was reserved so far has been transferred
}

// set replaces the limit. Data that was reserved before keeps its time.
func (b *bandwidth) set(bitsPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesPerSecond, b.free = bitsPerSecond/bitsPerByte, time.Time{}
}

// reserve reserves the transfer of a number of bytes and returns the time at which it is complete.
func (b *bandwidth) reserve(size int, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytesPerSecond == 0 {
		return now
	}
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(size) / b.bytesPerSecond * float64(time.Second)))
	return b.free
}

// SetBandwidth limits each direction to a number of bits per second, which all connections and datagrams of the direction share; 0 means
// no limit.
func (r *Relay) SetBandwidth(bitsPerSecond float64) {
	r.toTarget.set(bitsPerSecond)
	r.fromTarget.set(bitsPerSecond)
}

// transferred returns the time at which a chunk or datagram of the given size has been transferred.
func (r *Relay) transferred(forward bool, size int) time.Time {
	if forward {
		return r.toTarget.reserve(size, time.Now())
	}
	return r.fromTarget.reserve(size, time.Now())
}
