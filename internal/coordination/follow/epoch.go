package follow

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Position is a host's place in the store's logs. Offsets of two epochs cannot be compared.
type Position struct {
	Epoch   int64   // epoch of the store that the offsets belong to
	Offsets []int64 // offset of the next record of each feed; -1 for a feed that was not read in this epoch
}

// Inherited is a record of an earlier epoch that is in force because the store lacks its key.
type Inherited struct {
	Record Record `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"` // epoch that the record's offset belongs to
}

// Departure is a key that was removed from a topic.
type Departure struct {
	Last   Record `cbor:"1,keyasint"` // the record that was removed; only its key if this host did not have the record
	Epoch  int64  `cbor:"2,keyasint"` // epoch of the store in which it was removed
	Offset int64  `cbor:"3,keyasint"` // offset of the removal in this epoch
	AgeMS  int64  `cbor:"4,keyasint"` // time since the removal, in messages between hosts
	at     time.Time
}

// after reports whether the removal is newer than a record. A removal in a later epoch is, since the store lists or lacks keys by what
// their owners have written since.
func (d Departure) after(rec Inherited) bool {
	return d.Epoch > rec.Epoch || d.Epoch == rec.Epoch && d.Offset > rec.Record.Offset
}

// EpochChange describes the begin of an epoch of the store, for logs.
type EpochChange struct {
	Old, New int64
	FromPeer bool // a peer's message named the new epoch, not an answer of the store
	HadCopy  bool // this host had a copy of the earlier epoch
	Kept     int  // number of records of earlier epochs that stay in force until the store's records replace them
}

// Skip describes a record of the store that a host does not use, for logs: its key was removed in an earlier epoch, and the record may be from the copy
// from which the store returned.
type Skip struct {
	Topic, Key string
	Offset     int64 // of the record
	CopyEnd    int64 // the copy ends here or earlier
	RemovedIn  int64 // epoch of the removal
	RemovedAt  int64 // its offset
}

// unknownEnd is the value of Follower.copyEnd before a topic is read in an epoch.
const unknownEnd = -1

// noOffset is the offset that handlers see in records that the store does not have in the current epoch.
const noOffset = -1

// maxUnknownDepartures is the number of removed keys beyond which a host no longer remembers those of which it had no record. Other programs may write and
// remove any number of keys.
const maxUnknownDepartures = 4096

// departureLifetime is how long removed keys are remembered. Within this time, a store that returned from a copy with such a key has removed
// the key again.
const departureLifetime = time.Minute

// errEarlierEpoch is returned by Refresh if an answer of the store belongs to an earlier epoch than the one that this host knows.
var errEarlierEpoch = trace.CompareFailed("an answer of the store belongs to an earlier epoch and was dropped")

// Epoch returns the highest epoch of the store that this host knows.
func (f *Follower) Epoch() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch
}

// Complete reports whether this host has a copy of all feeds in the current epoch.
func (f *Follower) Complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete()
}

// complete is Complete with f.mu held.
func (f *Follower) complete() bool {
	for _, next := range f.nextOffsets {
		if next < 0 {
			return false
		}
	}
	return true
}

// Append appends a record to a topic of the store, and returns the epoch of the store that acknowledged it, which may have ended since.
func (f *Follower) Append(ctx context.Context, topic, key string, value []byte) (epoch int64, err error) {
	epoch, err = f.cfg.Store.Append(ctx, topic, key, value)
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch > f.epoch {
		f.beginEpoch(epoch, false)
		f.wakeRun()
	}
	return epoch, err
}

