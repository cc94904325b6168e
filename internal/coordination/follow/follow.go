// Package follow keeps a host's view of the platform's store current with few calls. A host reads the store when what it knows has
// become too old, and tells its peers what it read; how old is too old depends on its rank, so that normally one host reads for all. A
// host that hears nothing reads for itself. There is no leader: the ranks only save calls.
package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Record is one entry of a keyed topic. A nil Value removes the key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Offset int64  `cbor:"3,keyasint"`
}

// ErrTruncated says that the records that were asked for are no longer kept.
var ErrTruncated = errors.New("the records are no longer kept: read the newest record of each key")

// Store is the platform's store.
type Store interface {
	// Newest returns the newest record of each key of a topic, and the offset from which to read on.
	Newest(ctx context.Context, topic string) (records []Record, next int64, err error)
	// Read returns the records of a topic from an offset, and the offset from which to read on. It may return ErrTruncated.
	Read(ctx context.Context, topic string, from int64) (records []Record, next int64, err error)
	// Append writes the newest record of a key.
	Append(ctx context.Context, topic, key string, value []byte) error
}

// Fold takes in the records of a topic. It is called from one goroutine at a time.
type Fold interface {
	// Apply reports whether the record changed anything, which makes it worth telling peers.
	Apply(r Record, disturbed bool, now time.Time) bool
	// Complete is called after a full read with the keys that exist.
	Complete(keys map[string]bool, disturbed bool, now time.Time)
}

// Feed is one topic that is followed.
type Feed struct {
	Topic string
	Fold  Fold
	// Every is the number of refreshes between two reads of the topic. Peers tell changes of some topics at once, so that these need
	// no frequent reads.
	Every int
}

// Update is what a host tells its peers after it has read the store.
type Update struct {
	AgeMS     int64        `cbor:"1,keyasint"` // since the read began
	Disturbed bool         `cbor:"2,keyasint"` // the store was unavailable shortly before
	Feeds     []FeedUpdate `cbor:"3,keyasint"`
}

// FeedUpdate covers the offsets From to Next of a topic. Records that changed nothing are left out.
type FeedUpdate struct {
	Topic   string   `cbor:"1,keyasint"`
	From    int64    `cbor:"2,keyasint"`
	Next    int64    `cbor:"3,keyasint"`
	Records []Record `cbor:"4,keyasint,omitempty"`
	// Cut says that records are left out because they are too large to be told. The receiver reads them itself.
	Cut bool `cbor:"5,keyasint,omitempty"`
}

// Config of a Follower.
type Config struct {
	Store Store
	Feeds []Feed
	// MaxAge returns how old this host lets its knowledge become before it reads the store, by its rank among its peers.
	MaxAge func() time.Duration
	// Tell sends an update to the peers.
	Tell func(Update)
	// Lost and Regained are called when the store stops and starts to answer this host.
	Lost     func(error)
	Regained func(away time.Duration)
	// Failed is called while the store is away, after each failed read.
	Failed func(now time.Time)
}

const (
	// readTimeout bounds one call. A connection that has gone silent is given up after it.
	readTimeout = time.Second
	// retryFirst is the pause after a failed read, doubling up to retryLongest. Together with the ranks it bounds the calls to a store
	// that refuses them.
	retryFirst   = 250 * time.Millisecond
	retryLongest = time.Second
	// disturbedFor is how long after its last failure the store counts as disturbed: endpoints that could not renew their entries are
	// back about two seconds after its return.
	disturbedFor = 2 * time.Second
	// toldBytes bounds the records of one update, which has to fit into a datagram.
	toldBytes = 8 << 10
)

// Follower keeps the feeds current.
type Follower struct {
	cfg  Config
	wake chan struct{}

	mu          sync.Mutex
	positions   []int64   // next offset of each feed; -1 before the first read
	asOf        time.Time // the knowledge reflects the store at this time or later
	lastFailure time.Time
	downSince   time.Time // zero while the store answers
	behind      bool      // a peer told of records that this host has missed
	refreshes   int
}

