// Package callerapi defines the HTTP interface between callers and entry hosts, and between entry hosts and upstreams:
// paths, headers and documents.
package callerapi

// Paths on the caller port.
const (
	AddressesPath     = "/v1/addresses"
	ServicePathPrefix = "/s/"
)

// Headers between callers and entry hosts.
const (
	HeaderDeadlineMS     = "Arbutusspan-Deadline-Ms" // remaining time in milliseconds
	HeaderRequestID      = "Arbutusspan-Request-Id"  // 1 to 64 of [A-Za-z0-9_-]
	HeaderAttempt        = "Arbutusspan-Attempt"     // 0 for the first attempt
	HeaderNewKey         = "Arbutusspan-New-Key"     // "true" if no request was sent with the idempotency key before
	HeaderHost           = "Arbutusspan-Host"        // entry host that sent the response
	HeaderUpstream       = "Arbutusspan-Upstream"    // endpoint that ran the request
	HeaderRan            = "Arbutusspan-Ran"         // yes, no or unknown
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers between entry hosts and upstreams.
const (
	UpstreamDeadlineMS  = "Upstream-Deadline-Ms"
	UpstreamRequestID   = "Upstream-Request-Id"  // an upstream repeats it in all its responses or in none
	UpstreamRan         = "Upstream-Ran"         // "no" with status 503 and the request's id: refused, not run
	UpstreamState       = "Upstream-State"       // live or leaving
	UpstreamIncarnation = "Upstream-Incarnation" // changes at each start
	UpstreamLoad        = "Upstream-Load"        // requests in flight and slots, as "inflight/slots"
)

// Values of UpstreamState.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Addresses is the response document of AddressesPath.
type Addresses struct {
	Service    string    `json:"service"`
	LifetimeMS int64     `json:"lifetime_ms"` // how long a client may cache the response
	Addresses  []Address `json:"addresses"`   // in order of preference
}

// Address is one entry host that accepts requests for the service.
type Address struct {
	Host      string `json:"host"`
	Address   string `json:"address"` // IP:port of the caller port
	Zone      string `json:"zone"`
	KeyPrefix string `json:"key_prefix"` // idempotency keys for this host start with it and a dot
}