// beginEpoch begins a higher epoch. What was known by offset ends: all feeds have to be read again as a whole. The records themselves stay
// in force as inherited ones until the store has newer ones or settleEpoch removes them. f.mu must be held.
func (f *Follower) beginEpoch(epoch int64, fromPeer bool) {
	f.revision++
	change := EpochChange{Old: f.epoch, New: epoch, FromPeer: fromPeer, HadCopy: !f.asOf.IsZero()}
	f.epoch, f.epochSince, f.announceEpoch = epoch, time.Time{}, !fromPeer
	f.rechecked = false
	f.progress.beginEpoch(change.Old, epoch)
	for i := range f.cfg.Feeds {
		for key, rec := range f.newest[i] {
			rec.Ahead = false
			f.inherited[i][key] = Inherited{rec, change.Old}
		}
		for key, d := range f.departed[i] { // the copy may be as old as the time before an outage
			d.at = time.Now()
			f.departed[i][key] = d
		}
		f.newest[i], f.removed[i], f.nextOffsets[i] = map[string]Record{}, removals{}, -1
		f.announced[i], f.readAt[i] = 0, time.Time{}
		f.readWhole[i], f.skipped[i], f.unused[i] = false, map[string]Record{}, newUnusedRecords(f.cfg.MaxUnusedBytes)
		f.copyEnd[i] = unknownEnd
		change.Kept += len(f.inherited[i])
	}
	f.epochChanged = change.HadCopy || change.Kept > 0 // before its first copy is complete, a host may have some feeds
	f.cfg.OnEpochChange(change)
}

// recordEpochAnswer records that the store has answered in the current epoch. f.mu must be held.
func (f *Follower) recordEpochAnswer(at time.Time) {
	if f.epochChanged && (f.epochSince.IsZero() || at.Before(f.epochSince)) {
		f.epochSince = at
	}
}

// recordEpochAge records how long the current epoch has lasted according to a peer, in milliseconds; 0 if the peer does not know. inherits
// is set if the peer has inherited records. f.mu must be held.
func (f *Follower) recordEpochAge(ageMS int64, inherits bool, received time.Time) {
	f.epochChanged = f.epochChanged || inherits
	if ageMS > 0 {
		f.epochChanged = true
		f.recordEpochAnswer(received.Add(-time.Duration(ageMS) * time.Millisecond))
	}
}

// epochAgeMS returns how long ago the store was first known to answer in the current epoch, in milliseconds, at least 1. It is 0 if the
// epoch has not changed since this host started, or the store has not answered since. f.mu must be held.
func (f *Follower) epochAgeMS(now time.Time) int64 {
	if f.epochSince.IsZero() {
		return 0
	}
	return max(1, now.Sub(f.epochSince).Milliseconds())
}

// recentEpochChange reports whether owners may not yet have written their records again after a change of the epoch. f.mu must be held.
func (f *Follower) recentEpochChange(now time.Time) bool {
	return f.epochChanged && (f.epochSince.IsZero() || now.Sub(f.epochSince) < renewalGracePeriod)
}

// settleEpoch ends the change of the epoch once the copy contains all changes up to renewalGracePeriod after the store's first answer or the
// end of an outage. Inherited records that their owners have not written again are removed. If the store listed keys that were removed in
// an earlier epoch, the topic is read or fetched as a whole once more: a peer that did not know of the removal leaves renewals of the key
// out of its updates. settleEpoch also forgets old departures. f.mu must be held.
func (f *Follower) settleEpoch(now time.Time) {
	since := f.epochSince
	if f.lastOutageEnd.After(since) {
		since = f.lastOutageEnd
	}
	recheck, due := false, f.epochChanged && !f.epochSince.IsZero() && f.complete() && !f.behind && !f.asOf.Before(since.Add(renewalGracePeriod))
	for i, feed := range f.cfg.Feeds {
		for key, d := range f.departed[i] {
			if now.Sub(d.at) > departureLifetime {
				delete(f.departed[i], key)
				if _, listed := f.skipped[i][key]; listed { // the endpoint runs, and this host has learned of no change since
					f.readWhole[i], recheck = true, true
				}
			}
		}
		if !due {
			continue
		}
		if len(f.skipped[i]) > 0 && !f.rechecked {
			f.readWhole[i], recheck = true, true
		}
		if feed.KeepMissing {
			continue
		}
		for key := range f.inherited[i] {
			f.depart(i, key, f.nextOffsets[i]-1, now)
			feed.Handler.Apply(Record{Key: key, Offset: noOffset}, f.recentOutage(now), now)
		}
	}
	if recheck {
		f.rechecked, f.behind = true, true
		f.wakeRun()
	}
}

