package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// maxRemovals is the number of removed keys that a host remembers of each feed, so that peers can catch up from its copy.
const maxRemovals = 1024

const (
	// olderPeerPause is the pause before a host asks again a peer whose copy was older: the peer forwarded the update of another host and is
	// catching up itself.
	olderPeerPause = 100 * time.Millisecond
	// maxOlderPeerPauses is the maximum number of such pauses. A large change takes some of them to reach the peer.
	maxOlderPeerPauses = 6
	// catchUpHeadStart is how long a catch-up goes on before a host whose copy has reached its maximum age reads the store beside it. The peer's
	// link may be slow or squeezed.
	catchUpHeadStart = 700 * time.Millisecond
)

// removals remembers which keys of a feed were removed, and at which offsets, so that a peer can be told what has changed since an offset.
type removals struct {
	offsets map[string]int64 // by key
	since   int64            // all removals at this offset and later ones are remembered, except for those within unseen
	unseen  span
}

// span is where a read of a whole topic began and ended, by a host that had a copy before. What was written and removed in between is unknown.
type span struct {
	From int64 `cbor:"1,keyasint"`
	Next int64 `cbor:"2,keyasint"`
}

// addUnseen records a read of the whole topic, by this host or the one from which it has the records.
func (r *removals) addUnseen(s span) {
	if s.Next > s.From {
		r.since, r.unseen = max(r.since, r.unseen.Next), s
	}
}

// complete reports whether all removals since an offset are remembered that concern a host whose copy ends there.
func (r *removals) complete(since int64) bool {
	return since >= r.since && (since <= r.unseen.From || since >= r.unseen.Next)
}

func (r *removals) add(key string, offset int64) {
	if r.offsets == nil || len(r.offsets) >= maxRemovals {
		for _, dropped := range r.offsets {
			r.since = max(r.since, dropped+1)
		}
		r.offsets, r.since = map[string]int64{}, max(r.since, offset+1)
	}
	r.offsets[key] = offset
}

// StateSince returns what has changed in this host's copy since a position: the newest record of each key that changed, and a tombstone for
// each removed one. Feeds whose changes are not known, because they are too old or the position belongs to another epoch, are returned
// whole. It returns false if this host has no copy of a feed in the current epoch. Feeds with AllowGaps, which it reads seldom, may be missing: peers need
// the others, and may not reach the store.
func (f *Follower) StateSince(since Position, now time.Time) (*State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return nil, false
	}
	for i, next := range f.nextOffsets {
		if next < 0 && !f.cfg.Feeds[i].AllowGaps {
			return nil, false
		}
	}
	return f.stateSince(since, now), true
}

// stateSince returns this host's copy since a position. f.mu must be held.
func (f *Follower) stateSince(position Position, now time.Time) *State {
	s := &State{AgeMS: max(0, now.Sub(f.asOf).Milliseconds()), Revision: f.revision, Epoch: f.epoch, EpochAgeMS: f.epochAgeMS(now)}
	for i := range f.cfg.Feeds {
		fs := FeedState{Topic: f.cfg.Feeds[i].Topic, Next: f.nextOffsets[i], CopyEnd: max(0, f.copyEnd[i]), Torn: f.torn[i]}
		since := int64(0)
		if position.Epoch == f.epoch && i < len(position.Offsets) && f.removed[i].complete(position.Offsets[i]) {
			since, fs.Changes = position.Offsets[i], true
		}
		for _, rec := range f.newest[i] {
			if rec.Offset >= since {
				fs.Records = append(fs.Records, rec)
			}
		}
		for _, rec := range f.unused[i].unconfirmed {
			if rec.Offset >= since {
				fs.Records = append(fs.Records, rec)
			}
		}
		if fs.Changes {
			if unseen := f.removed[i].unseen; unseen.Next > since {
				fs.Unseen = &unseen
			}
			for key, offset := range f.removed[i].offsets {
				if offset >= since {
					fs.Records = append(fs.Records, Record{Key: key, Offset: offset})
				}
			}
		} else {
			fs.Records = slices.AppendSeq(fs.Records, maps.Values(f.skipped[i]))
			for key, offset := range f.unused[i].keys {
				fs.Records = append(fs.Records, Record{Key: key, Value: droppedValue, Offset: offset})
			}
			fs.KeysOmitted = f.unused[i].keysOmitted
			fs.Inherited = slices.Collect(maps.Values(f.inherited[i]))
			for _, d := range f.departed[i] {
				d.AgeMS = max(0, now.Sub(d.at).Milliseconds())
				fs.Departed = append(fs.Departed, d)
			}
		}
		sortByOffset(fs.Records)
		s.Feeds = append(s.Feeds, fs)
	}
	return s
}

