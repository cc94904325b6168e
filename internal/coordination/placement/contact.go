package placement

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// contactLifetime is how long a response shows that an endpoint's process is the one that this host knows, if no connection to it has ended since. It is
// shorter than the time for which idle connections are kept, so that the end of the process shows by then.
const contactLifetime = 5 * time.Second

// RecordContactLost records that a connection to an endpoint failed, or that the endpoint has ended it: it may have started again since.
func (t *EndpointStats) RecordContactLost(id endpoints.ID, now time.Time) {
	t.update(id, now, func(s *endpointEntry) { s.contactLostAt = now })
}

// Unchecked reports whether an endpoint may have started again under its id since its last response to this host, so that it may be cold: a
// connection to it has failed or ended since, or the response is older than contactLifetime.
func (t *EndpointStats) Unchecked(id endpoints.ID, now time.Time) bool {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	return s == nil || s.unchecked(now)
}

// unchecked does the work of EndpointStats.Unchecked.
func (s *endpointEntry) unchecked(now time.Time) bool {
	return now.Sub(s.answeredAt) > contactLifetime || s.contactLost()
}

// contactLost reports whether a connection to the endpoint has failed or ended since its last response.
func (s *endpointEntry) contactLost() bool {
	return !s.contactLostAt.IsZero() && !s.answeredAt.After(s.contactLostAt)
}
