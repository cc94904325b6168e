package configlog

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Log is the platform's append-only log. Append returns the offset of the new record. Read returns the oldest offset that the log
// retains, the offset of the next record to be appended, and the records from the given offset on. If there are none yet, Read waits
// for up to the given time.
type Log interface {
	Append(ctx context.Context, data []byte) (int64, error)
	Read(ctx context.Context, from int64, wait time.Duration) (first, next int64, records []StoredRecord, err error)
}

// Peer is another live entry host.
type Peer struct {
	Host     string
	Position int64 // State.Position of the host, as received by gossip
}

// PeerSource gives access to the other entry hosts. LivePeers lists them, and FetchState fetches the state in force of one of them. FetchState
// returns an error soon if the host does not respond, but not because a large state takes long.
type PeerSource interface {
	LivePeers() []Peer
	FetchState(ctx context.Context, host string) (*State, error)
}

// DefaultRetention is how long the log is assumed to retain records if the settings do not say so.
const DefaultRetention = time.Hour

const (
	longPollWait          = 2 * time.Second        // how long a read at the end of the log waits for new records
	readTimeoutMargin     = 10 * time.Second       // added to the wait of a read: a slow log can still answer, a hanging read is ended
	shortPollWait         = 200 * time.Millisecond // the same while this host may soon append a snapshot or fetch a peer's state
	appendTimeout         = 3 * time.Second        // bounds the append of a snapshot; whether it was stored is seen when the log is read
	minBackoff            = 100 * time.Millisecond
	maxBackoff            = 2 * time.Second        // a third of the 6 s within which a change must be in force
	restoreCheckInterval  = time.Minute            // between checks that the log was not restored to an older state
	peerTimeout           = 30 * time.Second       // bounds the fetch of a peer's state, which may be large; see PeerSource
	behindGrace           = time.Second            // how long this host may lag behind a peer before it fetches the peer's state
	behindCheckInterval   = 250 * time.Millisecond // between comparisons with the peers' positions during a read
	isolationTimeout      = 5 * time.Second        // since the last contact with the log or a peer; a longer time makes the contracts in force unknown
	snapshotRankDelay     = 500 * time.Millisecond // how much longer a host waits with a due snapshot than the host before it in the order of Rank
	snapshotPause         = 3 * time.Second        // between two snapshots of this host, so that it can read back the first
	snapshotsPerRetention = 3                      // a new snapshot is appended when the newest has reached retention divided by this
)

// Config configures a Follower.
type Config struct {
	Host      string // name of this entry host
	Log       Log
	Peers     PeerSource    // nil for a host without peers
	Retention time.Duration // how long the log keeps records; 0 means DefaultRetention
	OnChange  func(*State)  // called after each change of the contracts in force, one call at a time
	Logger    *log.Logger   // nil discards all messages
}

// Follower reads the log and keeps two states. One is the state after the records of the log. The other is the state in force, into
// which it also merges the states of peers and what it had read before the log was restored to an older state. The state in force
// thus never goes back to an older revision of a contract.
type Follower struct {
	cfg     Config
	inForce atomic.Pointer[State]

	// These fields are used only by the goroutine of Run.
	backoff            time.Duration
	lastRestoreCheck   time.Time
	behindSince        time.Time // zero if no peer is ahead
	snapshotDueSince   time.Time // zero if no snapshot is due
	lastSnapshotAppend time.Time // when this host last appended a snapshot

	mayBeRestored atomic.Bool  // the log may have been restored to an older state; checked before the next read
	began         time.Time    // of this Follower; its monotonic reading keeps lastContact right when the time of day is set
	lastContact   atomic.Int64 // nanoseconds from began to the last contact with the log or a peer
	ready         chan struct{}
	readyOnce     sync.Once

	mu               sync.Mutex
	machine          *StateMachine
	applied          *State                         // after the records of the log
	caughtUp         bool                           // the last read succeeded and reached the end of the log
	mergedPosition   int64                          // highest position of other states merged into inForce; 0 once applied covers it
	fetchedPositions map[string]int64               // by peer: position of the newest state fetched from it
	waiters          map[string][]chan ChangeResult // by op id
	notifyMu         sync.Mutex                     // makes calls of Config.OnChange sequential; locked before mu
}

