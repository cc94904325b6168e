package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unicode/utf8"
)

// applyReads applies what a refresh read, calls the callbacks for failure and recovery, and then sends the changes to the peers. err is the
// refresh's error if a feed could not be read; the other feeds are applied nevertheless. An answer of a higher epoch begins that epoch.
// Answers of lower epochs are dropped; the error is then errEarlierEpoch, and the store does not count as lost.
func (f *Follower) applyReads(start time.Time, reads []feedRead, err error) error {
	defer f.sendUpdates()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	ended, watched, epoch := false, false, f.epoch
	for i, r := range reads {
		ended, watched = ended || !r.skipped, watched || r.watched
		epoch = max(epoch, r.epoch)
		if !r.skipped || r.canceled {
			f.cancelRead[i] = nil
		}
	}
	if !ended { // nothing is known of the store
		f.lastRead = later(f.lastRead, start)
		return nil
	}
	if epoch > f.epoch {
		f.beginEpoch(epoch, false)
	}
	for i, r := range reads {
		if !r.skipped && r.err == nil && r.epoch == f.epoch {
			f.readAt[i] = later(f.readAt[i], start)
		}
	}
	if err != nil {
		f.lastFailure = now
		first := f.failingSince.IsZero()
		if first {
			f.failingSince = start
			f.cfg.OnStoreLost(err)
		}
		f.cfg.OnRefreshFailed(now)
	}
	if err == nil && !f.failingSince.IsZero() && !f.storeReachableByPeers() {
		f.lastOutageEnd = now
	}
	recentOutage := f.recentOutage(now)
	partial := f.oldestRead(start).Before(start)
	var changes []FeedUpdate
	late := false
	for i, r := range reads { // the end of each topic may tell which records of the others are new
		if !r.skipped && r.err == nil && r.epoch == f.epoch && f.nextOffsets[i] < 0 {
			f.lowerCopyEnd(i, r.next, recentOutage, now)
		}
	}
	for _, i := range f.applyOrder() {
		r := reads[i]
		if r.skipped && err == nil && !partial && !f.cfg.Feeds[i].AllowGaps && f.nextOffsets[i] >= 0 {
			// Peers that have missed an update of this refresh notice the gap.
			changes = append(changes, FeedUpdate{Topic: f.cfg.Feeds[i].Topic, From: f.nextOffsets[i], Next: f.nextOffsets[i]})
		}
		if r.skipped || r.err != nil {
			continue
		}
		if r.epoch < f.epoch {
			late = true
			continue
		}
		f.recordEpochAnswer(now)
		fu, ok := f.applyRead(i, r, recentOutage, now)
		switch {
		case !ok:
		case fu.From >= 0:
			changes = append(changes, fu)
		case f.announceEpoch: // the peers have to read the topic as a whole or fetch it
			changes = append(changes, FeedUpdate{Topic: fu.Topic, Next: fu.Next, RecordsOmitted: true})
		default: // the first read of a host holds no changes that its peers lack
		}
	}
	if err != nil {
		return err
	}
	if late {
		return errEarlierEpoch
	}
	if !f.failingSince.IsZero() {
		f.cfg.OnStoreRecovered(now.Sub(f.failingSince))
		f.failingSince = time.Time{}
	}
	if !watched { // other feeds are read no later
		f.lastRead = later(f.lastRead, start)
	}
	if !partial {
		if !f.lastGap.After(start) {
			clear(f.announced) // the read covers all that was announced
		}
		f.setAsOf(later(f.asOf, start))
		f.behind, f.announceEpoch = f.lacksAnnounced(), false
		f.settleEpoch(now)
	}
	if !f.behind && f.cancelCatchUp != nil {
		f.cancelCatchUp()
	}
	for _, u := range split(changes) {
		u.RecentOutage, u.Epoch, u.EpochAgeMS = recentOutage, f.epoch, f.epochAgeMS(now)
		u.Partial = u.Partial || partial
		f.unsent = append(f.unsent, unsentUpdate{u, start, now})
	}
	return nil
}

// oldestRead returns the start of the oldest of the feeds' last reads, or latest if that is earlier. Feeds that are not read by each refresh do not
// count. f.mu must be held.
func (f *Follower) oldestRead(latest time.Time) time.Time {
	for i, at := range f.readAt {
		if f.cfg.Feeds[i].RefreshesPerRead <= 1 && at.Before(latest) {
			latest = at
		}
	}
	return latest
}

// lacksAnnounced reports whether an update with a gap has announced records that this host's copy does not contain. f.mu must be held.
func (f *Follower) lacksAnnounced() bool {
	for i, end := range f.announced {
		if f.nextOffsets[i] < end {
			return true
		}
	}
	return false
}

