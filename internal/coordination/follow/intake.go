package follow

import (
	"context"

	"github.com/gravitational/trace"
)

// intake says what is kept of the records of one read of a topic while they arrive, so that a read takes little more memory than the copy does afterwards,
// whatever other programs have written to the topic.
type intake struct {
	f     *Follower
	feed  int
	whole bool               // the read returns the newest record of each key
	stop  context.CancelFunc // ends the read; set with whole

	recordBytes int   // of the records that are kept whether they are valid or not
	keyBytes    int   // of the keys whose values are dropped
	keysOmitted bool  // keys were left out that this host does not know
	err         error // why the read was ended
}

// errValidityUnknown ends the read of a topic with more records than a host keeps unchecked, before it has the records on which their validity depends. It
// is read again after those.
var errValidityUnknown = trace.CompareFailed("the topic has many records whose validity is not known yet")

// keep implements Keep. Records in the log that count for nothing are dropped. In a read of a whole topic their keys are kept, see Follower.hold.
func (in *intake) keep(rec Record) (Record, bool) {
	if rec.Value == nil || in.f.cfg.Feeds[in.feed].Validate == nil {
		return rec, true
	}
	if in.err != nil {
		return Record{}, false
	}
	rec, ok := in.f.reduce(in.feed, rec)
	if !ok {
		return in.keepKey(rec)
	}
	if !in.whole { // the Store bounds what it keeps of a log
		return rec, true
	}
	limit := in.f.cfg.MaxUnusedBytes
	if size := rec.bytes() + unusedOverhead; in.recordBytes+size <= limit {
		in.recordBytes += size
		return rec, true
	}
	in.f.mu.Lock()
	defer in.f.mu.Unlock()
	if !in.f.validityKnown() {
		in.err = errValidityUnknown
		in.stop()
		return Record{}, false
	}
	if in.f.validity(in.feed, rec) == Valid {
		return rec, true
	}
	return in.keepKeyLocked(rec)
}

func (in *intake) keepKey(rec Record) (Record, bool) {
	in.f.mu.Lock()
	defer in.f.mu.Unlock()
	return in.keepKeyLocked(rec)
}

// keepKeyLocked drops the value of a record, and its key too if there are many. Keys that this host's copy has stay: they are not removed. f.mu must be held.
func (in *intake) keepKeyLocked(rec Record) (Record, bool) {
	if !in.whole {
		return Record{}, false
	}
	size := len(rec.Key) + unusedOverhead
	if in.keyBytes+size > in.f.cfg.MaxUnusedBytes && !in.f.has(in.feed, rec.Key) {
		in.keysOmitted = true
		return Record{}, false
	}
	in.keyBytes += size
	rec.Value = droppedValue
	return rec, true
}

// reduce returns a record without what no host uses of its value, or false if it is invalid whatever the other feeds hold. f.mu need not be held.
func (f *Follower) reduce(i int, rec Record) (Record, bool) {
	reduce := f.cfg.Feeds[i].Reduce
	if reduce == nil || rec.Value == nil || rec.dropped() {
		return rec, true
	}
	return reduce(rec)
}

// reduceState reduces the records of a peer's state, which may be of an earlier version that keeps all values. f.mu need not be held.
func (f *Follower) reduceState(i int, fs *FeedState) {
	if f.cfg.Feeds[i].Reduce == nil {
		return
	}
	for n, rec := range fs.Records {
		reduced, ok := f.reduce(i, rec)
		if !ok {
			reduced.Value = droppedValue
		}
		fs.Records[n] = reduced
	}
}

// has reports whether this host's copy of a feed has a record of a key that is or may be used. f.mu must be held.
func (f *Follower) has(i int, key string) bool {
	_, newest := f.newest[i][key]
	_, skipped := f.skipped[i][key]
	_, inherited := f.inherited[i][key]
	_, unconfirmed := f.unused[i].unconfirmed[key]
	return newest || skipped || inherited || unconfirmed
}

// validityKnown reports whether this host knows the records on which the validity of those of other feeds depends. f.mu must be held.
func (f *Follower) validityKnown() bool {
	for i, feed := range f.cfg.Feeds {
		if feed.Validate == nil && !feed.AllowGaps && f.nextOffsets[i] < 0 && len(f.inherited[i]) == 0 {
			return false
		}
	}
	return true
}
