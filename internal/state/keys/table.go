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

// MaxRecordedBodyBytes is the largest response body that is recorded. A repeat of a request gets its recorded response.
const MaxRecordedBodyBytes = 64 << 10

const (
	shardCount = 16
	// entryBytes is the memory counted for one key: 40 bytes of map key and value, at the map's lowest load factor.
	entryBytes = 112
	// responseOverheadBytes is the memory counted for a recorded response in addition to its body, for its headers and its management.
	responseOverheadBytes = 1 << 10
)

// Outcome is the result of Begin for a request with a key, and the state of a stored key.
type Outcome uint8

// Outcomes.
const (
	Accepted            Outcome = iota // the request must be run now; FinishMayHaveRun or FinishNotRun must be called when it ends
	InProgress                         // an earlier request with this key is still running
	Recorded                           // an earlier request with this key got a response, and the response is recorded
	Unknown                            // an earlier request with this key may have run; its outcome is not known
	ResponseNotRecorded                // an earlier request with this key ran and got a response, but the response was not recorded
	Reused                             // the key was used for a different request of the same customer
	Expired                            // the key is not stored and too old to be accepted as new
	NotIssued                          // the epoch has not begun, so no host can have given out this key
	Full                               // there is no room for another key of this customer and service
	RefusedNotRun                      // this attempt or a later one was refused as not run, so this attempt must not run
)

