package keys

import (
	"crypto/sha256"
	"hash/maphash"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// MaxAnswerBytes is the largest response body that is recorded. A repeat of a request gets its recorded response.
const MaxAnswerBytes = 64 << 10

const (
	shardCount = 16
	// entryBytes is the memory counted for one key: 40 bytes of map key and value, at the map's lowest load factor.
	entryBytes = 112
	// answerOverheadBytes is the memory counted for a recorded answer in addition to its body, for its headers and its management.
	answerOverheadBytes = 1 << 10
)

// Outcome is the result of Begin for a request with a key, and the state of a stored key.
type Outcome uint8

// Outcomes.
const (
	Started       Outcome = iota // the request must be run now; Finish or Release must be called when it ends
	InProgress                   // an earlier request with this key is still running
	Recorded                     // an earlier request with this key was answered, and its answer is recorded
	Unknown                      // an earlier request with this key may have run; its outcome is not known
	AnswerNotKept                // an earlier request with this key ran and was answered, but its answer was not recorded
	Reused                       // the key was used for a different request of the same customer
	Expired                      // the key is not stored and too old to be accepted as new
	NotIssued                    // the epoch has not begun, so no host can have given out this key
	Full                         // there is no room for another key of this customer and service
	Closed                       // this copy or a newer one was refused as not run, so this copy must not run
)

// Answer is a recorded response. It must not be modified.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string // address of the endpoint that ran the request
}

