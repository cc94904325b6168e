// Package follow keeps a host's copy of some topics of the platform's store up to date with few calls to the store. A host reads the store
// when its copy is older than its maximum age, and sends its peers an update with what it read. The maximum age grows with the host's rank
// among its peers, so that normally one host reads for all. A host that receives no updates reads the store itself. There is no leader:
// the ranks only save calls.
package follow

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Record is one entry of a keyed topic. A nil Value is a tombstone: it removes the key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Offset int64  `cbor:"3,keyasint"`
	// Ahead is set in the copies of hosts if Value is of an earlier epoch and newer than the store's record at Offset. Some hosts have only
	// the latter.
	Ahead bool `cbor:"4,keyasint,omitempty"`
}

// ErrTruncated is returned by Store.Read if the store has deleted records at or after the requested offset, or if its log ends before it.
var ErrTruncated = errors.New("the store does not have the requested records; read the newest record of each key")

// Answer is the store's answer to a read.
type Answer struct {
	// Epoch is the store's epoch, which rises each time that the store returns from an older copy of itself. It is also set with an error if
	// the store has answered. Stores without epochs leave it 0.
	Epoch   int64
	Records []Record
	Next    int64 // offset at which the next Read continues
	// Torn is set by Newest if records after Next were written during the call: Records may contain them, and lack keys that they removed.
	Torn bool
}

// Store is a client of the platform's store, which keeps a log of records for each topic. A call returns an error if its response makes no
// progress, but not because a large response takes long.
type Store interface {
	// Newest returns the newest record of each key of a topic. Its memory is bounded by what is kept, not by what the topic holds.
	Newest(ctx context.Context, topic string, keep Keep) (Answer, error)
	// Read returns the records of a topic from an offset on. It may return ErrTruncated.
	Read(ctx context.Context, topic string, from int64, keep Keep) (Answer, error)
	// Watch is Read for an offset that may be the end of the topic: the store answers as soon as it has a record from the offset on, or without one
	// after the given time. arriving is called when records begin to arrive; if it returns false, the call ends with an error.
	Watch(ctx context.Context, topic string, from int64, wait time.Duration, keep Keep, arriving func() bool) (Answer, error)
	// Append appends a record to a topic. It becomes the newest record of its key. Append returns the store's epoch as Answer.Epoch does.
	Append(ctx context.Context, topic, key string, value []byte) (epoch int64, err error)
}

// Keep says what to keep of a record that is being read: the record, with or without its value, or nothing. A Store calls it for each record as soon as it
// has it, from the goroutine of the call. Nil keeps all records.
type Keep func(Record) (Record, bool)

// Append appends what is kept of a record to a list.
func (k Keep) Append(list []Record, r Record) []Record {
	if k == nil {
		return append(list, r)
	}
	if kept, ok := k(r); ok {
		list = append(list, kept)
	}
	return list
}

// Handler applies the records of a topic to the host's state. It is called from one goroutine at a time. recentOutage is true during an
// outage of the store and shortly after it, when endpoints may have been unable to renew their entries.
type Handler interface {
	// Apply applies a record and reports whether it does more than renew the last one of its key, also if the host's state does not change
	// because the host knows the same from elsewhere. Updates to peers contain only removals and the records that do.
	Apply(r Record, recentOutage bool, now time.Time) bool
	// RetainKeys is called after a read of a whole topic, with the keys that exist. All other keys have been removed from the topic.
	RetainKeys(keys map[string]bool, recentOutage bool, now time.Time)
	// Compare orders two records of a key by their content: order is negative if a is older than b, and 0 if their content gives no order.
	// renewal is true if one only renews the other. Compare decides between the records of two epochs of the store.
	Compare(a, b Record) (order int, renewal bool)
}

// Feed is one topic of which the host keeps a copy.
type Feed struct {
	Topic   string
	Handler Handler
	// Prepare, if set, is called with records that Apply is about to get. Apply holds up reads of the copy and updates of peers; Prepare does not,
	// and decodes large records beforehand.
	Prepare func(r Record)
	// Validate, if set, says whether a record that is no tombstone counts. Programs other than the owners of the keys may write to a topic.
	Validate func(r Record) Validity
	// Reduce, if set, returns a large record without what no host uses of its value, or false if it is Invalid whatever the other feeds hold. Small records
	// and tombstones are returned as they are. It is called from several goroutines.
	Reduce func(r Record) (Record, bool)
	// RefreshesPerRead is the number of refreshes from one read of the topic to the next. Changes of some topics also reach the host
	// directly from its peers, so that these need no frequent reads.
	RefreshesPerRead int
	// AllowGaps is set if the host also learns the topic's records in other ways. An update with a gap is then applied and causes no read
	// of the store.
	AllowGaps bool
	// Watch is set if hosts watch the topic, see Config.Watches. Its changes may be large, and it changes seldom.
	Watch bool
	// KeepMissing is set if a record stays in force until a newer one replaces it, however long a store that returned from an older copy
	// lacks it. Otherwise such a record counts as removed after renewalGracePeriod.
	KeepMissing bool
}

