package placement

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// contactLifetime is how long a response shows that an endpoint's process is the one that this host knows, if no connection to it has ended since. It
	// is shorter than the time for which idle connections are kept, so that the end of the process shows by then.
	contactLifetime = 5 * time.Second
	// newConnectionLifetime is that time if the host has no idle connection to the endpoint.
	newConnectionLifetime = time.Second
)

// RecordContact records that an endpoint has sent a response of any kind. It is needed only for services whose endpoints take few requests after a start.
func (t *EndpointStats) RecordContact(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.answeredAt = now })
}

// RecordContactLost records that a connection to an endpoint failed, or that the endpoint has ended it: it may have started again since.
func (t *EndpointStats) RecordContactLost(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.contactLostAt = now })
}

// Unchecked reports whether an endpoint to which this host has no idle connection may have started again under its id since its last response to this
// host, so that it may be cold: a connection to it has failed or ended since, or the response is older than newConnectionLifetime.
func (t *EndpointStats) Unchecked(id endpoints.ID, now time.Time) bool {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	return s == nil || s.unchecked(newConnectionLifetime, now)
}

// unchecked reports whether a connection to the endpoint has failed or ended since its last response, or the response is older than lifetime.
func (s *endpointEntry) unchecked(lifetime time.Duration, now time.Time) bool {
	return now.Sub(s.answeredAt) > lifetime || s.contactLost()
}

// contactLost reports whether a connection to the endpoint has failed or ended since its last response.
func (s *endpointEntry) contactLost() bool {
	return !s.contactLostAt.IsZero() && !s.answeredAt.After(s.contactLostAt)
}
