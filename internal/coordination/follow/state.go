package follow

import (
	"cmp"
	"slices"
	"time"
)

// State is a host's whole copy of the store. A starting host fetches it from a peer, so that it needs no calls to the store.
type State struct {
	AgeMS int64       `cbor:"1,keyasint"` // age of the copy
	Feeds []FeedState `cbor:"2,keyasint"`
	Epoch int64       `cbor:"3,keyasint,omitempty"` // of the store
	// EpochAgeMS is how long ago the store first answered in this epoch, at least 1. It is 0 if the epoch has not changed since the host
	// started, or the store has not answered since.
	EpochAgeMS int64 `cbor:"4,keyasint,omitempty"`
	// Revision is the number of changes of this host's copy. It is not sent: each host counts its own.
	Revision uint64 `cbor:"-"`
}

// FeedState holds the newest record of each key of a topic, used or not, and the offset at which the next read continues. If Changes is set, it holds only
// what has changed since the offset that the receiver asked for, removed keys included.
type FeedState struct {
	Topic   string   `cbor:"1,keyasint"`
	Next    int64    `cbor:"2,keyasint"`
	Records []Record `cbor:"3,keyasint"`
	Changes bool     `cbor:"4,keyasint,omitempty"`
	// Inherited holds the records of earlier epochs that are in force because the store lacks their keys, and Departed the keys that were
	// removed recently. Both are empty if Changes is set.
	Inherited []Inherited `cbor:"5,keyasint,omitempty"`
	Departed  []Departure `cbor:"6,keyasint,omitempty"`
	// CopyEnd is an offset at or after the end of the copy from which the store returned at the begin of the epoch.
	CopyEnd int64 `cbor:"7,keyasint,omitempty"`
	// Unseen is set with Changes if they are known from a read of the whole topic. The receiver then knows the removals within the span no better
	// than the sender.
	Unseen *span `cbor:"8,keyasint,omitempty"`
	// Torn is set if the copy may lack keys that were removed after Next.
	Torn bool `cbor:"9,keyasint,omitempty"`
	// KeysOmitted is set if Records lacks keys whose records the sender does not use. The receiver cannot tell which of its own keys were removed.
	KeysOmitted bool `cbor:"10,keyasint,omitempty"`
}

// inherits reports whether the state has inherited records.
func (s *State) inherits() bool {
	return slices.ContainsFunc(s.Feeds, func(fs FeedState) bool { return len(fs.Inherited) > 0 })
}

// State returns this host's whole copy, or false if it has none yet. Next is -1 for feeds that were not read in the current epoch; their
// records are inherited.
func (f *Follower) State(now time.Time) (*State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return nil, false
	}
	return f.stateSince(Position{}, now), true
}

// StateOf returns this host's copy of a topic alone, or false if it has no copy yet.
func (f *Follower) StateOf(topic string, now time.Time) (*State, bool) {
	s, ok := f.State(now)
	if ok {
		s.Feeds = slices.DeleteFunc(s.Feeds, func(fs FeedState) bool { return fs.Topic != topic })
	}
	return s, ok
}

// InstallTopic applies what a peer has of a topic to this host's copy of it. The peer may have newer records although this host has read all that the
// store has: a store that returned from a copy lacks them. The peer's copy of the other topics does not count, and need not be complete. InstallTopic
// does nothing if this host has no copy yet, or the peer does not know the store's epoch yet.
func (f *Follower) InstallTopic(s *State, topic string, received time.Time) {
	f.prepareState(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() || s.Epoch < f.epoch {
		return
	}
	if s.Epoch > f.epoch {
		f.beginEpoch(s.Epoch, true)
		f.behind = true
		f.wakeRun()
	}
	f.recordEpochAge(s.EpochAgeMS, s.inherits(), received)
	states, feeds := inApplyOrder(f, s.Feeds, (*FeedState).topic)
	for n, i := range feeds {
		fs := *states[n]
		if fs.Topic != topic {
			continue
		}
		if fs.Next == f.nextOffsets[i] { // the records are the same, except for those of earlier epochs
			f.installAhead(i, fs, f.recentOutage(received), received)
		} else {
			f.installFeed(i, fs, f.recentOutage(received), received)
		}
	}
}

func sortByOffset(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
}

// InstallState makes a peer's state this host's copy, unless it has one already. It reports whether the state was installed. Reads of its topics that are in
// progress end. Topics that this host has read later stay as they are. If it knows a higher epoch of the store than the peer, the state's records become inherited ones.
func (f *Follower) InstallState(s *State, received time.Time) bool {
	f.prepareState(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.asOf.IsZero() {
		return false
	}
	known := f.epoch
	switch {
	case s.Epoch > known && f.hasFeed():
		f.beginEpoch(s.Epoch, true)
	case s.Epoch < known: // what was read is read again
		for i := range f.cfg.Feeds {
			f.newest[i], f.nextOffsets[i] = map[string]Record{}, -1
		}
	}
	f.epoch = s.Epoch
	f.recordEpochAge(s.EpochAgeMS, s.inherits(), received)
	states, feeds := inApplyOrder(f, s.Feeds, (*FeedState).topic)
	f.lowerCopyEnds(states, feeds, false, received)
	for n, i := range feeds {
		f.installFeed(i, *states[n], false, received)
	}
	f.setAsOf(received.Add(-time.Duration(s.AgeMS) * time.Millisecond))
	for i, cancel := range f.cancelRead {
		if cancel != nil && f.nextOffsets[i] >= 0 {
			cancel()
		}
	}
	if known > s.Epoch {
		f.beginEpoch(known, true)
	}
	return true
}

// installFeed makes a feed of a peer's state this host's copy, unless this host has read the feed later. What the peer has of earlier epochs counts in
// any case. f.mu must be held.
func (f *Follower) installFeed(i int, fs FeedState, recentOutage bool, received time.Time) {
	if fs.Next < f.nextOffsets[i] || fs.Next < 0 {
		f.installAhead(i, fs, recentOutage, received)
		return
	}
	f.installInherited(i, fs, recentOutage, received)
	r := fs.read()
	r.complete = true
	f.applyRead(i, r, recentOutage, received)
}

// installAhead applies what a peer has of a feed from earlier epochs. f.mu must be held.
func (f *Follower) installAhead(i int, fs FeedState, recentOutage bool, received time.Time) {
	f.installInherited(i, fs, recentOutage, received)
	for _, rec := range fs.Records {
		if _, listed := f.newest[i][rec.Key]; listed && rec.Ahead && !f.invalid(i, rec) {
			f.apply(i, rec, recentOutage, received)
		}
	}
}

// read returns the feed as a read of its topic.
func (s *FeedState) read() feedRead {
	return feedRead{complete: !s.Changes, torn: s.Torn, copyEnd: s.CopyEnd, next: s.Next, records: s.Records,
		keysOmitted: s.KeysOmitted, ownKeysOmitted: s.KeysOmitted}
}

// hasFeed reports whether this host has read a feed in the current epoch. f.mu must be held.
func (f *Follower) hasFeed() bool {
	return slices.ContainsFunc(f.nextOffsets, func(next int64) bool { return next >= 0 })
}
