package follow

import (
	"slices"
	"time"
)

// Update is what a host sends its peers after it has read the store.
type Update struct {
	AgeMS        int64        `cbor:"1,keyasint"` // time since the read began
	RecentOutage bool         `cbor:"2,keyasint"` // the store was unavailable until shortly before the read
	Feeds        []FeedUpdate `cbor:"3,keyasint"`
	// Partial is set if another update with more records of the same read follows.
	Partial bool `cbor:"4,keyasint,omitempty"`
	// Epoch is the store's epoch, to which the offsets belong. EpochAgeMS is the same as in State.
	Epoch      int64 `cbor:"5,keyasint,omitempty"`
	EpochAgeMS int64 `cbor:"6,keyasint,omitempty"`
}

// FeedUpdate covers the offsets from From up to but not including Next of a topic. It contains only removals and the records that do more than
// renew earlier ones.
type FeedUpdate struct {
	Topic   string   `cbor:"1,keyasint"`
	From    int64    `cbor:"2,keyasint"`
	Next    int64    `cbor:"3,keyasint"`
	Records []Record `cbor:"4,keyasint,omitempty"`
	// RecordsOmitted is set if records are left out because they are too large or too many. The receiver has to read the store.
	RecordsOmitted bool `cbor:"5,keyasint,omitempty"`
	// Whole is set if the sender read the whole topic, so that it has not seen what was removed since From. A receiver whose copy ends after
	// From may have keys that the update does not remove, and has to catch up.
	Whole bool `cbor:"6,keyasint,omitempty"`
	// starts holds for each record the offset of the first record of its key since From, which the record replaces. The records are in this order.
	starts []int64
}

// split divides the changes of one read into updates that each fit into a datagram, see maxUpdateBytes and maxUpdatesPerRead. The records of
// a whole topic are left out if they do not fit into one. A record that replaces one in an earlier part is in all parts from that one on, so that
// each part holds for every receiver whose copy ends within it.
func split(feeds []FeedUpdate) []Update {
	updates := []Update{{}}
	size := 0
	var ends []FeedUpdate // without records, of the feeds whose records are in earlier updates, so that hosts which missed one notice the gap
	next := func() {
		updates[len(updates)-1].Partial = true
		updates, size = append(updates, Update{Feeds: slices.Clone(ends)}), 0
	}
	for _, fu := range feeds {
		part := FeedUpdate{Topic: fu.Topic, From: fu.From, Next: fu.Next, RecordsOmitted: fu.RecordsOmitted, Whole: fu.Whole}
		if n := recordBytes(fu.Records); fu.Whole && n > maxUpdateBytes {
			part.RecordsOmitted, fu.Records = true, nil
		} else if fu.Whole && size+n > maxUpdateBytes {
			next()
		}
		for n, rec := range fu.Records {
			bytes := rec.bytes()
			if size > 0 && size+bytes > maxUpdateBytes {
				part.Next = fu.starts[n]
				last := &updates[len(updates)-1]
				last.Feeds = append(last.Feeds, part)
				next()
				// A receiver whose copy ends after this offset does not need the earlier part, and may have missed it.
				again := slices.DeleteFunc(slices.Clone(fu.Records[:n]), func(r Record) bool { return r.Offset < fu.starts[n] })
				part, size = FeedUpdate{Topic: fu.Topic, From: fu.starts[n], Next: fu.Next, Records: again}, recordBytes(again)
				if size > 0 && size+bytes > maxUpdateBytes {
					part.Records, part.RecordsOmitted, size = nil, true, 0
					break
				}
			}
			if bytes > maxUpdateBytes || len(updates) > maxUpdatesPerRead {
				part.RecordsOmitted = true
			} else {
				part.Records = append(part.Records, rec)
				size += bytes
			}
		}
		last := &updates[len(updates)-1]
		last.Feeds = append(last.Feeds, part)
		ends = append(ends, FeedUpdate{Topic: fu.Topic, From: fu.Next, Next: fu.Next})
	}
	return updates[:min(len(updates), maxUpdatesPerRead+1)]
}

// bytes returns the size of the record in an update.
func (r *Record) bytes() int { return len(r.Key) + len(r.Value) }

func recordBytes(records []Record) int {
	sum := 0
	for i := range records {
		sum += records[i].bytes()
	}
	return sum
}

