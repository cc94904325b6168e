package follow

// Unused describes the records which the store lists and this host does not apply.
type Unused struct {
	Unconfirmed int  // records that may count later
	Keys        int  // keys whose values are dropped
	Bytes       int  // memory that both take
	KeysOmitted bool // the store lists further keys
}

// Unused returns what the copy holds of records that are not applied.
func (f *Follower) Unused() (sum Unused) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.unused {
		u := &f.unused[i]
		sum.Unconfirmed += len(u.unconfirmed)
		sum.Keys += len(u.keys)
		sum.Bytes += u.unconfirmedBytes + u.keysBytes
		sum.KeysOmitted = sum.KeysOmitted || u.keysOmitted
	}
	return sum
}

// unusedRecords are the records of a feed which the store lists and this host does not apply. Other programs may write any number of them, of any size, so
// that what is kept of them is bounded.
type unusedRecords struct {
	// unconfirmed holds the unconfirmed records by key. The valid record of a key may be in the copy beside it.
	unconfirmed map[string]Record
	// keys holds the offsets of listed keys that have no other record here. Their values are dropped.
	keys map[string]int64
	// keysOmitted is set if the store lists keys that are neither here nor in the copy, because there are too many.
	keysOmitted bool

	limit                       int // of each of the two sizes
	unconfirmedBytes, keysBytes int
}

const (
	// unusedOverhead is about what an unused record takes in maps, in bytes, beside its key and value.
	unusedOverhead = 128
	// defaultMaxUnusedBytes is the default of Config.MaxUnusedBytes.
	defaultMaxUnusedBytes = 4 << 20
)

// droppedValue takes the place of the value of an invalid record. It is not empty, since that would be a tombstone for peers, and hosts of earlier versions,
// which do not know it, find no value of one zero byte valid.
var droppedValue = []byte{0}

// dropped reports whether the record's value is dropped.
func (r *Record) dropped() bool { return len(r.Value) == 1 && r.Value[0] == droppedValue[0] }

func newUnusedRecords(limit int) unusedRecords {
	return unusedRecords{unconfirmed: map[string]Record{}, keys: map[string]int64{}, limit: limit}
}

// addUnconfirmed keeps an unconfirmed record in place of an earlier one of its key. It returns false if there is no room for it.
func (u *unusedRecords) addUnconfirmed(rec Record) bool {
	u.forget(rec.Key)
	size := rec.bytes() + unusedOverhead
	if u.unconfirmedBytes+size > u.limit {
		return false
	}
	u.unconfirmed[rec.Key] = rec
	u.unconfirmedBytes += size
	return true
}

// addKey keeps the key of a record, unless there is no room for it.
func (u *unusedRecords) addKey(key string, offset int64) {
	u.forget(key)
	size := len(key) + unusedOverhead
	if u.keysBytes+size > u.limit {
		u.keysOmitted = true
		return
	}
	u.keys[key] = offset
	u.keysBytes += size
}

// forget removes a key.
func (u *unusedRecords) forget(key string) {
	if rec, ok := u.unconfirmed[key]; ok {
		delete(u.unconfirmed, key)
		u.unconfirmedBytes -= rec.bytes() + unusedOverhead
	}
	if _, ok := u.keys[key]; ok {
		delete(u.keys, key)
		u.keysBytes -= len(key) + unusedOverhead
	}
}

// forgetBefore removes what is known of a key if it is older than an offset.
func (u *unusedRecords) forgetBefore(key string, offset int64) {
	if rec, ok := u.unconfirmed[key]; ok && rec.Offset >= offset {
		return
	}
	if at, ok := u.keys[key]; ok && at >= offset {
		return
	}
	u.forget(key)
}

// resetKeys forgets the keys without a record, before a read of the whole topic names them again.
func (u *unusedRecords) resetKeys(omitted bool) {
	u.keys, u.keysBytes, u.keysOmitted = map[string]int64{}, 0, omitted
}
