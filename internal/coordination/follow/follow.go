// Package follow keeps a host's view of the platform's store current with few calls. A host reads the store when what it knows has
// become too old, and tells its peers what it read; how old is too old depends on its rank, so that normally one host reads for all. A
// host that hears nothing reads for itself. There is no leader: the ranks only save calls.
package follow

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
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
	// Additive says that missed records are made good in other ways, so that a gap is no reason to read the store.
	Additive bool
}

// Config of a Follower.
type Config struct {
	Store Store
	Feeds []Feed
	// MaxAge returns how old this host lets its knowledge become before it reads the store, by its rank among its peers.
	MaxAge func() time.Duration
	// Tell sends an update to the peers.
	Tell func(Update)
	// Read is called after each successful refresh.
	Read func(ReadInfo)
	// Lost and Regained are called when the store stops and starts to answer this host.
	Lost     func(error)
	Regained func(away time.Duration)
	// Failed is called while the store is away, after each failed read.
	Failed func(now time.Time)
}

const (
	// readTimeout bounds one call. A connection that has gone silent is given up after it.
	readTimeout = time.Second
	// retryFirst is the pause after a failed read, in parts of the age that this host lets its knowledge reach, doubling up to
	// retryLongest. So hosts that come later in rank also ask a store that is away less often: those that come first, which ask each 2 s,
	// tell the others of its return.
	retryFirst   = 0.5
	retryLongest = 3.0
	// disturbedFor is how long after its return the store counts as disturbed: endpoints that could not renew their entries are back about
	// two seconds after it.
	disturbedFor = 2 * time.Second
	// servedWithin tells a store that is away from one that only this host does not reach: peers read a sound store at least each 1.3 s.
	servedWithin = 1500 * time.Millisecond
	// toldBytes bounds the records of one update, which has to fit into a datagram once it is compressed. toldParts bounds the updates
	// for one read; if they do not hold it, the receivers read for themselves.
	toldBytes = 24 << 10
	toldParts = 8
)

// ReadInfo describes a refresh, for logs.
type ReadInfo struct {
	Reason  string        // first, behind or age
	Age     time.Duration // of the knowledge before it
	Took    time.Duration
	Feeds   int // topics that were read
	Records int
}

// Follower keeps the feeds current.
type Follower struct {
	cfg  Config
	wake chan struct{}

	mu          sync.Mutex
	positions   []int64             // next offset of each feed; -1 before the first read
	newest      []map[string]Record // of each feed, the records that the knowledge rests on, by key
	asOf        time.Time           // the knowledge reflects the store at this time or later
	lastFailure time.Time           // of a read of this host
	returned    time.Time           // when the store answered again after it had been away for all
	undisturbed time.Time           // of the newest read by a peer that found the store undisturbed
	downSince   time.Time           // zero while the store answers
	behind      bool                // a peer told of records that this host has missed
	refreshes   int
}

