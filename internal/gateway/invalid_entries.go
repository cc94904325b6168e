package gateway

import (
	"hash/maphash"
	"sync"

	"golang.org/x/time/rate"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/transport/errtext"
)

const (
	// invalidEntryLinesPerS and invalidEntryLineBurst bound the log lines of invalid entries. The counter of the metrics has them all.
	invalidEntryLinesPerS = 2
	invalidEntryLineBurst = 50
	// maxReportedEntries bounds the keys whose last reported entry is remembered. Beyond it, an entry that is read again may be reported again. A host keeps
	// about as many unconfirmed entries, which are validated again with each configuration.
	maxReportedEntries = 16384
	// maxLoggedKey is the maximum number of bytes that are logged of an entry's key.
	maxLoggedKey = 80
)

// invalidEntries reports entries in the topic of endpoints that do not count, once for each entry, however often it is read.
type invalidEntries struct {
	mu       sync.Mutex
	seed     maphash.Seed
	reported map[uint64]uint64 // by the hash of the key, the hash of the entry that was reported last
	lines    *rate.Limiter
}

func newInvalidEntries() *invalidEntries {
	return &invalidEntries{seed: maphash.MakeSeed(), reported: map[uint64]uint64{}, lines: rate.NewLimiter(invalidEntryLinesPerS, invalidEntryLineBurst)}
}

// report counts and logs an entry that does not count, unless it is the one of its key that was reported last.
func (i *invalidEntries) report(g *Gateway, r follow.Record, reason error) {
	key, hash := maphash.String(i.seed, r.Key), maphash.Bytes(i.seed, r.Value)
	i.mu.Lock()
	last, known := i.reported[key]
	if !known && len(i.reported) >= maxReportedEntries {
		clear(i.reported)
	}
	i.reported[key] = hash
	i.mu.Unlock()
	if known && last == hash {
		return
	}
	g.metrics.Add("entries_invalid_total", 1)
	if i.lines.Allow() {
		g.log.Warn("entry_invalid", "key", loggedKey(r.Key), "offset", r.Offset, "bytes", len(r.Value), "error", errtext.Bound(reason))
	}
}

// loggedKey returns as much of the key of a record as a line of the log has.
func loggedKey(key string) string { return key[:min(maxLoggedKey, len(key))] }