// unsentUpdate is an update that is still to be sent.
type unsentUpdate struct {
	Update
	readAt time.Time // begin of the read
	madeAt time.Time // when EpochAgeMS was set
}

// sendUpdates sends the updates that are not yet sent, in their order. A send may block, so f.mu must not be held.
func (f *Follower) sendUpdates() {
	f.sendMu.Lock()
	defer f.sendMu.Unlock()
	for {
		f.mu.Lock()
		list := f.unsent
		f.unsent = nil
		f.mu.Unlock()
		if len(list) == 0 {
			return
		}
		for _, u := range list {
			now := time.Now()
			u.AgeMS = now.Sub(u.readAt).Milliseconds()
			if u.EpochAgeMS > 0 {
				u.EpochAgeMS += now.Sub(u.madeAt).Milliseconds()
			}
			f.cfg.SendUpdate(u.Update)
		}
	}
}

// ApplyUpdate applies a peer's update. It returns false if the update is not newer than this host's copy or the host has no copy yet. If
// records between the copy and the update are missing, or the update begins a higher epoch of the store, Run fetches a peer's copy or reads
// the store.
func (f *Follower) ApplyUpdate(u Update, sent time.Time) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := sent.Add(-time.Duration(u.AgeMS) * time.Millisecond)
	if u.Epoch < f.epoch {
		return false
	}
	f.recordOutageReport(u.RecentOutage, asOf)
	if f.asOf.IsZero() {
		return false
	}
	if u.Epoch > f.epoch {
		f.beginEpoch(u.Epoch, true)
	} else if !asOf.After(f.asOf) {
		return false
	}
	f.recordEpochAge(u.EpochAgeMS, false, sent)
	f.recordEpochAnswer(asOf)
	updates, feeds := inApplyOrder(f, u.Feeds, (*FeedUpdate).topic)
	for n, i := range feeds {
		if !f.applyFeedUpdate(i, *updates[n], u.RecentOutage, now) {
			f.behind = true
		}
	}
	if f.behind || !f.complete() {
		f.behind = true
		f.wakeRun()
		return true
	}
	if !u.Partial && len(u.Feeds) > 0 {
		f.setAsOf(asOf)
		f.settleEpoch(now)
		if f.failures > 0 { // ends the pause after a failed read: the age of the copy decides again
			f.failures = 0
			f.wakeRun()
		}
	}
	return true
}

// recordOutageReport records whether a peer that read the store at the given time reported a recent outage. Reports of an outage within two
// renewalGracePeriods of its recorded end are ignored, because hosts that passed on each other's reports would otherwise prolong it without
// end. f.mu must be held.
func (f *Follower) recordOutageReport(recentOutage bool, at time.Time) {
	switch {
	case !recentOutage && at.After(f.lastHealthyPeerRead):
		f.lastHealthyPeerRead = at
	case recentOutage && at.Sub(f.lastOutageEnd) > 2*renewalGracePeriod:
		f.lastOutageEnd = at
	}
}

// applyFeedUpdate applies one feed of a peer's update. Unless the feed allows gaps, it returns false and applies nothing if records between
// this host's copy and the update are missing, or records of the update are omitted or may be unknown to the sender. f.mu must be held.
func (f *Follower) applyFeedUpdate(i int, u FeedUpdate, recentOutage bool, now time.Time) bool {
	if u.Next <= f.nextOffsets[i] {
		return true
	}
	gap := u.RecordsOmitted || u.From > f.nextOffsets[i] || u.Whole && u.From < f.nextOffsets[i]
	if f.nextOffsets[i] < 0 || gap && !f.cfg.Feeds[i].AllowGaps {
		if !f.cfg.Feeds[i].AllowGaps {
			f.announced[i], f.lastGap = max(f.announced[i], u.Next), now
		}
		return false
	}
	f.torn[i] = false
	if u.Whole {
		f.removed[i].addUnseen(span{f.nextOffsets[i], u.Next})
	}
	for _, rec := range u.Records {
		if rec.Offset >= f.nextOffsets[i] {
			f.applyFromPeer(i, rec, recentOutage, now)
		}
	}
	f.nextOffsets[i] = u.Next
	f.confirm(recentOutage, now)
	return true
}