// New returns a follower that has read nothing yet.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1), positions: make([]int64, len(cfg.Feeds)), newest: make([]map[string]Record, len(cfg.Feeds))}
	for i := range f.positions {
		f.positions[i], f.newest[i] = -1, map[string]Record{}
	}
	return f
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		wait := f.due(time.Now())
		if wait <= 0 {
			if err := f.Refresh(ctx); err != nil {
				wait = f.retryAfter(failed)
				failed++
			} else {
				failed = 0
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

// retryAfter returns the pause after a failed read, given the number of failed ones before it.
func (f *Follower) retryAfter(failed int) time.Duration {
	parts := min(retryFirst*math.Pow(2, float64(failed)), retryLongest)
	return time.Duration(parts * float64(f.cfg.MaxAge()))
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
	info := ReadInfo{Reason: "age", Age: start.Sub(f.asOf)}
	switch {
	case f.asOf.IsZero():
		info.Reason, info.Age = "first", 0
	case f.behind:
		info.Reason = "behind"
	}
	n := f.refreshes
	f.refreshes++
	positions := append([]int64(nil), f.positions...)
	down := !f.downSince.IsZero()
	f.mu.Unlock()
	reads := make([]feedRead, len(f.cfg.Feeds))
	var wg sync.WaitGroup
	var err error
	for i, feed := range f.cfg.Feeds {
		reads[i].skipped = err != nil || !full && n%max(1, feed.Every) != 0
		switch {
		case reads[i].skipped:
		case down: // one call tells whether the store answers again
			reads[i] = f.read(ctx, feed.Topic, positions[i])
			err = reads[i].err
		default:
			wg.Go(func() { reads[i] = f.read(ctx, feed.Topic, positions[i]) })
		}
	}
	wg.Wait()
	for i := range reads {
		if reads[i].err != nil {
			err = trace.Wrap(reads[i].err, "read topic %s", f.cfg.Feeds[i].Topic)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err = f.take(start, reads, err); err != nil {
		return err
	}
	for i := range reads {
		if !reads[i].skipped {
			info.Feeds++
			info.Records += len(reads[i].records)
		}
	}
	info.Took = time.Since(start)
	f.cfg.Read(info)
	return nil
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
	if err == nil && !f.downSince.IsZero() && !f.servesOthers() {
		f.returned = now
	}
	disturbed := f.disturbed(now)
	var told []FeedUpdate
	for i, r := range reads {
		if r.skipped || r.err != nil {
			continue
		}
		fu := f.fold(i, r, disturbed, now)
		if r.from >= 0 { // what a host reads at its start is no news to its peers
			told = append(told, fu)
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
	for _, u := range split(told) {
		u.AgeMS, u.Disturbed = now.Sub(start).Milliseconds(), disturbed
		f.cfg.Tell(u)
	}
	return nil
}

// disturbed reports whether endpoints may have been unable to renew their entries lately. The lock is held.
func (f *Follower) disturbed(now time.Time) bool {
	away := !f.downSince.IsZero() && !f.servesOthers()
	return away || (!f.returned.IsZero() && now.Sub(f.returned) < disturbedFor)
}

// servesOthers reports whether a peer read the store without trouble shortly before this host last failed to.
func (f *Follower) servesOthers() bool { return f.undisturbed.After(f.lastFailure.Add(-servedWithin)) }

// fold takes in one feed. The lock is held.
func (f *Follower) fold(i int, r feedRead, disturbed bool, now time.Time) FeedUpdate {
	feed := &f.cfg.Feeds[i]
	u := FeedUpdate{Topic: feed.Topic, From: f.positions[i], Next: r.next}
	keys := map[string]bool{}
	for _, rec := range r.records {
		if rec.Value != nil {
			keys[rec.Key] = true
		}
		if rec.Offset < f.positions[i] && !r.complete {
			continue
		}
		if f.apply(i, rec, disturbed, now) {
			u.Records = append(u.Records, rec)
		}
	}
	if r.complete {
		for key := range f.newest[i] {
			if !keys[key] { // told as a removal
				delete(f.newest[i], key)
				u.Records = append(u.Records, Record{Key: key, Offset: max(u.From, r.next-1)})
			}
		}
		feed.Fold.Complete(keys, disturbed, now)
		// Newest records come in no order of offsets, and changes that were made before From may be among them.
		for n := range u.Records {
			u.Records[n].Offset = max(u.Records[n].Offset, u.From)
		}
		slices.SortStableFunc(u.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	f.positions[i] = max(f.positions[i], r.next)
	return u
}

// apply hands a record to its fold and keeps it for State.
func (f *Follower) apply(i int, rec Record, disturbed bool, now time.Time) bool {
	if rec.Value == nil {
		delete(f.newest[i], rec.Key)
	} else {
		f.newest[i][rec.Key] = rec
	}
	return f.cfg.Feeds[i].Fold.Apply(rec, disturbed, now)
}

// poke makes Run look again.
func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
