package follow

import "time"

// Validity says whether a record counts.
type Validity uint8

const (
	// Valid records are applied.
	Valid Validity = iota
	// Unconfirmed records name something that no record in force of another feed names. As many as there is room for are kept beside the newest valid
	// record of their key, and applied when they become valid before a newer record of the key is.
	Unconfirmed
	// Invalid records change nothing: the last valid record of their key stays in force. The key counts as listed.
	Invalid
)

// validity returns the validity of a record. Tombstones are valid.
func (f *Follower) validity(i int, rec Record) Validity {
	if rec.Value == nil || f.cfg.Feeds[i].Validate == nil {
		return Valid
	}
	if rec.dropped() {
		return Invalid
	}
	return f.cfg.Feeds[i].Validate(rec)
}

func (f *Follower) invalid(i int, rec Record) bool { return f.validity(i, rec) == Invalid }

// validate returns the validity of each record that was read of a feed.
func (f *Follower) validate(i int, r feedRead) []Validity {
	list := make([]Validity, len(r.records))
	for n, rec := range r.records {
		list[n] = f.validity(i, rec)
	}
	return list
}

// hold keeps a record that is not valid, unless the copy has a newer one of its key. Of an invalid one only the key is kept, so that peers which copy
// this host's state do not take it for removed; whole is set if the record was read with its whole topic. In the log, the records before an invalid one tell
// whether peers may have its key. hold reports whether peers need the record: it is unconfirmed and does more than renew the one that was kept before.
// f.mu must be held.
func (f *Follower) hold(i int, rec Record, validity Validity, whole bool) bool {
	unused := &f.unused[i]
	held, ok := unused.unconfirmed[rec.Key]
	_, listed := unused.keys[rec.Key]
	known, applied := f.newest[i][rec.Key]
	switch {
	case applied && rec.Offset <= known.Offset, ok && rec.Offset <= held.Offset:
		return false
	case validity == Invalid && (applied || ok || !whole):
		return false
	}
	f.revision++
	if validity == Unconfirmed && unused.addUnconfirmed(rec) {
		_, renewal := f.cfg.Feeds[i].Handler.Compare(rec, held)
		return !ok || !renewal
	}
	if !applied && (whole || ok || listed) {
		unused.addKey(rec.Key, rec.Offset)
	}
	return false
}

// applyFromPeer applies a record of a peer's update. f.mu must be held.
func (f *Follower) applyFromPeer(i int, rec Record, recentOutage bool, now time.Time) {
	if v := f.validity(i, rec); v != Valid {
		f.hold(i, rec, v, true)
		return
	}
	f.apply(i, rec, recentOutage, now)
}

// confirm applies the unconfirmed records that have become valid. Peers have them and do the same. f.mu must be held.
func (f *Follower) confirm(recentOutage bool, now time.Time) {
	if !f.validityChanged {
		return
	}
	f.validityChanged = false
	for i := range f.cfg.Feeds {
		for key, rec := range f.unused[i].unconfirmed {
			if f.validity(i, rec) == Valid {
				f.unused[i].forget(key)
				f.apply(i, rec, recentOutage, now)
			}
		}
	}
}

// applyOrder returns the indexes of the feeds in the order in which they are applied: those with Validate last, because the validity of their
// records depends on the others.
func (f *Follower) applyOrder() []int {
	var first, last []int
	for i := range f.cfg.Feeds {
		if f.cfg.Feeds[i].Validate == nil {
			first = append(first, i)
		} else {
			last = append(last, i)
		}
	}
	return append(first, last...)
}

// inApplyOrder returns the items of an update or a state whose topics this host follows, with the indexes of their feeds, in the order of
// applyOrder.
func inApplyOrder[T any](f *Follower, items []T, topic func(*T) string) (list []*T, feeds []int) {
	for _, i := range f.applyOrder() {
		for n := range items {
			if topic(&items[n]) == f.cfg.Feeds[i].Topic {
				list, feeds = append(list, &items[n]), append(feeds, i)
			}
		}
	}
	return list, feeds
}

func (u *FeedUpdate) topic() string { return u.Topic }

func (s *FeedState) topic() string { return s.Topic }