// Config is the configuration of a Follower.
type Config struct {
	Store Store
	Feeds []Feed
	// MaxAge returns the age of the copy at which this host reads the store. It depends on the host's rank among its peers.
	MaxAge func() time.Duration
	// ReadDelay returns how much older than MaxAge the copy may become, and how much longer pauses between failed reads are, because other
	// hosts fail to read the store and will tell when it answers again. Nil means 0.
	ReadDelay func() time.Duration
	// Watches returns whether this host watches the store for changes of the feeds with Watch. Some hosts do, since each of them reads all changes
	// from the store. Nil means that no host does.
	Watches func() bool
	// SendUpdate sends an update to the peers.
	SendUpdate func(Update)
	// OnRefresh is called after each successful refresh.
	OnRefresh func(RefreshInfo)
	// OnStoreLost is called when this host's reads of the store begin to fail, and OnStoreRecovered when they succeed again, with the time
	// in between.
	OnStoreLost      func(error)
	OnStoreRecovered func(outage time.Duration)
	// OnRefreshFailed is called after each failed refresh.
	OnRefreshFailed func(now time.Time)
	// FetchChanges fetches from a peer what has changed since a position. It returns an error soon if the peer does not answer. Nil means that a
	// host that missed an update reads the store.
	FetchChanges func(ctx context.Context, since Position) (*State, error)
	// OnCatchUpFailed is called when FetchChanges has failed or returned an older state. The host reads the store instead.
	OnCatchUpFailed func(error)
	// OnEpochChange is called when a higher epoch of the store begins, before records of that epoch are applied.
	OnEpochChange func(EpochChange)
	// OnSkip is called when a record of the store is not used, once for each record. Nil means that nothing is called.
	OnSkip func(Skip)
	// MaxUnusedBytes bounds the memory of the unconfirmed records of a feed, and that of the keys of its invalid records, in bytes each. 0 means
	// defaultMaxUnusedBytes. An unconfirmed record beyond it counts only from its owner's next one on.
	MaxUnusedBytes int
}

const (
	// maxReadTime bounds the read of a part of a topic's log. It leaves time for records of many megabytes over slow links: a read that is given up and
	// begun again never ends. The Store gives up calls that make no progress much earlier.
	maxReadTime = 30 * time.Second
	// maxWholeReadTime is the same for all records of a topic. Other programs may have written some hundred megabytes to it, of which nothing is kept.
	maxWholeReadTime = 5 * time.Minute
	// firstRetryFactor is the pause after the first failed read, as a multiple of MaxAge. It doubles with each further failure up to
	// maxRetryFactor, and Config.ReadDelay is added. Hosts with a later rank therefore also retry less often during an outage; the
	// first-ranked hosts, which retry every 2 s, tell them when the store answers again.
	firstRetryFactor = 0.5
	maxRetryFactor   = 3.0
	// delayCheckInterval is the interval at which a host whose read is due looks whether Config.ReadDelay has become shorter.
	delayCheckInterval = 500 * time.Millisecond
	// renewalGracePeriod is how long after an outage of the store a missing entry may still belong to a running endpoint: endpoints that
	// could not renew their entries during the outage have renewed them about two seconds after its end.
	renewalGracePeriod = 2 * time.Second
	// peerReadWindow distinguishes an outage of the store from a failure of this host's connection to it. Peers read a working store at
	// least every 1.3 s. If a peer read it at most peerReadWindow before this host's failed read, only this host fails to reach the store.
	peerReadWindow = 1500 * time.Millisecond
	// maxUpdateBytes bounds the size of the records of one update, which has to fit into a datagram after compression. maxUpdatesPerRead
	// bounds the number of updates with the records of one read. If the records need more, a last update without records has RecordsOmitted
	// set, and the receivers read the store themselves.
	maxUpdateBytes    = 24 << 10
	maxUpdatesPerRead = 8
)