// startCatchUp starts a catch-up if this host is behind, unless one is in progress or the last one failed and no refresh has ended since.
func (f *Follower) startCatchUp(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.behind || f.cfg.FetchChanges == nil || f.cancelCatchUp != nil || f.catchUpFailed {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f.cancelCatchUp, f.catchUpBegin = cancel, time.Now()
	f.background.Go(func() {
		ok := f.catchUp(ctx)
		failed := !ok && ctx.Err() == nil
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelCatchUp = nil
		f.catchUpFailed = failed && f.behind
		if ok {
			f.failures = 0
		}
		f.wakeRun()
	})
}

// catchUp gets the records that an update did not contain from a peer. It reports whether this host's copy is complete again. The peers
// have read the store already: if every host read it after a lost or large update, their calls would exceed what the store allows, and a
// host that the store refuses could not catch up at all.
func (f *Follower) catchUp(ctx context.Context) bool {
	f.mu.Lock()
	needed := f.behind && f.cfg.FetchChanges != nil
	f.mu.Unlock()
	if !needed {
		return false
	}
	err := f.fetchAndInstall(ctx)
	// After a change of the epoch the peer may have to fetch a whole copy itself.
	for n := 0; n < maxOlderPeerPauses && err != nil && (trace.IsCompareFailed(err) || !f.Complete()) && ctx.Err() == nil; n++ {
		pause(ctx, olderPeerPause+rand.N(olderPeerPause/2))
		err = f.fetchAndInstall(ctx)
	}
	if err != nil && ctx.Err() == nil {
		f.cfg.OnCatchUpFailed(err)
	}
	return err == nil
}

// position returns the position from which this host needs changes.
func (f *Follower) position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Position{Epoch: f.epoch, Offsets: append([]int64(nil), f.nextOffsets...)}
	for i := range p.Offsets {
		if f.readWhole[i] {
			p.Offsets[i] = -1
		}
	}
	return p
}

// Receiving reports whether this host is fetching changes from a peer or reading the store.
func (f *Follower) Receiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelCatchUp != nil || f.reading()
}

func (f *Follower) fetchAndInstall(ctx context.Context) error {
	s, err := f.cfg.FetchChanges(ctx, f.position())
	if err != nil {
		return err
	}
	return f.installChanges(s, time.Now())
}

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// installChanges brings this host's copy up to a peer's state. The error is a CompareFailed if the state is older than the copy or of an earlier
// epoch, or if it lacks topics of the current epoch or records that an update has announced, because the peer is catching up too or the update
// was received during the transfer.
func (f *Follower) installChanges(s *State, received time.Time) error {
	f.prepareState(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := received.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	if s.Epoch < f.epoch {
		return trace.CompareFailed("the peer's state is of an earlier epoch of the store")
	}
	if s.Epoch > f.epoch {
		f.beginEpoch(s.Epoch, true)
	}
	f.recordEpochAge(s.EpochAgeMS, s.inherits(), received)
	newer := asOf.After(f.asOf) || !f.complete()
	recentOutage := f.recentOutage(received)
	states, feeds := inApplyOrder(f, s.Feeds, (*FeedState).topic)
	f.lowerCopyEnds(states, feeds, recentOutage, received)
	for n, i := range feeds {
		fs := *states[n]
		if fs.Next < f.nextOffsets[i] || fs.Next == f.nextOffsets[i] && !f.readWhole[i] {
			continue
		}
		f.installInherited(i, fs, recentOutage, received)
		if fs.Unseen != nil && fs.Changes {
			f.removed[i].addUnseen(*fs.Unseen)
		}
		f.applyRead(i, fs.read(), recentOutage, received)
		newer = newer || !f.cfg.Feeds[i].AllowGaps
		if f.cancelRead[i] != nil {
			f.cancelRead[i]() // a read over a slow link may still take long
		}
	}
	if !newer {
		return trace.CompareFailed("the peer's state is older than this host's copy")
	}
	if !f.complete() {
		return trace.CompareFailed("the peer has not read all topics in epoch %d of the store", f.epoch)
	}
	f.recordEpochAnswer(asOf)
	f.setAsOf(later(f.asOf, asOf))
	if f.behind = f.lacksAnnounced(); f.behind {
		return trace.CompareFailed("the peer's state lacks changes that were announced")
	}
	f.settleEpoch(received)
	return nil
}