// NewFollower returns a follower with an empty state.
func NewFollower(cfg Config) *Follower {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Logger == nil {
		cfg.Logger = log.New(io.Discard)
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(*State) {}
	}
	f := &Follower{cfg: cfg, began: time.Now(), machine: NewStateMachine(), ready: make(chan struct{}),
		fetchedPositions: map[string]int64{}, waiters: map[string][]chan ChangeResult{}}
	f.applied = f.machine.State()
	f.inForce.Store(f.applied)
	return f
}

// State returns the state in force. Its Position is the one that this host gossips.
func (f *Follower) State() *State { return f.inForce.Load() }

// Ready returns a channel that is closed once this host has read the log to its end or merged the state of a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// RecordContact records a contact with the log or a known peer.
func (f *Follower) RecordContact(now time.Time) { f.lastContact.Store(int64(now.Sub(f.began))) }

// Isolated reports whether the last contact with the log or a peer is so long ago that this host must refuse new work.
func (f *Follower) Isolated(now time.Time) bool {
	return now.Sub(f.began)-time.Duration(f.lastContact.Load()) > isolationTimeout
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		now := time.Now()
		if err == nil {
			f.backoff = 0
			f.RecordContact(now)
		} else if ctx.Err() == nil {
			f.cfg.Logger.Warn("config_read", "error", err)
			f.mayBeRestored.Store(true)
			f.mu.Lock()
			f.caughtUp = false
			f.mu.Unlock()
		}
		f.fetchFromPeers(ctx, now)
		if err != nil {
			f.waitBackoff(ctx)
			continue
		}
		if err := f.snapshotIfDue(ctx, now); err != nil {
			f.cfg.Logger.Warn("config_snapshot", "error", err)
		}
	}
}

// waitBackoff waits with exponential backoff and jitter, so that not all hosts read a recovering log at the same time.
func (f *Follower) waitBackoff(ctx context.Context) {
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	select {
	case <-ctx.Done():
	case <-time.After(f.backoff/2 + rand.N(f.backoff/2)):
	}
}

// poll reads the log once. Before that it checks whether the log was restored, if that is suspected or the last check is long ago.
func (f *Follower) poll(ctx context.Context) error {
	if f.mayBeRestored.Load() || time.Since(f.lastRestoreCheck) > restoreCheckInterval {
		if err := f.checkRestored(ctx); err != nil {
			return err
		}
	}
	f.mu.Lock()
	from, wait := f.machine.Position(), longPollWait
	switch {
	case !f.caughtUp && !f.machine.Gap():
		wait = 0 // the answer shows at once whether the end of the log is reached
	case !f.snapshotDueSince.IsZero() || !f.behindSince.IsZero():
		wait = shortPollWait
	}
	f.mu.Unlock()
	first, next, records, err := f.read(ctx, from, wait)
	if err != nil {
		return err
	}
	if next < from {
		f.restart("the log ends before the position of this host", from, next)
		return nil
	}
	f.applyRead(first, next, records)
	return nil
}

// read reads the log. It ends the read after wait+readTimeoutMargin, and earlier if a peer stays ahead of this host.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (int64, int64, []StoredRecord, error) {
	bounded, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	go f.cancelWhenBehind(bounded, cancel)
	return f.cfg.Log.Read(bounded, from, wait)
}

// cancelWhenBehind cancels a read once a peer has been ahead of this host for behindGrace. Otherwise, a read that gets no answer would
// delay fetching the peer's state beyond the time within which a change must be in force.
func (f *Follower) cancelWhenBehind(read context.Context, cancel context.CancelFunc) {
	var since time.Time
	for {
		select {
		case <-read.Done():
			return
		case <-time.After(behindCheckInterval):
		}
		switch now := time.Now(); {
		case !f.BehindPeers():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= behindGrace:
			cancel()
			return
		}
	}
}

// checkRestored checks whether the log was restored to an older state, and if so starts to read it again.
func (f *Follower) checkRestored(ctx context.Context) error {
	position, next, same, err := f.rereadLastRecord(ctx)
	if err != nil {
		return err
	}
	if !same {
		f.restart("the log holds other records than this host has read", position, next)
	}
	f.mayBeRestored.Store(false)
	f.lastRestoreCheck = time.Now()
	return nil
}

// rereadLastRecord reads again the last record that was read, at position-1. It reports whether the log still holds it.
func (f *Follower) rereadLastRecord(ctx context.Context) (position, next int64, same bool, err error) {
	f.mu.Lock()
	position, isLast := f.machine.lastRecord()
	f.mu.Unlock()
	if position == 0 {
		return 0, 0, true, nil
	}
	_, next, records, err := f.read(ctx, position-1, 0)
	return position, next, next >= position && (len(records) == 0 || isLast(records[0])), err
}

