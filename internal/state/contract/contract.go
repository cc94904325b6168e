// Package contract defines the contract, the JSON document that an operator publishes for each customer. Every limit that
// arbutusspan enforces on a caller is derived from these documents; see package limits.
package contract

import (
	"bytes"
	"encoding/json"
)

// Class is the priority class of an operation. Lower values are dispatched first.
type Class uint8

// The classes, highest priority first.
const (
	Urgent Class = iota
	Normal
	Background
	classCount
)

// Classes is the number of classes; valid classes are 0 to Classes-1.
const Classes = int(classCount)

var classNames = [Classes]string{"urgent", "normal", "background"}

// String returns the class's name in contract documents.
func (c Class) String() string {
	if int(c) < Classes {
		return classNames[c]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is decoded as an invalid class without an error, so that
// Validate can report it together with the path of the field.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	*c = classCount
	return nil
}

// Contract states which services one customer may call and within which limits.
type Contract struct {
	// Customer is the name of the customer: 1 to 63 of a-z, 0-9 and '-', starting with a letter.
	Customer string `json:"customer"`
	// Credentials holds the hashes of the accepted secrets. More than one can be listed, so that secrets can be rotated without
	// interruption.
	Credentials []Credential `json:"credentials"`
	// KeyWindowS is how long an idempotency key is remembered after the end of its epoch, in seconds. 0 means 600.
	KeyWindowS int `json:"key_window_s,omitempty"`
	// Services lists the services that the customer may call.
	Services []Service `json:"services"`
}

// Credential is one accepted secret.
type Credential struct {
	// Name identifies the credential in logs. It is not secret.
	Name string `json:"name"`
	// SHA256 is the lower-case hex SHA-256 of the secret. A fast hash is safe because secrets have at least 128 random bits.
	SHA256 string `json:"sha256"`
}

// Service states how the customer may use one service.
type Service struct {
	// Name is the name of the service, as in the host list.
	Name string `json:"name"`
	// RatePerSecond is the admitted sustained rate in requests per second, summed over all entry hosts.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is how many requests above the rate are admitted at once. 0 means the requests that the rate admits in 0.1 s, a
	// tenth of a second.
	Burst int `json:"burst,omitempty"`
	// Concurrent is the highest number of requests in progress at upstreams at one time, summed over all entry hosts.
	Concurrent int `json:"concurrent"`
	// Share is the customer's weight in the fair division of the service's capacity when demand exceeds it. 0 means 1.
	Share int `json:"share,omitempty"`
	// RetryPercent limits the retries on each host to this percentage of the customer's own requests on that host.
	RetryPercent int `json:"retry_percent"`
	// MaxBodyBytes is the largest accepted request body. 0 means 65,536.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// Operations lists the operations that may be called. If several match a request, the longest path prefix wins.
	Operations []Operation `json:"operations"`
	// Measuring is the measuring budget: it limits the probe requests to the upstreams of the service.
	Measuring Measuring `json:"measuring"`
}

// Operation describes the requests with one method and path prefix.
type Operation struct {
	// Name identifies the operation in refusals, logs and metrics.
	Name string `json:"name"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is a path prefix within the service, starting with '/'.
	Path string `json:"path"`
	// Class is the priority class.
	Class Class `json:"class"`
	// Idempotent tells whether a request may be sent again when it is not known whether it was run.
	Idempotent bool `json:"idempotent"`
	// DeadlineMS is the longest time from the arrival of a request to its response, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
}

// UnmarshalJSON implements json.Unmarshaler. An operation without a class gets an invalid one, which Validate reports. The zero
// value would make it urgent without any error.
func (o *Operation) UnmarshalJSON(data []byte) error {
	type plain Operation // has no UnmarshalJSON, so that decoding does not recurse
	p := plain{Class: classCount}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return err
	}
	*o = Operation(p)
	return nil
}

// Measuring limits probes, the requests that are sent only to measure an upstream.
type Measuring struct {
	// ProbesPerSecondPerUpstream is the highest rate of probes to one upstream, summed over all entry hosts.
	ProbesPerSecondPerUpstream float64 `json:"probes_per_second_per_upstream"`
	// EntryHostsMax is the highest expected number of entry hosts. The budget is divided by it, and each host may use one part.
	EntryHostsMax int `json:"entry_hosts_max"`
}

// Defaults for fields that a document leaves out.
const (
	DefaultKeyWindowS   = 600
	DefaultMaxBodyBytes = 64 << 10
	DefaultShare        = 1
)

// Service returns the customer's entry for a service, or nil.
func (c *Contract) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Match returns the operation for a method and path, or nil. The longest path prefix wins.
func (s *Service) Match(method, path string) *Operation {
	var best *Operation
	for i := range s.Operations {
		op := &s.Operations[i]
		if op.Method != method || !hasPathPrefix(path, op.Path) {
			continue
		}
		if best == nil || len(op.Path) > len(best.Path) {
			best = op
		}
	}
	return best
}

// hasPathPrefix reports whether prefix matches path up to a segment boundary: /lots matches /lots/1 but not /lotsale.
func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
