package placement

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

const (
	// MaxRejectionDelay bounds the time for which an endpoint that rejected a request with a delay gets no requests. Longer delays are cut
	// to it.
	MaxRejectionDelay = 5 * time.Minute
	// assumedSlots is the number of slots of an endpoint that has not reported its load, for the end of its recovery.
	assumedSlots = 16
)

// serviceRejections holds the endpoints of one service that want no requests for a while.
type serviceRejections struct {
	mu    sync.Mutex
	until map[endpoints.ID]time.Time

	// The result of the last call of WithoutRejecting. It holds for the list source until validUntil, which is zero if there is none.
	source, usable []*registry.Endpoint
	firstBack      time.Time
	validUntil     time.Time
}

// RecordRejection records that an endpoint rejected a request and wants none from this host for the delay. It returns the delay that is
// used, which is at most MaxRejectionDelay, and whether the endpoint accepted requests until now. A shorter delay does not replace one that
// ends later. Afterwards the endpoint gets one request at a time first, and one more at a time for each that succeeds.
func (t *EndpointStats) RecordRejection(e endpoints.Endpoint, delay time.Duration, now time.Time) (used time.Duration, isNew bool) {
	used = min(delay, MaxRejectionDelay)
	until := now.Add(used)
	t.update(e.ID, now, func(s *endpointEntry) {
		isNew = !s.rejecting(now)
		if until.After(s.rejectingUntil) {
			s.rejectingUntil = until
		}
		until, s.inFlightLimit = s.rejectingUntil, 1
	})
	v, ok := t.rejections.Load(e.Service)
	if !ok {
		v, _ = t.rejections.LoadOrStore(e.Service, &serviceRejections{until: map[endpoints.ID]time.Time{}})
	}
	s := v.(*serviceRejections)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.until[e.ID]
	if !known {
		t.rejectingCount.Add(1)
	}
	if until.After(old) {
		s.until[e.ID], s.validUntil = until, time.Time{}
	}
	return used, isNew
}

// AnyRejecting reports whether some endpoint may want no requests now. If not, Rejecting need not be called.
func (t *EndpointStats) AnyRejecting() bool { return t.rejectingCount.Load() > 0 }

// Rejecting reports whether an endpoint wants no requests now.
func (t *EndpointStats) Rejecting(id endpoints.ID, now time.Time) bool {
	if !t.AnyRejecting() {
		return false
	}
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	return s != nil && s.rejecting(now)
}

// WithoutRejecting returns the endpoints of a service's list that accept requests now, and the time at which the first of the others does.
// It returns the same slice until one of them begins or ends to reject requests. The list must not be changed after the call.
func (t *EndpointStats) WithoutRejecting(service string, list []*registry.Endpoint, now time.Time) (usable []*registry.Endpoint, firstBack time.Time) {
	if !t.AnyRejecting() || len(list) == 0 {
		return list, time.Time{}
	}
	v, ok := t.rejections.Load(service)
	if !ok {
		return list, time.Time{}
	}
	s := v.(*serviceRejections)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) == 0 {
		return list, time.Time{}
	}
	if !now.Before(s.validUntil) || len(s.source) != len(list) || &s.source[0] != &list[0] {
		t.dropEnded(s, now)
		s.filter(list)
	}
	return s.usable, s.firstBack
}

// filter sets the cached result for a list. s.mu must be held.
func (s *serviceRejections) filter(list []*registry.Endpoint) {
	s.source, s.usable = list, make([]*registry.Endpoint, 0, len(list))
	s.firstBack, s.validUntil = time.Time{}, time.Time{}
	for _, until := range s.until {
		if s.validUntil.IsZero() || until.Before(s.validUntil) {
			s.validUntil = until
		}
	}
	for i := range list {
		until, rejecting := s.until[list[i].ID]
		if !rejecting {
			s.usable = append(s.usable, list[i])
		} else if s.firstBack.IsZero() || until.Before(s.firstBack) {
			s.firstBack = until
		}
	}
	if len(s.usable) == len(list) {
		s.usable = list
	}
}

// dropEnded drops the endpoints that accept requests again. s.mu must be held.
func (t *EndpointStats) dropEnded(s *serviceRejections, now time.Time) {
	for id, until := range s.until {
		if !now.Before(until) {
			delete(s.until, id)
			t.rejectingCount.Add(-1)
		}
	}
}

// evictRejections drops what is left of rejections that have ended.
func (t *EndpointStats) evictRejections(now time.Time) {
	t.rejections.Range(func(service, v any) bool {
		s := v.(*serviceRejections)
		s.mu.Lock()
		defer s.mu.Unlock()
		t.dropEnded(s, now)
		if len(s.until) == 0 {
			s.source, s.usable, s.validUntil = nil, nil, time.Time{}
		}
		return true
	})
}

// rejecting reports whether the endpoint wants no requests now.
func (s *endpointEntry) rejecting(now time.Time) bool { return now.Before(s.rejectingUntil) }

// mayReceive reports whether the endpoint may get another request of this host now.
func (s *endpointEntry) mayReceive(now time.Time) bool {
	return !s.rejecting(now) && (s.inFlightLimit == 0 || s.inFlight < s.inFlightLimit)
}

// recover raises the limit of an endpoint that has answered a request after a rejection, and removes it at the number of slots.
func (s *endpointEntry) recover(now time.Time) {
	if s.inFlightLimit == 0 || s.rejecting(now) {
		return
	}
	slots := s.load.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	if s.inFlightLimit++; s.inFlightLimit > slots {
		s.inFlightLimit = 0
	}
}
