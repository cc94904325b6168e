package gateway

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
)

const (
	// encodedStateLifetime is how long an encoded state is kept. The hosts of a zone that start at once, or miss the same update, request the same
	// state within this time.
	encodedStateLifetime = time.Second
	// maxEncodedStates limits the number of encoded states that are kept, and maxEncodedBytes their size in bytes unless there is only one.
	maxEncodedStates = 4
	maxEncodedBytes  = 8 << 20
)

// encodedState is a state as compressed CBOR.
type encodedState struct {
	key     string // identifies the records
	data    []byte
	at      time.Time // when it was encoded
	encoded sync.Once
	err     error
	bytes   int // size of data, once it is encoded
}

// encodedStateCache keeps encoded states, so that a state is encoded once for all hosts that request it.
type encodedStateCache struct {
	mu     sync.Mutex
	states []*encodedState
	// encoding is held while a state is encoded: its uncompressed form is in memory until then.
	encoding sync.Mutex
}

// get returns the encoding of a state, whose records are those since the given position; nil means all.
func (c *encodedStateCache) get(since *follow.Position, s *follow.State, now time.Time) ([]byte, error) {
	key := fmt.Sprintf("%d %+v", s.Revision, since)
	for _, feed := range s.Feeds {
		key += fmt.Sprintf(" %s %d", feed.Topic, feed.Next)
	}
	e := c.entry(key, now)
	e.encoded.Do(func() {
		c.encoding.Lock()
		defer c.encoding.Unlock()
		oldest := *s
		oldest.AgeMS += encodedStateLifetime.Milliseconds() // hosts of earlier versions read the age from here
		e.data, e.err = encodeState(&oldest)
		c.recordSize(e)
	})
	return e.data, e.err
}

// entry returns the entry with the key, which may not be encoded yet.
func (c *encodedStateCache) entry(key string, now time.Time) *encodedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(now)
	if i := slices.IndexFunc(c.states, func(e *encodedState) bool { return e.key == key }); i >= 0 {
		return c.states[i]
	}
	if len(c.states) == maxEncodedStates {
		c.states = slices.Delete(c.states, 0, 1)
	}
	e := &encodedState{key: key, at: now}
	c.states = append(c.states, e)
	return e
}

// recordSize records the size of an encoded state and removes the oldest others while they are too large together.
func (c *encodedStateCache) recordSize(e *encodedState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.bytes = len(e.data)
	sum := 0
	for _, s := range c.states {
		sum += s.bytes
	}
	for len(c.states) > 1 && sum > maxEncodedBytes {
		sum -= c.states[0].bytes
		c.states = c.states[1:]
	}
}

// size returns the size of the encoded states in bytes.
func (c *encodedStateCache) size() (sum int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		sum += s.bytes
	}
	return sum
}

// evictOld removes the states that were encoded more than encodedStateLifetime before.
func (c *encodedStateCache) evictOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(now)
}

// evict does the work of evictOld. c.mu must be held.
func (c *encodedStateCache) evict(now time.Time) {
	c.states = slices.DeleteFunc(c.states, func(e *encodedState) bool { return now.Sub(e.at) > encodedStateLifetime })
}