// recentOutage reports whether endpoints may have been unable to renew their entries recently, because the store is unavailable or was so
// until shortly before, or returned from an older copy. f.mu must be held.
func (f *Follower) recentOutage(now time.Time) bool {
	outage := !f.failingSince.IsZero() && !f.storeReachableByPeers()
	return outage || f.recentEpochChange(now) || (!f.lastOutageEnd.IsZero() && now.Sub(f.lastOutageEnd) < renewalGracePeriod)
}

// storeReachableByPeers reports whether a peer that saw no outage read the store at most peerReadWindow before this host's last failed
// read, or later. f.mu must be held.
func (f *Follower) storeReachableByPeers() bool {
	return f.lastHealthyPeerRead.After(f.lastFailure.Add(-peerReadWindow))
}

// applyRead applies the records that were read of one feed in the current epoch, and returns the ones that changed something as an update
// for the peers. From is -1 if the feed was not read before in this epoch. applyRead applies nothing and returns false if a whole topic was
// read and the read is older than the copy; the next read is then one of the whole topic. f.mu must be held.
func (f *Follower) applyRead(i int, r feedRead, recentOutage bool, now time.Time) (FeedUpdate, bool) {
	if r.complete {
		f.readWhole[i] = r.next < f.nextOffsets[i]
		if f.readWhole[i] {
			return FeedUpdate{}, false
		}
	}
	r.records = slices.DeleteFunc(slices.Clone(r.records), func(rec Record) bool { return !utf8.ValidString(rec.Key) }) // peers cannot decode such a key
	// A torn copy may lack keys that were removed after its end. Peers whose copies end there have them, and this host cannot name them.
	u := FeedUpdate{Topic: f.cfg.Feeds[i].Topic, From: f.nextOffsets[i], Next: r.next, Whole: r.complete, RecordsOmitted: r.complete && f.torn[i]}
	f.torn[i] = r.torn
	if u.From < 0 {
		f.lowerCopyEnd(i, cmp.Or(r.copyEnd, r.next), recentOutage, now)
	} else if r.copyEnd > 0 {
		f.lowerCopyEnd(i, r.copyEnd, recentOutage, now)
	}
	if r.complete {
		f.unused[i].resetKeys(r.keysOmitted)
	}
	listed := f.applyRecords(i, r, &u, recentOutage, now)
	if r.complete {
		f.removeUnlisted(i, r, listed, &u, recentOutage, now)
	}
	f.nextOffsets[i] = max(f.nextOffsets[i], r.next)
	f.confirm(recentOutage, now)
	return u, true
}

// applyRecords applies the last record of each key that was read of a feed and adds those that peers need to the update. It returns the keys
// that have a value. f.mu must be held.
func (f *Follower) applyRecords(i int, r feedRead, u *FeedUpdate, recentOutage bool, now time.Time) (listed map[string]bool) {
	listed = map[string]bool{}
	first := map[string]int64{}  // offset of the first record of each key
	last := map[string]int{}     // index of the last record of each key; earlier ones are superseded
	removed := map[string]bool{} // keys that some peers may have removed, also if they were written again since
	validity := f.validate(i, r)
	for n, rec := range r.records {
		if rec.Value != nil {
			listed[rec.Key] = true
		}
		if validity[n] != Valid {
			continue
		}
		last[rec.Key] = n
		if _, ok := first[rec.Key]; !ok {
			first[rec.Key] = max(rec.Offset, u.From)
		}
		if rec.Value == nil {
			removed[rec.Key] = true
		}
	}
	for n, rec := range r.records {
		if newest, ok := last[rec.Key]; !ok || newest != n || (rec.Offset < f.nextOffsets[i] && !r.complete) {
			continue
		}
		if !f.apply(i, rec, recentOutage, now) && !removed[rec.Key] {
			continue
		}
		if held, ok := f.newest[i][rec.Key]; ok {
			rec = held // which has the value of an inherited record if that is newer
		} else if rec.Value != nil {
			continue // the key is not used
		}
		u.Records = append(u.Records, rec)
	}
	for n, rec := range r.records {
		if validity[n] != Valid && (rec.Offset >= f.nextOffsets[i] || r.complete) && f.hold(i, rec, validity[n], r.complete) {
			u.Records = append(u.Records, rec)
			if _, ok := first[rec.Key]; !ok {
				first[rec.Key] = max(rec.Offset, u.From)
			}
		}
	}
	if !r.complete { // a peer that gets only some of the updates must not lack a record before the end of its copy
		slices.SortStableFunc(u.Records, func(a, b Record) int { return cmp.Compare(first[a.Key], first[b.Key]) })
		for _, rec := range u.Records {
			u.starts = append(u.starts, first[rec.Key])
		}
	}
	return listed
}