// New returns a follower that has read nothing yet.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1), positions: make([]int64, len(cfg.Feeds))}
	for i := range f.positions {
		f.positions[i] = -1
	}
	return f
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	retry := retryFirst
	for ctx.Err() == nil {
		wait := f.due(time.Now())
		if wait <= 0 {
			if err := f.Refresh(ctx); err != nil {
				wait = retry
				retry = min(2*retry, retryLongest)
			} else {
				retry = retryFirst
				continue
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// due returns how long the knowledge may stay as it is.
func (f *Follower) due(now time.Time) time.Duration {
	maxAge := f.cfg.MaxAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() || f.behind {
		return 0
	}
	return f.asOf.Add(maxAge).Sub(now)
}

// Age returns how old the knowledge is, and whether there is any.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.asOf), !f.asOf.IsZero()
}

// Down returns how long the store has not answered this host; 0 if it answers.
func (f *Follower) Down(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.downSince.IsZero() {
		return 0
	}
	return now.Sub(f.downSince)
}

// Refresh reads all feeds that are due and tells the peers.
func (f *Follower) Refresh(ctx context.Context) error {
	start := time.Now()
	f.mu.Lock()
	full := f.asOf.IsZero() || f.behind
	n := f.refreshes
	f.refreshes++
	positions := append([]int64(nil), f.positions...)
	f.mu.Unlock()
	reads := make([]feedRead, len(f.cfg.Feeds))
	var wg sync.WaitGroup
	for i, feed := range f.cfg.Feeds {
		if !full && n%max(1, feed.Every) != 0 {
			reads[i].skipped = true
			continue
		}
		wg.Go(func() { reads[i] = f.read(ctx, feed.Topic, positions[i]) })
	}
	wg.Wait()
	var err error
	for i := range reads {
		if reads[i].err != nil {
			err = trace.Wrap(reads[i].err, "read topic %s", f.cfg.Feeds[i].Topic)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return f.take(start, reads, err)
}

type feedRead struct {
	skipped  bool
	complete bool // all newest records, not those since an offset
	from     int64
	next     int64
	records  []Record
	err      error
}

func (f *Follower) read(ctx context.Context, topic string, from int64) feedRead {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if from >= 0 {
		records, next, err := f.cfg.Store.Read(ctx, topic, from)
		if !errors.Is(err, ErrTruncated) {
			return feedRead{from: from, next: next, records: records, err: err}
		}
	}
	records, next, err := f.cfg.Store.Newest(ctx, topic)
	return feedRead{complete: true, from: from, next: next, records: records, err: err}
}

// take folds what was read.
func (f *Follower) take(start time.Time, reads []feedRead, err error) error {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.lastFailure = now
		first := f.downSince.IsZero()
		if first {
			f.downSince = start
			f.cfg.Lost(err)
		}
		f.cfg.Failed(now)
	}
	disturbed := f.disturbed(now)
	u := Update{Disturbed: disturbed}
	for i, r := range reads {
		if r.skipped || r.err != nil {
			continue
		}
		fu := f.fold(i, r, disturbed, now)
		if r.from >= 0 { // what a host reads at its start is no news to its peers
			u.Feeds = append(u.Feeds, fu)
		}
	}
	if err != nil {
		return err
	}
	if !f.downSince.IsZero() {
		f.cfg.Regained(now.Sub(f.downSince))
		f.downSince = time.Time{}
	}
	f.asOf, f.behind = start, false
	u.AgeMS = now.Sub(start).Milliseconds()
	f.cfg.Tell(u)
	return nil
}

func (f *Follower) disturbed(now time.Time) bool {
	return !f.lastFailure.IsZero() && now.Sub(f.lastFailure) < disturbedFor
}

// fold takes in one feed. The lock is held.
func (f *Follower) fold(i int, r feedRead, disturbed bool, now time.Time) FeedUpdate {
	feed := &f.cfg.Feeds[i]
	u := FeedUpdate{Topic: feed.Topic, From: f.positions[i], Next: r.next}
	keys := map[string]bool{}
	size := 0
	for _, rec := range r.records {
		if rec.Value != nil {
			keys[rec.Key] = true
		}
		if rec.Offset < f.positions[i] && !r.complete {
			continue
		}
		if !feed.Fold.Apply(rec, disturbed, now) {
			continue
		}
		if size += len(rec.Key) + len(rec.Value); size > toldBytes {
			u.Records, u.Cut = nil, true
		} else {
			u.Records = append(u.Records, rec)
		}
	}
	if r.complete {
		feed.Fold.Complete(keys, disturbed, now)
		u.Cut = true // removals are not among the records
	}
	f.positions[i] = max(f.positions[i], r.next)
	return u
}

// Heard takes in a peer's update. It reports whether the update was news to this host.
func (f *Follower) Heard(u Update, sent time.Time) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := sent.Add(-time.Duration(u.AgeMS) * time.Millisecond)
	if f.asOf.IsZero() || !asOf.After(f.asOf) {
		return false
	}
	if u.Disturbed {
		f.lastFailure = now
	}
	for _, fu := range u.Feeds {
		if !f.hear(fu, u.Disturbed, now) {
			f.behind = true
		}
	}
	if f.behind {
		f.poke()
		return true
	}
	f.asOf = asOf
	return true
}

// hear takes in one feed of a peer's update. It fails if records are missing in between.
func (f *Follower) hear(u FeedUpdate, disturbed bool, now time.Time) bool {
	for i := range f.cfg.Feeds {
		if f.cfg.Feeds[i].Topic != u.Topic {
			continue
		}
		if u.Next <= f.positions[i] {
			return true
		}
		if u.Cut || u.From > f.positions[i] || f.positions[i] < 0 {
			return false
		}
		for _, rec := range u.Records {
			if rec.Offset >= f.positions[i] {
				f.cfg.Feeds[i].Fold.Apply(rec, disturbed, now)
			}
		}
		f.positions[i] = u.Next
	}
	return true
}

// poke makes Run look again.
func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
