package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
)

// storeHealth tracks the results of this host's calls to the store. A host that gets updates from its peers may not call the store for a
// long time, so the times of the calls are kept, too. It is safe for concurrent use.
type storeHealth struct {
	mu                 sync.Mutex
	lastOK, lastFailed time.Time // zero if there was none
	lastError          string    // error of the last failed call
}

// record adds the result of a call. A call that this host cancelled says nothing about the store. ErrTruncated is an answer.
func (h *storeHealth) record(err error, now time.Time) {
	if errors.Is(err, context.Canceled) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil || errors.Is(err, follow.ErrTruncated) {
		h.lastOK = now
		return
	}
	h.lastFailed, h.lastError = now, err.Error()
}

// describe fills in the fields of a dump.
func (h *storeHealth) describe(d *Dump, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d.StoreOKMS, d.StoreFailedMS = sinceMS(h.lastOK, now), sinceMS(h.lastFailed, now)
	if h.lastFailed.After(h.lastOK) {
		d.StoreError = h.lastError
	}
}

// sinceMS returns the milliseconds since t, or -1 if t is zero.
func sinceMS(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return ms(now.Sub(t))
}
