package configlog

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// snapshotIfDue appends a snapshot when the log needs one: to re-publish contracts that a restore of the log removed, or to renew the
// contracts before the log's retention removes them. Each host waits for its snapshotDelay. Once it reads the snapshot of another
// host, it no longer needs to append its own.
func (f *Follower) snapshotIfDue(ctx context.Context, now time.Time) error {
	if f.peersAhead() != nil {
		return nil
	}
	f.mu.Lock()
	inForce, applied := f.State(), f.applied
	var snapshot *Snapshot
	switch {
	case !f.caughtUp:
	case !applied.Covers(inForce):
		snapshot = &Snapshot{AsOf: MergeOnly, Entries: inForce.SortedEntries()}
	case f.machine.SnapshotDue(now, f.cfg.Retention/snapshotsPerRetention):
		snapshot = f.machine.Snapshot()
	}
	f.mu.Unlock()
	if snapshot == nil {
		f.snapshotDueSince = time.Time{}
		return nil
	}
	if f.snapshotDueSince.IsZero() {
		f.snapshotDueSince = now
	}
	if now.Sub(f.snapshotDueSince) < f.snapshotDelay() || now.Sub(f.lastSnapshotAppend) < snapshotPause {
		return nil
	}
	// If the log was restored and this host has not noticed it, the snapshot would stand for records that the log no longer holds.
	f.mayBeRestored.Store(true)
	if err := f.checkRestored(ctx); err != nil || f.ReadPosition() != applied.Position {
		return err
	}
	data, err := Record{Snapshot: snapshot}.Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	f.lastSnapshotAppend = now
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = f.cfg.Log.Append(bounded, data)
	return trace.Wrap(err)
}

// ReadPosition returns the offset of the next record that this host reads from the log. It is lower than State().Position while the state
// in force holds entries from peers, or from before a restore of the log, that the log has not shown yet.
func (f *Follower) ReadPosition() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Position()
}

// snapshotDelay returns how long this host waits with a due snapshot. The hosts before it in the order of Rank wait for a shorter time
// and thus append theirs first.
func (f *Follower) snapshotDelay() time.Duration {
	hosts := []string{f.cfg.Host}
	for _, p := range f.livePeers() {
		hosts = append(hosts, p.Host)
	}
	rank := slices.Index(rendezvous.Rank(Stream, hosts), f.cfg.Host)
	return time.Duration(rank+1) * snapshotRankDelay
}