// restart makes Run read the log from its start, after the log was restored to an older state. The state in force stays as it is.
func (f *Follower) restart(reason string, position, next int64) {
	f.cfg.Logger.Warn("config_log_restored", "reason", reason, "position", position, "log_next", next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mergedPosition = max(f.mergedPosition, f.State().Position)
	f.machine = NewStateMachine()
	f.applied = f.machine.State()
	f.caughtUp = false
}

// applyRead applies the result of a read, updates the state in force and passes the outcomes of changes to the waiting calls of Publish.
func (f *Follower) applyRead(first, next int64, records []StoredRecord) {
	f.mu.Lock()
	results := f.machine.Apply(first, records)
	if f.machine.next != f.applied.Position {
		f.applied = f.machine.State()
	}
	f.caughtUp = f.machine.Position() >= next && !f.machine.Gap()
	if f.caughtUp {
		f.readyOnce.Do(func() { close(f.ready) })
	}
	f.mu.Unlock()
	f.updateInForce(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range results {
		for _, c := range f.waiters[r.OpID] {
			c <- r // does not block: the channel has a buffer of one and gets one result only
		}
		delete(f.waiters, r.OpID)
	}
}

// updateInForce merges the state after the log's records and, unless nil, a peer's state into the state in force. If entries changed,
// it calls OnChange.
func (f *Follower) updateInForce(peer *State) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.mu.Lock()
	old := f.State()
	merged := old.Merge(f.applied)
	if peer != nil {
		merged = merged.Merge(peer)
		f.mergedPosition = max(f.mergedPosition, peer.Position)
	}
	next := &State{Position: max(f.applied.Position, f.mergedPosition), Entries: merged.Entries}
	if f.caughtUp && f.applied.Covers(next) {
		f.mergedPosition = 0
		next.Position = f.applied.Position
	}
	f.inForce.Store(next)
	f.mu.Unlock()
	if merged != old {
		f.cfg.OnChange(next)
	}
}

// livePeers returns the other live entry hosts.
func (f *Follower) livePeers() []Peer {
	if f.cfg.Peers == nil {
		return nil
	}
	return f.cfg.Peers.LivePeers()
}

// peersAhead returns the live peers whose state in force may be newer than that of this host, highest position first. It leaves out a
// peer whose state at its current position was already merged. Such a peer may still have a higher position than this host, because
// its position may count records that a restore of the log removed.
func (f *Follower) peersAhead() []Peer {
	var out []Peer
	peers := f.livePeers()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range peers {
		if p.Position < f.fetchedPositions[p.Host] {
			delete(f.fetchedPositions, p.Host) // the peer has read a restored log again, whose positions are lower
		}
		if p.Position > f.State().Position && p.Position > f.fetchedPositions[p.Host] {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return int(b.Position - a.Position) })
	return out
}

// BehindPeers reports whether the state in force of a live peer may be newer than that of this host. Comparing positions does not suffice:
// the position of a peer may count records that a restore of the log removed.
func (f *Follower) BehindPeers() bool { return len(f.peersAhead()) > 0 }

// fetchFromPeers fetches and merges the state of the peer that is furthest ahead, or of the next one if that fails. It does so at once
// if this host has not read the log to its end, otherwise only after a peer has been ahead for behindGrace.
func (f *Follower) fetchFromPeers(ctx context.Context, now time.Time) {
	ahead := f.peersAhead()
	if len(ahead) == 0 {
		f.behindSince = time.Time{}
		return
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	f.mu.Lock()
	caughtUp := f.caughtUp
	f.mu.Unlock()
	if caughtUp && now.Sub(f.behindSince) < behindGrace {
		return
	}
	for _, p := range ahead {
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		state, err := f.cfg.Peers.FetchState(bounded, p.Host)
		cancel()
		if err != nil {
			f.cfg.Logger.Warn("config_from_peer", "peer", p.Host, "error", err)
			continue
		}
		f.mu.Lock()
		f.fetchedPositions[p.Host] = max(p.Position, state.Position)
		f.mu.Unlock()
		f.RecordContact(time.Now())
		f.updateInForce(state)
		f.readyOnce.Do(func() { close(f.ready) })
		return
	}
}
