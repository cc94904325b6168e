// Package announce decides which facts a host sends to which other hosts, and how often. A host that learns something which all hosts need
// sends it to the hosts of its availability zone and to a few of each other zone, which pass it on to theirs. Messages may be lost, so each
// fact is sent several times.
package announce

import (
	"slices"
	"sync"
)

const (
	// Repetitions is the number of messages that carry a new fact.
	Repetitions = 4
	// maxQueued bounds the facts in a queue. Beyond it, the one that is next is dropped.
	maxQueued = 4096
)

// Broadcast holds the keys of the facts of one kind that this host has to send. The sender looks up what it knows under a key when it sends
// the message, so that a message never states something older. Broadcast is safe for concurrent use, and its zero value is empty.
type Broadcast[K comparable] struct {
	// Zone has the keys for the hosts of this host's zone, and Relays those for the hosts of other zones that pass them on.
	Zone, Relays Queue[K]
}

// Announce has a new fact sent to the hosts of all zones.
func (b *Broadcast[K]) Announce(key K) {
	b.Zone.Put(key, Repetitions)
	b.Relays.Put(key, Repetitions)
}

// Forward has a new fact that was learned from another zone sent to the hosts of this zone.
func (b *Broadcast[K]) Forward(key K) { b.Zone.Put(key, Repetitions) }

// Refresh has a fact that the hosts of all zones should know already sent once more.
func (b *Broadcast[K]) Refresh(key K) {
	b.Zone.Put(key, 1)
	b.Relays.Put(key, 1)
}

// Queue holds keys that a number of messages has to carry. It is safe for concurrent use, and its zero value is empty.
type Queue[K comparable] struct {
	mu    sync.Mutex
	order []K
	left  map[K]int // messages that still have to carry a key
}

// Put has at least the given number of messages carry the key. A new key is next.
func (q *Queue[K]) Put(key K, messages int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.left == nil {
		q.left = map[K]int{}
	}
	if _, queued := q.left[key]; !queued {
		if len(q.order) >= maxQueued {
			delete(q.left, q.order[0])
			q.order = q.order[1:]
		}
		q.order = slices.Insert(q.order, 0, key)
	}
	q.left[key] = max(q.left[key], messages)
}

// Next returns at most limit keys for the next message, and counts it.
func (q *Queue[K]) Next(limit int) []K {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(limit, len(q.order))
	if n == 0 {
		return nil
	}
	list := q.order[:n:n]
	q.order = slices.Clone(q.order[n:])
	for _, key := range list {
		if q.left[key]--; q.left[key] > 0 {
			q.order = append(q.order, key)
		} else {
			delete(q.left, key)
		}
	}
	return list
}