// Fingerprint is a hash of the request for which a key was used.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a request that must be equal in all requests with one key.
func FingerprintOf(service, operation, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{service, operation, method, path} {
		io.WriteString(h, s)
		h.Write([]byte{0}) // none of the parts contains a zero byte
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// Use is one request with a key.
type Use struct {
	Key         Key
	Limits      *limits.ServiceLimits
	Fingerprint Fingerprint
	Copy        Copy
}

// Copy identifies one of the copies of a request that a caller sends with the same key, the first attempt and its retries. Copies
// can arrive out of order: an earlier one may be delayed at a host whose process is paused.
type Copy struct {
	Number uint16 // increases with each copy; 0 if not stated
	Stated bool   // the caller numbers its copies
	NewKey bool   // the caller states that it uses the key for the first time
}

// First reports whether it is certain that the caller sent no copy before this one.
func (c Copy) First() bool { return c.NewKey || c.Stated && c.Number == 0 }

// Config is the configuration of a Table.
type Config struct {
	Host        string
	Incarnation string    // 16 hex digits, new at each start
	Origin      time.Time // start of epoch 0; must have a monotonic clock reading
	// MaxBytes limits the memory of keys and recorded answers together. Answers get at most half of it, so that there is always
	// room for keys. 0 means 128 MiB.
	MaxBytes int64
}

const defaultMaxBytes = 128 << 20

// Table stores the keys of one host incarnation in shards, each with its own lock. Equal keys of different customers are
// different entries.
type Table struct {
	cfg         Config
	seed        maphash.Seed
	shards      [shardCount]shard
	keyBytes    atomic.Int64
	answerBytes atomic.Int64
	mu          sync.RWMutex
	keyCounters map[limits.Key]*keyCounter
}

// keyCounter counts the stored keys of one customer and service.
type keyCounter struct{ keys atomic.Int64 }

type shard struct {
	mu         sync.Mutex
	latest     time.Duration // latest time passed in, since Config.Origin, so that an older time cannot make an expired epoch valid again
	nextExpiry time.Duration // earliest expiry of a group; valid if there are groups
	groups     map[groupKey]*keyGroup
}

// groupKey identifies a keyGroup.
type groupKey struct {
	customer string
	epoch    int64
}

// keyGroup holds the keys of one customer and epoch, which expire together.
type keyGroup struct {
	expires       time.Duration // since Config.Origin
	entries       map[nonceHash]*entry
	counts        map[*keyCounter]int64 // entries per service
	recordedBytes int64                 // bytes of the recorded answers
}

// nonceHash is stored instead of the nonce, which can be four times as long.
type nonceHash [16]byte

// entry is the state of one key.
type entry struct {
	fingerprint      Fingerprint
	state            Outcome
	fingerprintKnown bool   // fingerprint is valid
	reused           bool   // a different request with this key was refused as not run
	closedTo         uint16 // in state Closed, copies up to this number must not run
	counter          *keyCounter
	answer           *Answer
}

// close ensures that the given copy and earlier ones are not run.
func (e *entry) close(c Copy) {
	e.state = Closed
	e.closedTo = max(e.closedTo, c.Number)
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	t := &Table{cfg: cfg, seed: maphash.MakeSeed(), keyCounters: map[limits.Key]*keyCounter{}}
	for i := range t.shards {
		t.shards[i].groups = map[groupKey]*keyGroup{}
	}
	return t
}

// Owns reports whether the key names this incarnation.
func (t *Table) Owns(k Key) bool { return k.Host == t.cfg.Host && k.Incarnation == t.cfg.Incarnation }

// SameHost reports whether the key names this host, in this or another incarnation.
func (t *Table) SameHost(k Key) bool { return k.Host == t.cfg.Host }

// Prefix returns the prefix for keys that are created now.
func (t *Table) Prefix(now time.Time) string {
	return Prefix(t.cfg.Host, t.cfg.Incarnation, int64(max(0, now.Sub(t.cfg.Origin))/EpochLength))
}

// Begin decides whether a request with a key may run. The key must name this incarnation; see Owns. The answer is set if the
// outcome is Recorded.
func (t *Table) Begin(now time.Time, u Use) (Outcome, *Answer) {
	hash := hashNonce(u.Key.Nonce)
	sh := t.lock(now, u, hash)
	defer sh.mu.Unlock()
	if e := sh.find(u, hash); e != nil {
		return e.repeat(u)
	}
	if o := sh.checkEpoch(u.Key.Epoch); o != Started {
		return o, nil
	}
	e := t.add(sh, u, hash)
	if e == nil {
		return Full, nil
	}
	e.fingerprint, e.fingerprintKnown, e.state = u.Fingerprint, true, InProgress
	return Started, nil
}

// repeat decides whether a request with a key that is already stored may run.
func (e *entry) repeat(u Use) (Outcome, *Answer) {
	if e.fingerprintKnown && e.fingerprint != u.Fingerprint {
		e.reused = true
		return Reused, nil
	}
	if e.state != Closed || u.Copy.Number <= e.closedTo {
		return e.state, e.answer
	}
	e.fingerprint, e.fingerprintKnown, e.state = u.Fingerprint, true, InProgress
	return Started, nil
}

// add creates an entry for a new key, or returns nil if there is no room for it.
func (t *Table) add(sh *shard, u Use, hash nonceHash) *entry {
	counter := t.keyCounter(u)
	if counter.keys.Add(1) > int64(u.Limits.KeysPerHost) {
		counter.keys.Add(-1)
		return nil
	}
	if t.keyBytes.Add(entryBytes)+t.answerBytes.Load() > t.cfg.MaxBytes {
		t.keyBytes.Add(-entryBytes)
		counter.keys.Add(-1)
		return nil
	}
	g := sh.group(u)
	e := &entry{counter: counter}
	g.entries[hash] = e
	g.counts[counter]++
	return e
}

// maxRefusedKeys limits the keys per customer that are stored only because Refuse was called for them.
const maxRefusedKeys = 1024

// Refuse is called when a request with a key is refused without a call of Begin. It reports whether the refusal may say that the
// request was not run. It returns true only if no request with the key has been accepted, or all accepted ones were released as not
// run. After it returned true, this copy and earlier ones are not accepted any more.
func (t *Table) Refuse(now time.Time, customer string, k Key, c Copy) bool {
	hash := hashNonce(k.Nonce)
	u := Use{Key: k, Limits: &limits.ServiceLimits{Customer: customer, KeysPerHost: maxRefusedKeys}, Copy: c}
	sh := t.lock(now, u, hash)
	defer sh.mu.Unlock()
	if !t.Owns(k) {
		return false
	}
	e := sh.find(u, hash)
	if e == nil {
		if sh.checkEpoch(k.Epoch) != Started {
			return false
		}
		if c.First() {
			return true
		}
		if e = t.add(sh, u, hash); e == nil {
			return false
		}
		e.state = Closed
	}
	if e.state != Closed {
		return false
	}
	e.close(c)
	return true
}

// Finish ends a request for which Begin returned Started and which may have run. If answered is false, the outcome is unknown.
// Otherwise the request ran, and the answer is recorded if it is given and there is room for it.
func (t *Table) Finish(now time.Time, u Use, answered bool, a *Answer) {
	hash := hashNonce(u.Key.Nonce)
	sh := t.lock(now, u, hash)
	defer sh.mu.Unlock()
	e := sh.find(u, hash)
	if e == nil || e.state != InProgress {
		return // the entry expired with its epoch
	}
	e.state = Unknown
	if !answered {
		return
	}
	e.state = AnswerNotKept
	if a == nil || len(a.Body) > MaxAnswerBytes {
		return
	}
	size := int64(len(a.Body) + answerOverheadBytes)
	if t.answerBytes.Add(size) > t.cfg.MaxBytes/2 {
		t.answerBytes.Add(-size)
		return
	}
	sh.groups[u.groupKey()].recordedBytes += size
	e.state, e.answer = Recorded, a
}

// Release ends a request for which Begin returned Started and which was certainly not run. This copy and earlier ones are not
// accepted any more, because the caller is told that they did not run. The entry is not needed for this and removed if there can be
// no earlier copy and no different request with the key was refused.
func (t *Table) Release(now time.Time, u Use) {
	hash := hashNonce(u.Key.Nonce)
	sh := t.lock(now, u, hash)
	defer sh.mu.Unlock()
	e := sh.find(u, hash)
	if e == nil || e.state != InProgress {
		return
	}
	if !u.Copy.First() || e.reused {
		e.close(u.Copy)
		return
	}
	g := sh.groups[u.groupKey()]
	delete(g.entries, hash)
	g.counts[e.counter]--
	e.counter.keys.Add(-1)
	t.keyBytes.Add(-entryBytes)
}

// Sweep removes the expired keys of all shards. Begin removes only those of the shard that it uses.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		t.advance(sh, now)
		sh.mu.Unlock()
	}
}

