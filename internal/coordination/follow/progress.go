package follow

import (
	"slices"
	"time"
)

const (
	// progressInterval is the least time between two samples of a host's progress, and maxProgressSamples bounds their number: they cover about
	// departureLifetime.
	progressInterval   = 250 * time.Millisecond
	maxProgressSamples = 256
)

// progress records how far this host's copies of the topics have reached over time. The store returns from a copy of all its topics that was made at
// one moment: the end of one topic in the copy tells when that was, and how far the others had reached at most.
type progress struct {
	samples []progressSample // of the current epoch, the oldest first
	earlier []progressSample // of the epoch right before; empty if the current one does not follow the last one that this host knew
}

// progressSample is how far the copies had reached at some time.
type progressSample struct {
	asOf, at time.Time // the copies contain all changes up to asOf and none after at
	next     []int64   // of each feed, as Follower.nextOffsets
}

// record adds a sample, unless the last one is recent.
func (p *progress) record(asOf, now time.Time, next []int64) {
	if n := len(p.samples); n > 0 && now.Sub(p.samples[n-1].at) < progressInterval {
		return
	}
	if len(p.samples) >= maxProgressSamples {
		p.samples = append(p.samples[:0], p.samples[len(p.samples)/2:]...)
	}
	p.samples = append(p.samples, progressSample{asOf, now, slices.Clone(next)})
}

// beginEpoch is called when an epoch begins. Only the copy from which the store returns next is a part of the logs that were followed.
func (p *progress) beginEpoch(old, epoch int64) {
	p.earlier = nil
	if epoch == old+1 {
		p.earlier = p.samples
	}
	p.samples = nil
}

// limits returns for each feed an offset at or after the end of the store's copy. ends are the offsets known so far, unknownEnd where there is none.
// limits returns nil if ends do not tell more.
func (p *progress) limits(ends []int64) []int64 {
	var madeBefore time.Time // the copy was made before
	for _, s := range p.earlier {
		if madeBefore.IsZero() && s.beyond(ends) {
			madeBefore = s.at
		}
		if !madeBefore.IsZero() && !s.asOf.Before(madeBefore) {
			return s.next
		}
	}
	return nil
}

// beyond reports whether a topic had reached further than an end.
func (s *progressSample) beyond(ends []int64) bool {
	for i, end := range ends {
		if end != unknownEnd && s.next[i] > end {
			return true
		}
	}
	return false
}

// lowerCopyEnd records an offset at or after the end of the store's copy of a topic, and what follows for the others. Records that turn out to be
// written after the return are applied. f.mu must be held.
func (f *Follower) lowerCopyEnd(i int, end int64, recentOutage bool, now time.Time) {
	if known := f.copyEnd[i]; known != unknownEnd && known <= end {
		return
	}
	f.copyEnd[i] = end
	for k, limit := range f.progress.limits(f.copyEnd) {
		// Of topics that are read seldom, the copies lack recent changes.
		if f.cfg.Feeds[k].RefreshesPerRead <= 1 && limit >= 0 && limit < f.copyEnd[k] {
			f.copyEnd[k] = limit
		}
	}
	for k, skipped := range f.skipped {
		for _, rec := range skipped {
			if !f.superseded(k, rec) {
				f.validityChanged = f.apply(k, rec, recentOutage, now) || f.validityChanged
			}
		}
	}
}

// lowerCopyEnds records what a peer's state says of the store's copy, before any of its feeds is applied: the end of one may tell which records of the
// others are new. f.mu must be held.
func (f *Follower) lowerCopyEnds(states []*FeedState, feeds []int, recentOutage bool, now time.Time) {
	for n, i := range feeds {
		if end := states[n].CopyEnd; end > 0 {
			f.lowerCopyEnd(i, end, recentOutage, now)
		}
	}
}