// RefreshInfo describes a refresh, for logs.
type RefreshInfo struct {
	Reason  string        // first (no copy yet), behind (an update had a gap), age (the copy was too old) or watch (a watch returned records)
	Age     time.Duration // of the copy before the refresh
	Took    time.Duration
	Topics  int // number of topics that were read
	Records int
}

// Follower keeps the copies of all feeds up to date.
type Follower struct {
	cfg  Config
	wake chan struct{} // makes Run check again whether a refresh is due

	mu                  sync.Mutex
	epoch               int64                  // highest epoch of the store that this host knows; the next three fields belong to it
	nextOffsets         []int64                // next offset of each feed; -1 before the first read
	newest              []map[string]Record    // the copy: of each feed, the newest record of each key
	removed             []removals             // of each feed
	revision            uint64                 // number of changes of what states contain
	inherited           []map[string]Inherited // of each feed, records of earlier epochs that are in force because the store lacks their keys
	departed            []map[string]Departure // of each feed, the keys removed within departureLifetime, by key
	readWhole           []bool                 // of each feed: the last read of the whole topic was older than the copy and has to be repeated
	torn                []bool                 // of each feed: the copy is a read of the whole topic of which some pages are newer than its end
	copyEnd             []int64                // of each feed, an offset at or after the end of the copy from which the store returned, or unknownEnd
	progress            progress               // how far the copies had reached, which bounds copyEnd
	skipped             []map[string]Record    // of each feed, the records that are not used although the store lists them, see superseded
	unused              []unusedRecords        // of each feed, records that are not applied because they are not valid, see hold
	validityChanged     bool                   // a feed without Validate has changed, so that unconfirmed records may have become valid
	rechecked           bool                   // the feeds with skipped keys were read or fetched as a whole once more
	epochChanged        bool                   // the epoch has changed while this host or the peer from which it has its copy had a copy
	epochSince          time.Time              // when the store first answered in this epoch, if epochChanged; zero if it has not
	announceEpoch       bool                   // this host learned the epoch from the store and has not told its peers yet
	asOf                time.Time              // the copy contains all changes up to this time; zero if there is no copy yet; changed by setAsOf
	lastFailure         time.Time              // end of this host's last failed refresh
	lastOutageEnd       time.Time              // end of the last outage of the store, as observed by this host or reported by a peer
	lastHealthyPeerRead time.Time              // start of the newest read after which a peer reported no recent outage
	failingSince        time.Time              // when this host's reads began to fail; zero while they succeed
	behind              bool                   // an update of a peer had a gap: this host has to catch up from a peer or read the store
	refreshCount        int                    // number of refreshes that were started
	announced           []int64                // of each feed, the end of the updates that had a gap
	lastGap             time.Time              // when the last update with a gap was received
	lastRead            time.Time              // start of the last refresh that succeeded, even if reads of topics had not ended
	readAt              []time.Time            // of each feed, start of the last read that succeeded
	cancelRead          []context.CancelFunc   // of each feed, ends the read in progress; nil if there is none
	cancelCatchUp       context.CancelFunc     // ends the catch-up in progress; nil if there is none
	catchUpBegin        time.Time              // of the last catch-up
	catchUpFailed       bool                   // the last catch-up failed, and no refresh has ended since
	failures            int                    // refreshes that have failed since the last one that succeeded, or the last catch-up that did
	unsent              []unsentUpdate         // updates that are not yet passed to SendUpdate, in order

	// age is asOf, nil if that is zero, for those who must not wait for f.mu: it is held while changes are applied.
	age atomic.Pointer[time.Time]
	// sendMu is held while updates are sent, so that they keep their order. It is locked before mu.
	sendMu     sync.Mutex
	background sync.WaitGroup // reads and the catch-up in progress
}