// depart deletes a key from the copy and remembers its last record. offset is the offset of the removal. f.mu must be held.
func (f *Follower) depart(i int, key string, offset int64, now time.Time) {
	f.revision++
	last, ok := f.newest[i][key]
	if held, inherited := f.inherited[i][key]; inherited {
		last, ok = held.Record, true
	}
	earlier, departed := f.departed[i][key]
	if !ok {
		last = Record{Key: key}
		if departed {
			last = earlier.Last
		}
	}
	if ok || departed || len(f.departed[i]) < maxUnknownDepartures {
		f.departed[i][key] = Departure{Last: last, Epoch: f.epoch, Offset: offset, at: now}
	}
	delete(f.inherited[i], key)
	delete(f.newest[i], key)
	delete(f.skipped[i], key)
	f.unused[i].forget(key)
}

// superseded reports whether a record of the store belongs to a key that was removed in an earlier epoch and may not have been written since: the
// store returned from a copy that still has it. The content alone does not tell, because updates leave out records that only renew a key.
// f.mu must be held.
func (f *Follower) superseded(i int, rec Record) bool {
	d, ok := f.departed[i][rec.Key]
	if !ok || d.Epoch == f.epoch {
		return false
	}
	if rec.Offset >= d.Offset { // a copy with this offset has the removal before it
		return false
	}
	if rec.Offset < f.copyEnd[i] {
		return true
	}
	order, _ := f.cfg.Feeds[i].Handler.Compare(rec, d.Last)
	return order < 0
}

// skip leaves a superseded record of the store unused. f.mu must be held.
func (f *Follower) skip(i int, rec Record) {
	if known, ok := f.skipped[i][rec.Key]; !ok || known.Offset != rec.Offset {
		d := f.departed[i][rec.Key]
		f.cfg.OnSkip(Skip{Topic: f.cfg.Feeds[i].Topic, Key: rec.Key, Offset: rec.Offset, CopyEnd: f.copyEnd[i], RemovedIn: d.Epoch, RemovedAt: d.Offset})
	}
	f.skipped[i][rec.Key] = rec
}

// endedBy reports whether a removal ends a record of an earlier epoch: it came later, or the record may be from a copy of the store and is not newer
// than the one that was removed. f.mu must be held.
func (f *Follower) endedBy(i int, rec Inherited, d Departure) bool {
	order, _ := f.cfg.Feeds[i].Handler.Compare(rec.Record, d.Last)
	return d.after(rec) || order < 0 || order == 0 && rec.Record.Offset < d.Offset
}

// installInherited adds what a peer knows of earlier epochs to what this host knows. f.mu must be held.
func (f *Follower) installInherited(i int, fs FeedState, recentOutage bool, now time.Time) {
	feed := f.cfg.Feeds[i]
	for _, d := range fs.Departed {
		key := d.Last.Key
		held, ok := f.inherited[i][key]
		if known, left := f.departed[i][key]; left && (known.Epoch > d.Epoch || known.Epoch == d.Epoch && known.Offset >= d.Offset) || ok && !f.endedBy(i, held, d) {
			continue
		}
		f.revision++
		d.at = now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
		f.departed[i][key] = d
		listed, inCopy := f.newest[i][key]
		if inCopy && !f.superseded(i, listed) {
			delete(f.departed[i], key)
			continue
		}
		if inCopy {
			delete(f.newest[i], key)
			f.skip(i, listed)
		}
		if ok || inCopy {
			delete(f.inherited[i], key)
			feed.Handler.Apply(Record{Key: key, Offset: noOffset}, recentOutage, now)
		}
	}
	if !feed.KeepMissing && !f.recentEpochChange(now) {
		return
	}
	for _, rec := range fs.Inherited {
		if f.invalid(i, rec.Record) {
			continue
		}
		key := rec.Record.Key
		_, listed := f.newest[i][key]
		held, ok := f.inherited[i][key]
		d, left := f.departed[i][key]
		if listed {
			rec.Record.Ahead = true
			f.adoptAhead(i, rec.Record, now)
		}
		if listed || left && f.endedBy(i, rec, d) {
			continue
		}
		if order, _ := feed.Handler.Compare(rec.Record, held.Record); ok && order <= 0 {
			continue
		}
		f.revision++
		f.inherited[i][key] = rec
		f.validityChanged = feed.Handler.Apply(Record{Key: key, Value: rec.Record.Value, Offset: noOffset}, recentOutage, now) || f.validityChanged
	}
	f.confirm(recentOutage, now)
}
