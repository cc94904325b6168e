package keys

import (
	"crypto/sha256"
	"hash/maphash"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// lock locks the shard of a request, removes its expired groups and returns it.
func (t *Table) lock(now time.Time, r Request, hash nonceHash) *shard {
	sh := &t.shards[(maphash.Bytes(t.seed, hash[:])^maphash.String(t.seed, r.Limits.Customer))%shardCount]
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
	t.responseBytes.Add(-g.recordedBytes)
}

// keyCounter returns the counter of a customer and service and creates it if it does not exist.
func (t *Table) keyCounter(r Request) *keyCounter {
	k := limits.Key{Customer: r.Limits.Customer, Service: r.Limits.Name}
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

func (sh *shard) find(r Request, hash nonceHash) *entry {
	if g := sh.groups[r.groupKey()]; g != nil {
		return g.entries[hash]
	}
	return nil
}

// checkEpoch returns Accepted if a key of this epoch may be accepted as new, and otherwise the reason why not.
func (sh *shard) checkEpoch(epoch int64) Outcome {
	current := int64(sh.latest / EpochLength)
	switch {
	case epoch > current:
		return NotIssued
	case epoch < current-MaxNewKeyAgeEpochs:
		return Expired
	}
	return Accepted
}

// group returns the group of a request and creates it if it does not exist. A group expires after the longest key window of all its
// keys, counted from the end of its epoch, but not before new keys of its epoch stop being accepted: otherwise a request could run twice.
func (sh *shard) group(r Request) *keyGroup {
	end := time.Duration(r.Key.Epoch+1) * EpochLength
	expires := end + max(r.Limits.KeyWindow, MaxNewKeyAgeEpochs*EpochLength)
	g := sh.groups[r.groupKey()]
	if g == nil {
		g = &keyGroup{entries: map[nonceHash]*entry{}, counts: map[*keyCounter]int64{}}
		if len(sh.groups) == 0 || expires < sh.nextExpiry {
			sh.nextExpiry = expires
		}
		sh.groups[r.groupKey()] = g
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
