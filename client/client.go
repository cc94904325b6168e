// Package client sends requests to services behind arbutusspan.
//
// A Client looks up the addresses of a service at any of the given entry hosts, caches them for their lifetime, prefers the
// first address and fails over to the next ones:
//
//	c, err := client.New(client.Config{
//		Hosts:    []string{"127.0.0.11:8080", "127.0.0.12:8080"}, // caller ports of some entry hosts
//		Customer: "trentvale",
//		Secret:   secret,
//	})
//	...
//	resp, err := c.Do(ctx, &client.Request{Service: "lotdesk", Method: "POST", Path: "/reservations",
//		Body: body, Timeout: 2 * time.Second})
//	var failed *client.Error
//	if errors.As(err, &failed) && failed.Ran == client.RanUnknown {
//		// The reservation may have taken effect: look it up before making another one.
//	}
//
// # Retries
//
// Requests marked Idempotent are retried at any host while time is left. All others carry an idempotency key that names
// one host. When the outcome of such a request is unknown, it is retried only with the same key: at the host that the key
// names or, when that host cannot be reached, at another host. That host forwards the request to the named one, or responds
// that it cannot. A new key is generated only if no attempt with the old one was run: nothing was sent, or the response said
// ran=no. A host that offers no key prefix cannot recognize a retry, so a request that was sent there without a key is
// retried only if the response said ran=no.
//
// The package uses one http.ClientConn per connection, because http.Transport.RoundTrip resends requests that it considers
// replayable, among them each one with an Idempotency-Key header, and does not report whether anything was sent.
package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Problem is the RFC 9457 document of a refusal.
type Problem = problem.Document

// Ran states whether an upstream ran a request.
type Ran = refusals.Ran

// Values of Ran.
const (
	RanNo      = refusals.RanNo
	RanUnknown = refusals.RanUnknown
	RanYes     = refusals.RanYes
)

// Config configures a Client.
type Config struct {
	// Hosts are the caller ports (IP:port) of some entry hosts. Any of them can return the addresses of a service.
	Hosts []string
	// Customer and Secret are the credentials that each request carries.
	Customer, Secret string
	// AttemptTimeout limits one attempt, so that there is time for another one if a host does not respond. 0 means half of the
	// time for the first attempt of an idempotent request and the remaining time for all other attempts: more retries would
	// multiply the load on slow services, and ending an attempt of a request that is not idempotent makes its outcome unknown.
	AttemptTimeout time.Duration
	// MaxAttempts limits the attempts of one request. 0 means 4.
	MaxAttempts int
	// Dial opens connections to entry hosts, for example through a tunnel. Nil means a net.Dialer that gives up after 500 ms.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	defaultMaxAttempts = 4
	defaultTimeout     = 5 * time.Second
	// minRetryWait separates retries after a failed attempt and after a refusal that states no delay.
	minRetryWait = 20 * time.Millisecond
)

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	Path    string // path and query below the service, starting with a slash
	Header  http.Header
	Body    []byte
	// Idempotent marks requests that may run more than once.
	Idempotent bool
	// Timeout limits all attempts together, as does the context's deadline. 0 means 5 s.
	Timeout time.Duration
	// RequestID is sent with each attempt: 1 to 64 of [A-Za-z0-9_-]. Empty means a random one.
	RequestID string
}

// Response is the complete response of an upstream, with any status.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	Host      string // entry host that sent the response
	Upstream  string // endpoint that ran the request
	Attempts  int
}

// Error states why a request got no response of an upstream.
type Error struct {
	RequestID string
	Key       string   // last idempotency key, or empty
	Host      string   // address of the last attempt, or empty
	Attempts  int      // attempts that were made
	Ran       Ran      // whether any attempt was run
	Problem   *Problem // the last refusal, or nil if the last attempt got no response
	Cause     error    // any other error, or nil
}

func (e *Error) Error() string {
	what := fmt.Sprint(e.Cause)
	if e.Problem != nil {
		what = fmt.Sprintf("%s: %s; %s", e.Problem.Reason, e.Problem.Detail, e.Problem.Remedy)
	}
	return fmt.Sprintf("request %s after %d attempts, ran %s: %s", e.RequestID, e.Attempts, e.Ran, what)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg       Config
	pool      *connPool
	directory directory
	sleep     func(context.Context, time.Duration) error // replaced in tests
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	if len(cfg.Hosts) == 0 {
		return nil, errors.New("no entry hosts; give the caller port of at least one")
	}
	if cfg.Customer == "" || cfg.Secret == "" {
		return nil, errors.New("customer or secret is missing; take both from the operator")
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	return &Client{cfg: cfg, pool: newConnPool(cfg.Dial), sleep: sleep}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.closeIdle() }

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do sends a request, retries it where that is safe, and returns the upstream's response. If there is none, it returns an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := &call{c: c, r: r, id: r.RequestID, ran: RanNo}
	if call.id == "" {
		call.id = rand.Text()
	}
	return call.do(ctx)
}

// decodeProblem returns the refusal in a response, or nil if the response is an upstream's. An upstream may forward a refusal
// that it got itself from another entry host; the header then says that this request ran, while the document says otherwise.
func decodeProblem(a *response) *Problem {
	if a.header.Get("Content-Type") != problem.ContentType {
		return nil
	}
	var p Problem
	if json.Unmarshal(a.body, &p) != nil || p.Reason == "" || a.header.Get(callerapi.HeaderRan) != string(p.Ran) {
		return nil
	}
	return &p
}