// Stats returns the number of stored keys and the memory counted for them and their answers, in bytes.
func (t *Table) Stats() (keys, bytes int64) {
	b := t.keyBytes.Load()
	return b / entryBytes, b + t.answerBytes.Load()
}

// Used returns the number of stored keys of a customer and service.
func (t *Table) Used(l *limits.ServiceLimits) int64 {
	return t.keyCounter(Use{Limits: l}).keys.Load()
}

// NextExpiry returns the time until the next keys in the shard of this use expire.
func (t *Table) NextExpiry(now time.Time, u Use) time.Duration {
	sh := t.lock(now, u, hashNonce(u.Key.Nonce))
	defer sh.mu.Unlock()
	if len(sh.groups) == 0 {
		return EpochLength
	}
	return max(0, sh.nextExpiry-sh.latest)
}

func (u *Use) groupKey() groupKey { return groupKey{u.Limits.Customer, u.Key.Epoch} }

// lock locks the shard of a use, removes its expired groups and returns it.
func (t *Table) lock(now time.Time, u Use, hash nonceHash) *shard {
	sh := &t.shards[(maphash.Bytes(t.seed, hash[:])^maphash.String(t.seed, u.Limits.Customer))%shardCount]
	sh.mu.Lock()
	t.advance(sh, now)
	return sh
}

// advance sets the latest time of a shard and removes its expired groups.
func (t *Table) advance(sh *shard, now time.Time) {
	sh.latest = max(sh.latest, now.Sub(t.cfg.Origin))
	if len(sh.groups) == 0 || sh.latest < sh.nextExpiry {
		return
	}
	first := true
	for k, g := range sh.groups {
		if sh.latest >= g.expires {
			t.uncount(g)
			delete(sh.groups, k)
			continue
		}
		if first || g.expires < sh.nextExpiry {
			sh.nextExpiry, first = g.expires, false
		}
	}
}

// uncount subtracts a group from all counters. The caller removes it from its shard.
func (t *Table) uncount(g *keyGroup) {
	for counter, n := range g.counts {
		counter.keys.Add(-n)
	}
	t.keyBytes.Add(-entryBytes * int64(len(g.entries)))
	t.answerBytes.Add(-g.recordedBytes)
}

// keyCounter returns the counter of a customer and service and creates it if it does not exist.
func (t *Table) keyCounter(u Use) *keyCounter {
	k := limits.Key{Customer: u.Limits.Customer, Service: u.Limits.Name}
	t.mu.RLock()
	counter := t.keyCounters[k]
	t.mu.RUnlock()
	if counter != nil {
		return counter
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keyCounters[k] == nil {
		t.keyCounters[k] = &keyCounter{}
	}
	return t.keyCounters[k]
}

func (sh *shard) find(u Use, hash nonceHash) *entry {
	if g := sh.groups[u.groupKey()]; g != nil {
		return g.entries[hash]
	}
	return nil
}

// checkEpoch returns Started if a key of this epoch may be accepted as new, and otherwise the reason why not.
func (sh *shard) checkEpoch(epoch int64) Outcome {
	current := int64(sh.latest / EpochLength)
	switch {
	case epoch > current:
		return NotIssued
	case epoch < current-MaxNewKeyAgeEpochs:
		return Expired
	}
	return Started
}

// group returns the group of a use and creates it if it does not exist. A group expires after the longest key window of all its
// keys, but not before new keys of its epoch stop being accepted: otherwise a request could run twice.
func (sh *shard) group(u Use) *keyGroup {
	end := time.Duration(u.Key.Epoch+1) * EpochLength
	expires := end + max(u.Limits.KeyWindow, MaxNewKeyAgeEpochs*EpochLength)
	g := sh.groups[u.groupKey()]
	if g == nil {
		g = &keyGroup{entries: map[nonceHash]*entry{}, counts: map[*keyCounter]int64{}}
		if len(sh.groups) == 0 || expires < sh.nextExpiry {
			sh.nextExpiry = expires
		}
		sh.groups[u.groupKey()] = g
	}
	g.expires = max(g.expires, expires)
	return g
}

func hashNonce(nonce string) nonceHash {
	sum := sha256.Sum256([]byte(nonce))
	return nonceHash(sum[:16])
}

// Age returns the time since the end of the key's epoch, or 0 if the epoch has not ended.
func (t *Table) Age(now time.Time, k Key) time.Duration {
	return max(0, now.Sub(t.cfg.Origin)-time.Duration(k.Epoch+1)*EpochLength)
}
