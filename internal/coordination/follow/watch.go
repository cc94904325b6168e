package follow

import (
	"context"
	"time"
)

const (
	// watchTime is how long the store waits for a record before it answers a watch without one.
	watchTime = 10 * time.Second
	// watchCheckInterval is the interval at which a host checks whether it has to watch the store.
	watchCheckInterval = 2 * time.Second
	// busyWatchPause is the pause before a watch of a topic that is being read or fetched.
	busyWatchPause = 20 * time.Millisecond
)

// watch watches a feed while Config.Watches holds. A change is then read as soon as the store has it, not when the copy has reached its maximum
// age: over a slow link, reading a large record takes most of the time in which it has to be in force.
func (f *Follower) watch(ctx context.Context, i int) {
	for ctx.Err() == nil {
		if !f.cfg.Watches() {
			pause(ctx, watchCheckInterval)
			continue
		}
		from, epoch, ok := f.watchPosition(i)
		if !ok {
			pause(ctx, busyWatchPause)
			continue
		}
		pause(ctx, f.watchOnce(ctx, i, from, epoch))
	}
}

// watchPosition returns from where a feed is watched, and false if it cannot be watched now.
func (f *Follower) watchPosition(i int) (from, epoch int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok = !f.asOf.IsZero() && f.complete() && !f.behind && f.failingSince.IsZero() && !f.readWhole[i] && f.cancelRead[i] == nil
	return f.nextOffsets[i], f.epoch, ok
}

// watchOnce waits for records of a feed and applies them. It returns the pause before the next watch. Records begin to count as being read when
// they begin to arrive, so that refreshes read the feed while the store waits, and do not read the same records over the same link.
func (f *Follower) watchOnce(ctx context.Context, i int, from, epoch int64) time.Duration {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var begin time.Time // when the records began to arrive
	declined := false
	in := intake{f: f, feed: i}
	a, err := f.cfg.Store.Watch(watchCtx, f.cfg.Feeds[i].Topic, from, watchTime, in.keep, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		declined = f.cancelRead[i] != nil || f.nextOffsets[i] != from || f.epoch != epoch
		if !declined {
			begin, f.cancelRead[i] = time.Now(), cancel
			time.AfterFunc(maxReadTime, cancel)
		}
		return !declined
	})
	switch {
	case declined:
		return busyWatchPause
	case begin.IsZero() && time.Since(start) >= watchTime:
		return 0
	case begin.IsZero(): // the store refuses, or answers without waiting
		return f.cfg.MaxAge()
	case err != nil || a.Epoch != epoch: // refreshes deal with both
		f.endWatch(i)
		if watchCtx.Err() != nil && time.Since(begin) < maxReadTime { // a peer had the records
			return busyWatchPause
		}
		return f.cfg.MaxAge()
	}
	age, _ := f.Age(begin)
	f.applySlowRead(ctx, begin, RefreshInfo{Reason: "watch", Age: age}, feedRead{feed: i, watched: true, epoch: a.Epoch, next: a.Next, records: a.Records})
	return f.cfg.MaxAge() // further changes are sent to the peers together
}

// endWatch records that a feed is no longer being read.
func (f *Follower) endWatch(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead[i] = nil
	f.wakeRun()
}
