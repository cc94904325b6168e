// Package frontend is the HTTP interface for callers. It tells them which entry hosts to use, checks their requests against the contracts
// and passes the requests to the executor.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/justinas/alice"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/transport/framing"
)

// Directory returns the entry hosts that a caller may use for a service.
type Directory interface {
	Addresses(service string) callerapi.Addresses
}

// Config of a Server.
type Config struct {
	Host      string
	Customers func() *Customers // contracts in force; never nil
	Executor  *executor.Executor
	Directory Directory
	Refusals  *refusals.Store
	// Admit returns the refusal of a host that accepts no requests now, or nil if it accepts them. A nil function always accepts.
	Admit func() *refusals.Refusal
	// MayBeCut reports whether this host stops too soon for a request with the given deadline. A nil function always returns false.
	MayBeCut func(deadline time.Time) bool
	// Metrics counts responses and refusals. It may be nil.
	Metrics *metrics.Registry
	// MaxTotalBodyBytes limits the memory for request bodies of all callers. 0 means 64 MiB.
	MaxTotalBodyBytes int64
}

// Server is the handler of the caller port.
type Server struct {
	cfg    Config
	bodies bodyBuffers
}

// New returns the handler of the caller port.
func New(cfg Config) http.Handler {
	if cfg.Admit == nil {
		cfg.Admit = func() *refusals.Refusal { return nil }
	}
	if cfg.MayBeCut == nil {
		cfg.MayBeCut = func(time.Time) bool { return false }
	}
	if cfg.MaxTotalBodyBytes == 0 {
		cfg.MaxTotalBodyBytes = defaultMaxTotalBodyBytes
	}
	s := &Server{cfg: cfg, bodies: bodyBuffers{limit: cfg.MaxTotalBodyBytes}}
	return alice.New(withRequestID).ThenFunc(s.serve)
}

// serve does not route with http.ServeMux, which would respond to paths that are not normalized with a redirect instead of a refusal.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if framing.HasAmbiguousLength(r) {
		w.Header().Set("Connection", "close") // it is not known where the next request begins
		s.refuse(w, r, malformed("the request states both Content-Length and Transfer-Encoding", "state the length in one way"), s.notRunUnauthenticated(""))
		return
	}
	// Admit comes before authentication: a host that has not yet read the contracts must not refuse a customer as unknown.
	if refusal := s.cfg.Admit(); refusal != nil {
		s.refuse(w, r, refusal, s.notRunUnauthenticated(""))
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, callerapi.ServicePathPrefix):
		s.serveCall(w, r)
	case r.URL.Path == callerapi.AddressesPath && r.Method == http.MethodGet:
		s.serveAddresses(w, r)
	default:
		s.refuse(w, r, malformed(fmt.Sprintf("%s %s is not part of the callers' interface", r.Method, r.URL.Path),
			"use GET "+callerapi.AddressesPath+" or "+callerapi.ServicePathPrefix+"SERVICE/PATH"), s.notRunUnauthenticated(""))
	}
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	_, name, refusal := s.authenticate(r)
	if refusal != nil {
		s.refuse(w, r, refusal, s.notRunUnauthenticated(name))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(s.cfg.Directory.Addresses(r.URL.Query().Get("service")))
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	customer, name, refusal := s.authenticate(r)
	if refusal != nil {
		s.refuse(w, r, refusal, s.notRunUnauthenticated(name))
		return
	}
	call, release, refusal := s.newCall(w, r, customer, arrived)
	defer release()
	if refusal != nil {
		refusal.Customer, refusal.Revision = name, customer.Revision
		s.refuse(w, r, refusal, func(key string, c keys.Attempt) bool { return s.cfg.Executor.ConfirmNotRun(name, key, c) })
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	response, refusal := s.cfg.Executor.Execute(ctx, call)
	if refusal != nil {
		refusal.Customer, refusal.Service, refusal.Operation = call.Limits.Customer, call.Limits.Name, call.Operation.Name
		refusal.Revision = customer.Revision
		s.writeRefusal(w, r, refusal)
		return
	}
	s.stream(w, r, response, func(end executor.BodyEnd) { s.countResponse(call, arrived, end) })
}

// countResponse records the outcome and the duration of a response.
func (s *Server) countResponse(c *executor.Call, arrived time.Time, end executor.BodyEnd) {
	if s.cfg.Metrics == nil {
		return
	}
	s.cfg.Metrics.Add(answersTotal[end], 1)
	s.cfg.Metrics.Observe(durationNames[c.Operation.Class], time.Since(arrived))
}

// answersTotal holds the name of the counter for each way in which the body of a response can end.
var answersTotal = map[executor.BodyEnd]string{
	executor.BodyComplete:  "answers_whole_total",
	executor.BodyTruncated: "answers_cut_by_upstream_total",
	executor.BodyAbandoned: "answers_abandoned_by_caller_total",
}

// durationNames holds the name of the duration histogram of each class.
var durationNames = [contract.Classes]string{"urgent_request_duration", "normal_request_duration", "background_request_duration"}

// stream copies the upstream's response to the caller. If its body ends early, the connection to the caller is aborted, so that the
// caller notices that the body is incomplete.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, response *executor.GrantedResponse, done func(executor.BodyEnd)) {
	h := w.Header()
	maps.Copy(h, callerapi.EndToEndHeaders(response.Header, isProtocolHeader))
	h[callerapi.HeaderHost] = []string{s.cfg.Host}
	h[callerapi.HeaderUpstream] = []string{response.Endpoint.Address}
	h[callerapi.HeaderRan] = ranYes
	if response.Length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(response.Length, 10)}
	}
	w.WriteHeader(response.Status)
	end := executor.BodyComplete
	if r.Method != http.MethodHead {
		end = copyAndFlush(w, response.Body, response.Length)
	}
	response.Finish(end)
	done(end)
	if end != executor.BodyComplete {
		panic(http.ErrAbortHandler)
	}
}