// removeUnlisted removes the keys that a read of a whole topic does not list, and adds their removals to the update. f.mu must be held.
func (f *Follower) removeUnlisted(i int, r feedRead, listed map[string]bool, u *FeedUpdate, recentOutage bool, now time.Time) {
	for _, known := range f.keyed(i) {
		switch key := known.Key; {
		case listed[key]:
		case r.ownKeysOmitted, known.Offset >= r.next: // a page may be older than the record
			listed[key] = true
		default:
			removal := Record{Key: key, Offset: max(u.From, r.next-1)}
			f.depart(i, key, removal.Offset, now)
			f.removed[i].add(key, removal.Offset)
			u.Records = append(u.Records, removal)
		}
	}
	for key := range f.inherited[i] {
		listed[key] = true
	}
	f.cfg.Feeds[i].Handler.RetainKeys(listed, recentOutage, now)
	// Store.Newest returns records in no particular order, and some of them may be older than From.
	for n := range u.Records {
		u.Records[n].Offset = max(u.Records[n].Offset, u.From)
	}
	sortByOffset(u.Records)
	if u.From < 0 || u.RecordsOmitted {
		f.removed[i].since = r.next // what was removed before the first read is unknown
	} else {
		f.removed[i].addUnseen(span{u.From, r.next})
	}
}

// keyed returns the newest record that this host knows of each key of a feed in the current epoch. f.mu must be held.
func (f *Follower) keyed(i int) []Record {
	all := maps.Clone(f.newest[i])
	maps.Copy(all, f.skipped[i])
	maps.Copy(all, f.unused[i].unconfirmed)
	for key, offset := range f.unused[i].keys {
		all[key] = Record{Key: key, Offset: offset}
	}
	return slices.Collect(maps.Values(all))
}

// apply stores a record of the current epoch in the copy and passes it to the feed's handler, unless a record of an earlier epoch is newer
// by its content. It reports whether peers need the record: a removal, a record that does more than renew the last one of its key, the first
// record of a key that the store lacked, or one whose predecessor some peers lack or have with other content. f.mu must be held.
func (f *Follower) apply(i int, rec Record, recentOutage bool, now time.Time) bool {
	f.revision++
	handler := f.cfg.Feeds[i].Handler
	if rec.Value == nil {
		f.depart(i, rec.Key, rec.Offset, now)
		f.removed[i].add(rec.Key, rec.Offset)
		handler.Apply(rec, recentOutage, now)
		return true // a peer may have the key although this host does not
	}
	if f.superseded(i, rec) {
		f.skip(i, rec)
		return false
	}
	delete(f.skipped[i], rec.Key)
	known, ok := f.newest[i][rec.Key]
	early := ok && known.Offset >= f.nextOffsets[i] // a page of a whole topic had it before the copy's end reached it
	if ok && rec.Offset <= known.Offset {
		f.adoptAhead(i, rec, now)
		return early
	}
	f.unused[i].forgetBefore(rec.Key, rec.Offset)
	earlier, inherited := f.inherited[i][rec.Key]
	delete(f.inherited[i], rec.Key)
	delete(f.departed[i], rec.Key)
	delete(f.removed[i].offsets, rec.Key)
	f.newest[i][rec.Key] = rec
	if inherited || known.Ahead {
		held := known
		if inherited {
			held = earlier.Record
		}
		if order, renewal := handler.Compare(rec, held); order < 0 {
			f.newest[i][rec.Key] = Record{Key: rec.Key, Value: held.Value, Offset: rec.Offset, Ahead: rec.Ahead || known.Ahead || !renewal}
			return true
		}
	}
	changed := handler.Apply(rec, recentOutage, now)
	f.validityChanged = f.validityChanged || changed && f.cfg.Feeds[i].Validate == nil
	return changed || inherited || known.Ahead || early
}

// adoptAhead makes a peer's record of an earlier epoch the one in force if the copy has an older one of the store. f.mu must be held.
func (f *Follower) adoptAhead(i int, rec Record, now time.Time) {
	known := f.newest[i][rec.Key]
	if !rec.Ahead {
		return
	}
	if order, renewal := f.cfg.Feeds[i].Handler.Compare(rec, known); order > 0 && !renewal {
		f.newest[i][rec.Key] = Record{Key: rec.Key, Value: rec.Value, Offset: known.Offset, Ahead: true}
		f.validityChanged = f.cfg.Feeds[i].Handler.Apply(f.newest[i][rec.Key], false, now) || f.validityChanged
	}
}
