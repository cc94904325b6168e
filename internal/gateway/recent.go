package gateway

import (
	"hash/maphash"
	"sync"
	"time"
)

// keptRequests is the number of requests whose ids are kept for operators. Each takes 32 bytes.
const keptRequests = 4096

// recentRequests keeps the ids of the newest requests of this host, so that operators find the host that received a request. It holds
// hashes of the ids, since callers choose the ids and their length. It is safe for concurrent use.
type recentRequests struct {
	seed     maphash.Seed
	capacity int

	mu   sync.Mutex
	ring []recentRequest // grows up to capacity; the request with sequence number n is at n % capacity
	next uint64          // sequence number of the next request
}

type recentRequest struct {
	sequence uint64
	id       uint64 // hash of the request id
	arrived  int64  // Unix ms
	tookMS   int32
	status   int16 // status of the response, or one of the values below
}

const (
	requestActive   = 0
	requestPanicked = -1
)

func newRecentRequests(capacity int) *recentRequests {
	return &recentRequests{seed: maphash.MakeSeed(), capacity: capacity}
}

// begin adds a request and returns its sequence number for end.
func (r *recentRequests) begin(id string, now time.Time) uint64 {
	entry := recentRequest{id: maphash.String(r.seed, id), arrived: now.UnixMilli()}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.sequence = r.next
	r.next++
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, entry)
	} else {
		r.ring[entry.sequence%uint64(r.capacity)] = entry
	}
	return entry.sequence
}

// end records the status of a request's response. It does nothing if newer requests have displaced the request.
func (r *recentRequests) end(sequence uint64, status int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := &r.ring[sequence%uint64(r.capacity)]
	if entry.sequence == sequence {
		entry.status = int16(status)
		entry.tookMS = int32(now.UnixMilli() - entry.arrived)
	}
}

// find returns the newest kept request with the id.
func (r *recentRequests) find(id string) (recentRequest, bool) {
	hash := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	var found recentRequest
	ok := false
	for _, entry := range r.ring {
		if entry.id == hash && (!ok || entry.sequence > found.sequence) {
			found, ok = entry, true
		}
	}
	return found, ok
}

// RequestRecord tells operators what a host keeps of a recent request.
type RequestRecord struct {
	RequestID string    `json:"request_id"`
	Host      string    `json:"host"`
	Zone      string    `json:"zone"`
	Arrived   time.Time `json:"arrived"`
	State     string    `json:"state"`   // "active", "responded", "refused" or "panicked"
	TookMS    int64     `json:"took_ms"` // from the header's arrival to the response; 0 while the request is active
	Status    int       `json:"status"`  // of the response; 0 if there is none
	// Reason and Detail are those of the kept refusal. They are empty if the request was not refused or its refusal is no longer kept.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// requestRecord returns what this host keeps of a request, or false if that is nothing.
func (g *Gateway) requestRecord(id string) (RequestRecord, bool) {
	kept, ok := g.recent.find(id)
	if !ok {
		return RequestRecord{}, false
	}
	record := RequestRecord{RequestID: id, Host: g.settings.Host, Zone: g.settings.Zone, Arrived: time.UnixMilli(kept.arrived).UTC(),
		State: "responded", TookMS: int64(kept.tookMS), Status: int(kept.status)}
	switch kept.status {
	case requestActive:
		record.State = "active"
	case requestPanicked:
		record.State, record.Status = "panicked", 0
	default:
		if refusal, ok := g.refusals.Get(id); ok && refusal.At.UnixMilli() >= kept.arrived {
			record.State, record.Reason, record.Detail = "refused", string(refusal.Reason), refusal.Detail
		}
	}
	return record, true
}