var ranYes = []string{"yes"}

// copyAndFlush copies a body and flushes after each read, because the rest may take long to arrive. It does not flush once length bytes
// are sent: net/http does so when the handler returns.
func copyAndFlush(w http.ResponseWriter, body io.Reader, length int64) executor.BodyEnd {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher := http.NewResponseController(w) // the writer may be wrapped
	for sent := int64(0); ; {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return executor.BodyAbandoned
			}
			if sent += int64(n); err == nil && sent != length {
				// If the flush fails, so does the next write.
				_ = flusher.Flush()
			}
		}
		switch {
		case err == io.EOF:
			return executor.BodyComplete
		case err != nil:
			return executor.BodyTruncated
		}
	}
}

// refuse responds to a request that was refused before its idempotency key was checked. An earlier attempt with the same key may have run,
// or may be waiting at another host. The refusal of a request with a key therefore says "not run" only if notRun confirms it.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, refusal *refusals.Refusal, notRun func(key string, c keys.Attempt) bool) {
	if key := r.Header.Get(callerapi.HeaderIdempotencyKey); key != "" && refusal.Ran == refusals.RanNo {
		c, invalid := attemptOf(r)
		if invalid != nil || !notRun(key, c) {
			refusal.Ran = refusals.RanUnknown
			refusal.Detail += "; an earlier request with the same key may have run"
		}
	}
	if r.ContentLength != 0 {
		// net/http reads the rest of the body before it responds. The deadline in the past keeps a slow sender from delaying the refusal.
		http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	}
	s.writeRefusal(w, r, refusal)
}

// notRunUnauthenticated returns the notRun argument of refuse for callers that are not authenticated. It confirms only first attempts: for
// a later one Executor.ConfirmNotRun blocks the key, and such a caller must not be able to block the keys of a customer.
func (s *Server) notRunUnauthenticated(customer string) func(key string, c keys.Attempt) bool {
	return func(key string, c keys.Attempt) bool {
		return customer != "" && c.IsFirst() && s.cfg.Executor.ConfirmNotRun(customer, key, c)
	}
}

func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, refusal *refusals.Refusal) {
	refusal.RequestID = requestID(r)
	refusal.Host = s.cfg.Host
	refusal.At = time.Now()
	s.cfg.Refusals.Add(refusal)
	if s.cfg.Metrics != nil {
		s.cfg.Metrics.Add("refusals_"+string(refusal.Reason)+"_total", 1)
	}
	problem.Write(w, refusal)
}

func malformed(detail, remedy string) *refusals.Refusal {
	return &refusals.Refusal{Reason: refusals.RequestMalformed, Ran: refusals.RanNo, Detail: detail, Remedy: remedy}
}

func noRelease() {}

// stopRetryAfter is the delay stated in refusals of requests that this host may cut: another host can serve them at once.
const stopRetryAfter = 20 * time.Millisecond