// RecordedResponse is a recorded response. It must not be modified.
type RecordedResponse struct {
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

// Request is one request with a key.
type Request struct {
	Key         Key
	Limits      *limits.ServiceLimits
	Fingerprint Fingerprint
	Attempt     Attempt
}

// Attempt identifies one of the attempts of a request that a caller sends with the same key, the first one and its retries. Attempts
// can arrive out of order: an earlier one may be delayed at a host whose process is paused.
type Attempt struct {
	Number   uint16 // increases with each attempt; 0 if the caller does not number them
	Numbered bool   // the caller numbers its attempts
	NewKey   bool   // the caller states that it uses the key for the first time
}

// IsFirst reports whether it is certain that the caller sent no attempt before this one.
func (a Attempt) IsFirst() bool { return a.NewKey || a.Numbered && a.Number == 0 }

// Config is the configuration of a Table.
type Config struct {
	Host        string
	Incarnation string    // 16 hex digits, new at each start
	Origin      time.Time // start of epoch 0; must have a monotonic clock reading
	// MaxBytes limits the memory of keys and recorded responses together. Responses get at most half of it, so that there is always
	// room for keys. 0 means 128 MiB.
	MaxBytes int64
}

const defaultMaxBytes = 128 << 20

// Table stores the keys of one host incarnation in shards, each with its own lock. Equal keys of different customers are
// different entries.
type Table struct {
	cfg           Config
	seed          maphash.Seed
	shards        [shardCount]shard
	keyBytes      atomic.Int64
	responseBytes atomic.Int64
	mu            sync.RWMutex
	keyCounters   map[limits.Key]*keyCounter
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
	recordedBytes int64                 // bytes of the recorded responses
}

// nonceHash is stored instead of the nonce, which can be four times as long.
type nonceHash [16]byte

// entry is the state of one key.
type entry struct {
	fingerprint      Fingerprint
	state            Outcome
	fingerprintKnown bool   // fingerprint is valid
	reused           bool   // a different request with this key was refused as not run
	refusedUpTo      uint16 // in state RefusedNotRun, attempts up to this number must not run
	counter          *keyCounter
	response         *RecordedResponse
}

// refuse ensures that the given attempt and earlier ones are not run.
func (e *entry) refuse(a Attempt) {
	e.state = RefusedNotRun
	e.refusedUpTo = max(e.refusedUpTo, a.Number)
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

// Begin decides whether a request with a key may run. The key must name this incarnation; see Owns. The response is set if the
// outcome is Recorded.
func (t *Table) Begin(now time.Time, r Request) (Outcome, *RecordedResponse) {
	hash := hashNonce(r.Key.Nonce)
	sh := t.lock(now, r, hash)
	defer sh.mu.Unlock()
	if e := sh.find(r, hash); e != nil {
		return e.repeat(r)
	}
	if o := sh.checkEpoch(r.Key.Epoch); o != Accepted {
		return o, nil
	}
	e := t.add(sh, r, hash)
	if e == nil {
		return Full, nil
	}
	e.fingerprint, e.fingerprintKnown, e.state = r.Fingerprint, true, InProgress
	return Accepted, nil
}

// repeat decides whether a request with a key that is already stored may run.
func (e *entry) repeat(r Request) (Outcome, *RecordedResponse) {
	if e.fingerprintKnown && e.fingerprint != r.Fingerprint {
		e.reused = true
		return Reused, nil
	}
	if e.state != RefusedNotRun || r.Attempt.Number <= e.refusedUpTo {
		return e.state, e.response
	}
	e.fingerprint, e.fingerprintKnown, e.state = r.Fingerprint, true, InProgress
	return Accepted, nil
}

// add creates an entry for a new key, or returns nil if there is no room for it.
func (t *Table) add(sh *shard, r Request, hash nonceHash) *entry {
	counter := t.keyCounter(r)
	if counter.keys.Add(1) > int64(r.Limits.KeysPerHost) {
		counter.keys.Add(-1)
		return nil
	}
	if t.keyBytes.Add(entryBytes)+t.responseBytes.Load() > t.cfg.MaxBytes {
		t.keyBytes.Add(-entryBytes)
		counter.keys.Add(-1)
		return nil
	}
	g := sh.group(r)
	e := &entry{counter: counter}
	g.entries[hash] = e
	g.counts[counter]++
	return e
}

// maxRefusedKeys limits the keys per customer that are stored only because ConfirmNotRun was called for them.
const maxRefusedKeys = 1024

// ConfirmNotRun is called when a request with a key is refused without a call of Begin. It reports whether the refusal may say that the
// request was not run. It returns true only if no request with the key has been accepted, or all accepted ones were released as not
// run. After it returned true, this attempt and earlier ones are not accepted any more.
func (t *Table) ConfirmNotRun(now time.Time, customer string, k Key, a Attempt) bool {
	hash := hashNonce(k.Nonce)
	r := Request{Key: k, Limits: &limits.ServiceLimits{Customer: customer, KeysPerHost: maxRefusedKeys}, Attempt: a}
	sh := t.lock(now, r, hash)
	defer sh.mu.Unlock()
	if !t.Owns(k) {
		return false
	}
	e := sh.find(r, hash)
	if e == nil {
		if sh.checkEpoch(k.Epoch) != Accepted {
			return false
		}
		if a.IsFirst() {
			return true
		}
		if e = t.add(sh, r, hash); e == nil {
			return false
		}
		e.state = RefusedNotRun
	}
	if e.state != RefusedNotRun {
		return false
	}
	e.refuse(a)
	return true
}

// FinishMayHaveRun ends a request for which Begin returned Accepted and which may have run. If responded is false, the outcome is
// unknown. Otherwise the request ran, and the response is recorded if it is given and there is room for it.
func (t *Table) FinishMayHaveRun(now time.Time, r Request, responded bool, response *RecordedResponse) {
	hash := hashNonce(r.Key.Nonce)
	sh := t.lock(now, r, hash)
	defer sh.mu.Unlock()
	e := sh.find(r, hash)
	if e == nil || e.state != InProgress {
		return // the entry expired with its epoch
	}
	e.state = Unknown
	if !responded {
		return
	}
	e.state = ResponseNotRecorded
	if response == nil || len(response.Body) > MaxRecordedBodyBytes {
		return
	}
	size := int64(len(response.Body) + responseOverheadBytes)
	if t.responseBytes.Add(size) > t.cfg.MaxBytes/2 {
		t.responseBytes.Add(-size)
		return
	}
	sh.groups[r.groupKey()].recordedBytes += size
	e.state, e.response = Recorded, response
}

// FinishNotRun ends a request for which Begin returned Accepted and which was certainly not run. This attempt and earlier ones are not
// accepted any more, because the caller is told that they did not run. The entry is removed if it is not needed for this: if there
// can be no earlier attempt and no different request with the key was refused.
func (t *Table) FinishNotRun(now time.Time, r Request) {
	hash := hashNonce(r.Key.Nonce)
	sh := t.lock(now, r, hash)
	defer sh.mu.Unlock()
	e := sh.find(r, hash)
	if e == nil || e.state != InProgress {
		return
	}
	if !r.Attempt.IsFirst() || e.reused {
		e.refuse(r.Attempt)
		return
	}
	g := sh.groups[r.groupKey()]
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

// Stats returns the number of stored keys and the memory counted for them and their responses, in bytes.
func (t *Table) Stats() (keys, bytes int64) {
	b := t.keyBytes.Load()
	return b / entryBytes, b + t.responseBytes.Load()
}

// KeyCount returns the number of stored keys of a customer and service.
func (t *Table) KeyCount(l *limits.ServiceLimits) int64 {
	return t.keyCounter(Request{Limits: l}).keys.Load()
}

// NextExpiry returns the time until the next keys in the shard of this request expire.
func (t *Table) NextExpiry(now time.Time, r Request) time.Duration {
	sh := t.lock(now, r, hashNonce(r.Key.Nonce))
	defer sh.mu.Unlock()
	if len(sh.groups) == 0 {
		return EpochLength
	}
	return max(0, sh.nextExpiry-sh.latest)
}

func (r *Request) groupKey() groupKey { return groupKey{r.Limits.Customer, r.Key.Epoch} }
