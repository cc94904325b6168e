package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Refresh reads all feeds that are due, applies their records and sends the changes to the peers.
func (f *Follower) Refresh(ctx context.Context) error { return f.refresh(ctx, true) }

// refresh does the work of Refresh. If waitForAll is not set, a read goes on after refresh has returned if it takes longer than MaxAge or the host
// can catch up from a peer meanwhile, so that a large record delays no other changes. The first refresh of a host waits for all reads.
func (f *Follower) refresh(ctx context.Context, waitForAll bool) error {
	start := time.Now()
	select {
	case <-f.wake: // only updates that arrive during the reads matter
	default:
	}
	f.mu.Lock()
	first := f.asOf.IsZero()
	waitForAll = waitForAll || first
	full := first || f.behind || !f.complete()
	info := RefreshInfo{Reason: "age", Age: start.Sub(f.asOf)}
	switch {
	case first:
		info.Reason, info.Age = "first", 0
	case full:
		info.Reason = "behind"
	}
	n := f.refreshCount
	f.refreshCount++
	failing := !f.failingSince.IsZero()
	reads := make([]feedRead, len(f.cfg.Feeds))
	var due []int
	for i, feed := range f.cfg.Feeds {
		reads[i].skipped = true
		if f.cancelRead[i] == nil && (full || n%max(1, feed.RefreshesPerRead) == 0) {
			due = append(due, i)
		}
	}
	f.mu.Unlock()
	if failing && len(due) > 0 { // during an outage one call is enough to find out whether the store answers again
		i := due[0]
		reads[i] = f.beginRead(ctx, i)()
		due = due[1:]
		if reads[i].err != nil {
			due = nil
		}
	}
	ended := make(chan feedRead, len(due))
	for _, i := range due {
		read := f.beginRead(ctx, i)
		f.background.Go(func() { ended <- read() })
	}
	pending := len(due)
	timer := time.NewTimer(f.cfg.MaxAge())
	defer timer.Stop()
	for slow := false; pending > 0 && !slow; {
		select {
		case r := <-ended:
			reads[r.feed] = r
			pending--
		case <-timer.C:
			slow = !waitForAll
		case <-f.wake: // a peer may have what is being read
			slow = !waitForAll
		}
	}
	for range pending {
		f.background.Go(func() { f.applySlowRead(ctx, start, info, <-ended) })
	}
	var err error
	for i := range reads {
		if reads[i].err != nil && (err == nil || errors.Is(err, errValidityUnknown)) {
			err = trace.Wrap(reads[i].err, "read topic %s", f.cfg.Feeds[i].Topic)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if first && errors.Is(err, errValidityUnknown) {
		if err := f.applyOtherReads(start, reads); err != nil {
			return err
		}
		return f.refresh(ctx, waitForAll)
	}
	return f.finishRefresh(start, info, reads, err)
}

// applyOtherReads applies the reads of a refresh except those that ended with errValidityUnknown.
func (f *Follower) applyOtherReads(start time.Time, reads []feedRead) error {
	for i := range reads {
		if errors.Is(reads[i].err, errValidityUnknown) {
			reads[i] = feedRead{feed: i, skipped: true, canceled: true}
		} else {
			f.prepare(i, reads[i].records)
		}
	}
	return f.applyReads(start, reads, nil)
}

// applySlowRead applies a read that ended after its refresh.
func (f *Follower) applySlowRead(ctx context.Context, start time.Time, info RefreshInfo, r feedRead) {
	reads := make([]feedRead, len(f.cfg.Feeds))
	for i := range reads {
		reads[i].skipped = true
	}
	reads[r.feed] = r
	if ctx.Err() != nil {
		return
	}
	// The callbacks have reported an error.
	_ = f.finishRefresh(start, info, reads, trace.Wrap(r.err, "read topic %s", f.cfg.Feeds[r.feed].Topic))
	f.wakeRun()
}

// finishRefresh applies what a refresh has read and reports it.
func (f *Follower) finishRefresh(start time.Time, info RefreshInfo, reads []feedRead, err error) error {
	for i := range reads {
		f.prepare(i, reads[i].records)
	}
	if err = f.applyReads(start, reads, err); err != nil {
		return err
	}
	for i := range reads {
		if !reads[i].skipped {
			info.Topics++
			info.Records += len(reads[i].records)
		}
	}
	info.Took = time.Since(start)
	f.cfg.OnRefresh(info)
	return nil
}

// feedRead is the result of reading one feed.
type feedRead struct {
	feed     int   // index
	skipped  bool  // the feed was not read
	canceled bool  // the read was ended since this host got the records from a peer; the feed counts as skipped, too
	watched  bool  // by a watch, not by a refresh
	torn     bool  // with complete: records may reflect later ones than those before next
	complete bool  // records holds the newest record of each key, not those since an offset
	copyEnd  int64 // of a peer's state; 0 if the feed was read from the store
	epoch    int64 // of the store; also with an error
	next     int64
	records  []Record
	err      error

	// keysOmitted is set with complete if records lacks some of the keys that are listed, and ownKeysOmitted if they may be keys of this host's copy.
	keysOmitted, ownKeysOmitted bool
}

// beginRead returns a function that reads a feed from the end of this host's copy on.
func (f *Follower) beginRead(ctx context.Context, i int) func() feedRead {
	readCtx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.cancelRead[i] = cancel
	from, epoch := f.nextOffsets[i], f.epoch
	if f.readWhole[i] {
		from = -1
	}
	f.mu.Unlock()
	return func() feedRead {
		defer cancel()
		r := f.readTopic(readCtx, i, from, epoch)
		r.feed = i
		if r.err != nil && readCtx.Err() != nil {
			return feedRead{feed: i, skipped: true, canceled: true}
		}
		return r
	}
}

// readTopic reads a feed's topic from an offset of an epoch on, or all its keys if from is negative, the store does not have the records, or the
// store is in a later epoch.
func (f *Follower) readTopic(ctx context.Context, i int, from, epoch int64) feedRead {
	if from >= 0 {
		logCtx, cancel := context.WithTimeout(ctx, maxReadTime)
		defer cancel()
		in := intake{f: f, feed: i}
		a, err := f.cfg.Store.Read(logCtx, f.cfg.Feeds[i].Topic, from, in.keep)
		if !errors.Is(err, ErrTruncated) && (err != nil || a.Epoch <= epoch) {
			return feedRead{epoch: a.Epoch, next: a.Next, records: a.Records, err: err}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, maxWholeReadTime)
	defer cancel()
	in := intake{f: f, feed: i, whole: true, stop: cancel}
	a, err := f.cfg.Store.Newest(ctx, f.cfg.Feeds[i].Topic, in.keep)
	if in.err != nil {
		err = in.err
	}
	return feedRead{complete: true, torn: a.Torn, epoch: a.Epoch, next: a.Next, records: a.Records, keysOmitted: in.keysOmitted, err: err}
}

// prepare calls Prepare of a feed with the last record of each key. f.mu must not be held.
func (f *Follower) prepare(i int, records []Record) {
	if f.cfg.Feeds[i].Prepare == nil {
		return
	}
	seen := map[string]bool{}
	for _, r := range slices.Backward(records) {
		if !seen[r.Key] && r.Value != nil {
			f.cfg.Feeds[i].Prepare(r)
		}
		seen[r.Key] = true
	}
}

// prepareState reduces the records of a peer's state and calls Prepare with them. f.mu must not be held.
func (f *Follower) prepareState(s *State) {
	for n := range s.Feeds {
		fs := &s.Feeds[n]
		for i := range f.cfg.Feeds {
			if f.cfg.Feeds[i].Topic == fs.Topic {
				f.reduceState(i, fs)
				f.prepare(i, fs.Records)
			}
		}
	}
}