// newCall checks the request against the contract and reads its body. release must be called once the call has ended.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request, customer *Customer, arrived time.Time) (call *executor.Call, release func(), refusal *refusals.Refusal) {
	escaped := r.URL.EscapedPath()
	if fault := pathFault(escaped, r.URL.Path); fault != "" {
		return nil, noRelease, malformed("the path "+fault, "send a normalized path")
	}
	service, path, _ := strings.Cut(escaped[len(callerapi.ServicePathPrefix):], "/")
	contractService := customer.Contract.Service(service)
	if contractService == nil {
		return nil, noRelease, &refusals.Refusal{Reason: refusals.ServiceNotInContract, Ran: refusals.RanNo, Clause: "/services",
			Detail: fmt.Sprintf("the contract of %s does not name service %q", customer.Contract.Customer, service), Remedy: "ask the operator to add the service to the contract"}
	}
	// The unescaped path is matched, so that an escaped letter cannot keep a longer prefix from matching. Names of services contain no
	// escapes.
	op := contractService.Match(r.Method, r.URL.Path[len(callerapi.ServicePathPrefix)+len(service):])
	l := customer.Limits[limits.Key{Customer: customer.Contract.Customer, Service: service}]
	if op == nil || l == nil {
		return nil, noRelease, &refusals.Refusal{Reason: refusals.OperationNotInContract, Ran: refusals.RanNo, Service: service, Clause: "/services",
			Detail: fmt.Sprintf("no operation of %s matches %s /%s", service, r.Method, path), Remedy: "ask the operator to add the operation to the contract"}
	}
	call = &executor.Call{RequestID: requestID(r), Operation: op, Limits: l, Method: r.Method, Path: "/" + path, Header: forwardedHeaders(r.Header),
		Key: r.Header.Get(callerapi.HeaderIdempotencyKey)}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	var remaining time.Duration
	if remaining, refusal = deadlineOf(r, op.DeadlineMS, l); refusal != nil {
		return nil, noRelease, refusal
	}
	call.Deadline = arrived.Add(remaining)
	if call.Attempt, refusal = attemptOf(r); refusal != nil {
		return nil, noRelease, refusal
	}
	release, refusal = s.readBody(w, r, call)
	if refusal == nil && s.cfg.MayBeCut(call.Deadline) && s.mayRefuseForStop(call, customer) {
		refusal = &refusals.Refusal{Reason: refusals.HostDraining, Ran: refusals.RanNo, RetryAfter: stopRetryAfter,
			Detail: "this host stops before the deadline of the request", Remedy: "send the request to another host"}
	}
	return call, release, refusal
}

// mayRefuseForStop reports whether a request may be refused as not run. If it has a key with which an earlier attempt may have run, its outcome may be known.
func (s *Server) mayRefuseForStop(c *executor.Call, customer *Customer) bool {
	return c.Operation.Idempotent || s.cfg.Executor.ConfirmNotRun(customer.Contract.Customer, c.Key, c.Attempt)
}

func deadlineOf(r *http.Request, contractMS int, l *limits.ServiceLimits) (time.Duration, *refusals.Refusal) {
	deadline := time.Duration(contractMS) * time.Millisecond
	text := r.Header.Get(callerapi.HeaderDeadlineMS)
	if text == "" {
		return deadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if errors.Is(err, strconv.ErrRange) && ms > 0 {
		return deadline, nil
	}
	if err != nil {
		return 0, malformed(fmt.Sprintf("%s is %q", callerapi.HeaderDeadlineMS, text), "send the remaining milliseconds as a decimal number")
	}
	if ms < 0 {
		return 0, malformed(fmt.Sprintf("%s is %d", callerapi.HeaderDeadlineMS, ms), "send the remaining milliseconds, from 0")
	}
	if ms == 0 {
		return 0, &refusals.Refusal{Reason: refusals.DeadlineExpired, Ran: refusals.RanNo, Limit: 1, Observed: float64(ms), Unit: "ms",
			Detail: "the caller's deadline had passed on arrival: 0 ms remained", Remedy: "send the request with more time"}
	}
	return min(deadline, time.Duration(min(ms, int64(contractMS)))*time.Millisecond), nil
}

// attemptOf returns which attempt of its request this is, as stated by the caller.
func attemptOf(r *http.Request) (keys.Attempt, *refusals.Refusal) {
	text := r.Header.Get(callerapi.HeaderAttempt)
	newKey := r.Header.Get(callerapi.HeaderNewKey) == "true"
	if text == "" {
		return keys.Attempt{NewKey: newKey}, nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return keys.Attempt{}, malformed(fmt.Sprintf("%s is %q", callerapi.HeaderAttempt, text), "send 0 for the first attempt and the count of repeats after it")
	}
	return keys.Attempt{Number: uint16(n), Numbered: true, NewKey: newKey}, nil
}
