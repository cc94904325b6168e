// Package refusals defines the reasons for which a host refuses a request, and stores the latest refusals so that operators can look
// them up.
package refusals

import (
	"hash/maphash"
	"sync"
	"time"
)

// Reason is the code of a reason. The codes do not change, so that programs of callers can depend on them.
type Reason string

// Reasons for a refusal. docs/OPERATIONS.md explains each.
const (
	CredentialsMissing     Reason = "credentials_missing"
	CredentialsWrong       Reason = "credentials_wrong"
	RouteUnknown           Reason = "route_unknown"
	CustomerUnknown        Reason = "customer_unknown"
	ServiceNotInContract   Reason = "service_not_in_contract"
	OperationNotInContract Reason = "operation_not_in_contract"
	RequestMalformed       Reason = "request_malformed"
	BodyTooLarge           Reason = "body_too_large"
	DeadlineExpired        Reason = "deadline_expired"
	DeadlineUnreachable    Reason = "deadline_unreachable"
	RateExceeded           Reason = "rate_exceeded"
	QuotaUnavailable       Reason = "quota_unavailable"
	ConcurrencyExceeded    Reason = "concurrency_exceeded"
	QueueFull              Reason = "queue_full"
	Displaced              Reason = "displaced"
	RetryAllowanceExceeded Reason = "retry_allowance_exceeded"
	NoUpstream             Reason = "no_upstream"
	UpstreamRefused        Reason = "upstream_refused"
	UpstreamRejecting      Reason = "upstream_rejecting"
	UpstreamLimited        Reason = "upstream_limited"
	RequestQuarantined     Reason = "request_quarantined"
	UpstreamConnectFailed  Reason = "upstream_connect_failed"
	UpstreamLost           Reason = "upstream_lost"
	DeadlinePassedRunning  Reason = "deadline_passed_running"
	KeyMissing             Reason = "idempotency_key_missing"
	KeyMalformed           Reason = "idempotency_key_malformed"
	KeyRefused             Reason = "idempotency_key_refused"
	KeyReused              Reason = "idempotency_key_reused"
	KeyExpired             Reason = "idempotency_key_expired"
	KeyForeign             Reason = "idempotency_key_foreign"
	KeyOutcomeUnknown      Reason = "idempotency_outcome_unknown"
	KeyInProgress          Reason = "idempotency_in_progress"
	KeyAnswerNotKept       Reason = "idempotency_answer_not_kept"
	KeyTableFull           Reason = "idempotency_table_full"
	HostDraining           Reason = "host_draining"
	HostIsolated           Reason = "host_isolated"
	HostCatchingUp         Reason = "host_catching_up"
)

// Ran tells whether an upstream ran a refused request.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes" // only with KeyAnswerNotKept
)

// Refusal describes one refused request.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	Detail     string        // one sentence that states what was found
	Remedy     string        // what the caller can do
	Clause     string        // JSON pointer into the customer's contract, or empty
	Limit      float64       // the enforced limit, if Unit is set
	Observed   float64       // the value that reached or exceeded the limit, if Unit is set
	Unit       string        // unit of Limit and Observed
	RetryAfter time.Duration // how long to wait before a retry; 0 if a retry does not help
	RequestID  string
	Customer   string
	Service    string
	Operation  string
	Host       string
	Revision   uint64 // revision of the customer's contract that was in force
	At         time.Time
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }

const shardCount = 8

// Store holds the latest refusals by request id, in shards that each have their own lock.
type Store struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	byID map[string]*Refusal
	ring []string // request ids in byID
	next int      // index in ring of the id that is replaced next
}

// NewStore returns a store that holds about capacity refusals and replaces the oldest first.
func NewStore(capacity int) *Store {
	s := &Store{seed: maphash.MakeSeed()}
	perShard := max(1, capacity/shardCount)
	for i := range s.shards {
		s.shards[i].byID = make(map[string]*Refusal, perShard)
		s.shards[i].ring = make([]string, perShard)
	}
	return s
}

// Add stores a refusal. It replaces an earlier one with the same request id.
func (s *Store) Add(r *Refusal) {
	sh := s.shard(r.RequestID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.byID[r.RequestID]; !ok {
		delete(sh.byID, sh.ring[sh.next])
		sh.ring[sh.next] = r.RequestID
		sh.next = (sh.next + 1) % len(sh.ring)
	}
	sh.byID[r.RequestID] = r
}

// Get returns the refusal of a request, or false if none is stored.
func (s *Store) Get(requestID string) (*Refusal, bool) {
	sh := s.shard(requestID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.byID[requestID]
	return r, ok
}

func (s *Store) shard(id string) *shard {
	return &s.shards[maphash.String(s.seed, id)%shardCount]
}