// New returns a follower that has no copy yet.
func New(cfg Config) *Follower {
	if cfg.ReadDelay == nil {
		cfg.ReadDelay = func() time.Duration { return 0 }
	}
	if cfg.MaxUnusedBytes == 0 {
		cfg.MaxUnusedBytes = defaultMaxUnusedBytes
	}
	if cfg.OnSkip == nil {
		cfg.OnSkip = func(Skip) {}
	}
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1), nextOffsets: make([]int64, len(cfg.Feeds)),
		newest: make([]map[string]Record, len(cfg.Feeds)), removed: make([]removals, len(cfg.Feeds)), readWhole: make([]bool, len(cfg.Feeds)),
		torn: make([]bool, len(cfg.Feeds)), copyEnd: make([]int64, len(cfg.Feeds)), skipped: make([]map[string]Record, len(cfg.Feeds)), unused: make([]unusedRecords, len(cfg.Feeds)),
		inherited: make([]map[string]Inherited, len(cfg.Feeds)), departed: make([]map[string]Departure, len(cfg.Feeds)),
		announced: make([]int64, len(cfg.Feeds)), readAt: make([]time.Time, len(cfg.Feeds)), cancelRead: make([]context.CancelFunc, len(cfg.Feeds))}
	for i := range f.nextOffsets {
		f.copyEnd[i] = unknownEnd
		f.nextOffsets[i], f.newest[i], f.inherited[i], f.departed[i] = -1, map[string]Record{}, map[string]Inherited{}, map[string]Departure{}
		f.skipped[i], f.unused[i] = map[string]Record{}, newUnusedRecords(cfg.MaxUnusedBytes)
	}
	return f
}

// Run refreshes the copy whenever that is due, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.background.Wait()
	for i, feed := range f.cfg.Feeds {
		if feed.Watch && f.cfg.Watches != nil {
			f.background.Go(func() { f.watch(ctx, i) })
		}
	}
	for ctx.Err() == nil {
		f.startCatchUp(ctx)
		now, wait := time.Now(), f.untilRefresh
		if wait(now) <= 0 {
			failures := f.countFailure(f.refresh(ctx, false))
			if failures == 0 {
				continue
			}
			failed := time.Now()
			wait = func(now time.Time) time.Duration { return failed.Add(f.retryPause(failures - 1)).Sub(now) }
		}
		f.sleep(ctx, wait)
	}
}

// sleep returns when remaining, which it calls again while Config.ReadDelay may become shorter, is not positive, and when f.wake is
// signaled or ctx ends.
func (f *Follower) sleep(ctx context.Context, remaining func(now time.Time) time.Duration) {
	for {
		wait := remaining(time.Now())
		if wait <= 0 {
			return
		}
		if f.cfg.ReadDelay() > 0 {
			wait = min(wait, delayCheckInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.wake:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// countFailure counts a refresh that has failed, or resets the count if err is nil. It returns the count.
func (f *Follower) countFailure(err error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	if err == nil {
		f.failures = 0
	}
	f.catchUpFailed = false
	return f.failures
}

// retryPause returns the pause after a failed refresh that followed the given number of failed refreshes.
func (f *Follower) retryPause(failures int) time.Duration {
	factor := min(firstRetryFactor*math.Pow(2, float64(failures)), maxRetryFactor)
	return time.Duration(factor*float64(f.cfg.MaxAge())) + f.cfg.ReadDelay()
}

// untilRefresh returns the time until the next refresh; it is zero or negative if a refresh is due.
func (f *Follower) untilRefresh(now time.Time) time.Duration {
	maxAge := f.cfg.MaxAge() + f.cfg.ReadDelay()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() || (f.behind || !f.complete()) && f.cancelCatchUp == nil && !f.reading() {
		return 0
	}
	wait := later(f.asOf, f.lastRead).Add(maxAge).Sub(now)
	if f.cancelCatchUp != nil {
		wait = max(wait, f.catchUpBegin.Add(catchUpHeadStart).Sub(now))
	}
	return wait
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// reading reports whether a read of a feed is in progress. f.mu must be held.
func (f *Follower) reading() bool {
	return slices.ContainsFunc(f.cancelRead, func(cancel context.CancelFunc) bool { return cancel != nil })
}

// Age returns the age of the copy, and false if there is none yet. It does not wait while changes are applied.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	asOf := f.age.Load()
	if asOf == nil {
		return 0, false
	}
	return now.Sub(*asOf), true
}

// setAsOf sets asOf. f.mu must be held.
func (f *Follower) setAsOf(t time.Time) {
	f.asOf = t
	if !t.IsZero() {
		f.progress.record(t, time.Now(), f.nextOffsets)
		f.age.Store(&t)
	}
}

// FailingFor returns for how long this host's reads of the store have failed, or 0 if the last one succeeded.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return 0
	}
	return now.Sub(f.failingSince)
}

// StoreLost reports whether this host's reads of the store fail and no peer is known to have read it after the last failure.
func (f *Follower) StoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failingSince.IsZero() && f.asOf.Before(f.lastFailure)
}

// wakeRun makes Run check again whether a refresh is due.
func (f *Follower) wakeRun() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
