package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
)

// goldenRatio is the step of the Weyl sequence that selects the service of each request on a route with a weighted split. With it, any
// run of consecutive requests is divided nearly by the stated weights.
const goldenRatio = 0.6180339887498949

// nextSplitPosition returns the next number, in [0, 1), of the sequence that selects the services of a route's weighted split. The sequence
// starts at a random number.
func (g *Gateway) nextSplitPosition(route string) float64 {
	g.splitMu.Lock()
	defer g.splitMu.Unlock()
	u, ok := g.splitPositions[route]
	if !ok {
		u = rand.Float64()
	}
	_, u = math.Modf(u + goldenRatio)
	g.splitPositions[route] = u
	return u
}

// MayRunConcurrently implements ingress.Handler. Requests on idempotent routes may run concurrently with earlier requests of their connection, and so
// may requests that are refused because no route is known for them.
func (g *Gateway) MayRunConcurrently(r *ingress.Request) bool {
	t := g.routes.Load()
	if t == nil {
		return true
	}
	route := t.Match(r.Host, r.Path)
	return route == nil || route.Idempotent
}

// defaultRequestTimeout is the timeout of requests that state no deadline on routes that state no timeout.
const defaultRequestTimeout = 30 * time.Second

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	g.received.Add(1)
	g.recordRead(r)
	id := r.Header.Get(g.adapter.Dialect.RequestID)
	sequence, status := g.recent.begin(id, r.ArrivedAt()), requestPanicked
	defer func() { g.recent.end(sequence, status, time.Now()) }()
	response := g.serve(ctx, r, id)
	status = response.Status
	return response
}

// serve forwards a request to an endpoint, or refuses it.
func (g *Gateway) serve(ctx context.Context, r *ingress.Request, id string) *ingress.Response {
	table := g.routes.Load()
	if table == nil {
		return g.refuse(r, id, &refusals.Refusal{Reason: refusals.HostCatchingUp, Ran: refusals.RanNo, RetryAfter: catchUpRetryAfter,
			Detail: "this host has not learned the configuration in force yet", Remedy: "use another address, or come back after the stated delay"})
	}
	route := table.Match(r.Host, r.Path)
	if route == nil {
		return g.refuse(r, id, &refusals.Refusal{Reason: refusals.RouteUnknown, Ran: refusals.RanNo, Revision: table.Version,
			Detail: "no route of the configuration in force matches " + r.Host + r.Path, Remedy: "ask the operator for a route"})
	}
	who := g.identify(table, route, r.Header[g.adapter.Dialect.CustomerKey])
	if who.refusal != nil {
		return g.refuse(r, id, who.refusal)
	}
	if r.BodyDiscarded {
		return g.refuse(r, id, &refusals.Refusal{Reason: refusals.HostCatchingUp, Ran: refusals.RanNo, RetryAfter: catchUpRetryAfter, Revision: table.Version,
			Detail: "the route or the key of the request came into force while its body arrived", Remedy: "send the request again"})
	}
	timeout, stated := g.requestTimeout(r.Header.Get(g.adapter.Dialect.DeadlineMS), route)
	if stated && timeout <= 0 {
		return g.refuse(r, id, &refusals.Refusal{Reason: refusals.RequestMalformed, Ran: refusals.RanNo, Revision: table.Version,
			Detail: "the stated deadline is not a positive number of milliseconds", Remedy: "state the milliseconds that are left"})
	}
	deadline := r.ArrivedAt().Add(timeout)
	if !time.Now().Before(deadline) {
		return g.refuseExpired(r, id, route, table)
	}
	service := table.Service(route.ServiceAt(g.nextSplitPosition(route.Name)))
	if g.mayBeCut(deadline) {
		g.log.InfoOf(string(refusals.HostDraining), "refused", "id", id, "reason", refusals.HostDraining, "path", r.Path, "version", table.Version)
		return g.refuse(r, id, &refusals.Refusal{Reason: refusals.HostDraining, Ran: refusals.RanNo, Operation: route.Name, Revision: table.Version,
			RetryAfter: stopRetryAfter, Detail: "this host stops before the deadline of the request", Remedy: "send the request to another host"})
	}
	call := &forward.Call{Route: route, Service: service, Due: deadline, Arrived: r.ArrivedAt(), AnswerDelay: answerDelay(r), Caller: r.Caller, Version: table.Version, Call: &executor.Call{RequestID: id, Method: r.Method, Path: r.Target,
		Header: g.endpointHeader(table, r.Header, who, nil), Body: r.Body, RetainBody: r.RetainBody, Deadline: deadline, Host: r.Host}}
	call.CallerDue = r.ArrivedAt().Add(statedTime(r.Header.Get(g.adapter.Dialect.DeadlineMS)))
	who.addTo(call)
	permit, refusal := g.takePermit(ctx, call, table)
	if refusal != nil {
		return g.refuse(r, id, refusal)
	}
	res := g.forwarder.Run(ctx, call)
	g.refundPermit(permit, res)
	checkRevoked(call, res)
	g.logRequest(ctx, r, id, table, call, res)
	if res.Outcome != forward.Answered {
		stopped := g.drainEnded() || errors.Is(context.Cause(ctx), ingress.ErrStopped) || res.Outcome == forward.RefusedUnsent && g.mayBeCut(deadline)
		refusal := refusalOf(res, route, table, stopped)
		refusal.Customer = call.Customer
		return g.refuse(r, id, refusal)
	}
	return responseOf(res)
}

// catchUpRetryAfter is the delay stated in refusals while no configuration is in force: a starting host takes about this long to get one.
const catchUpRetryAfter = 300 * time.Millisecond

// requestTimeout returns the time within which a request must be answered, and whether it is stated. text is the stated time in milliseconds, or empty. It
// is limited to the timeout of the route. If the stated time is invalid, the result is 0 or negative.
func (g *Gateway) requestTimeout(text string, route *routing.Route) (time.Duration, bool) {
	maxTimeout := route.Timeout
	if maxTimeout == 0 {
		maxTimeout = defaultRequestTimeout
	}
	if text == "" {
		return maxTimeout, false
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) {
		return 0, true
	}
	if ms >= float64(maxTimeout.Milliseconds()) {
		return maxTimeout, true
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// maxStatedTime bounds the time that a caller states. No caller waits for longer.
const maxStatedTime = time.Hour

// statedTime returns for how long a caller waits, by the stated time in milliseconds. It is 0 if none is stated or the text is no number.
func statedTime(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) { // NaN compares false
		return 0
	}
	return time.Duration(min(ms, float64(maxStatedTime.Milliseconds())) * float64(time.Millisecond))
}

// responseOf returns the response of an endpoint as a response to the caller, without hop-by-hop header fields. A large body is streamed.
func responseOf(res *forward.Result) *ingress.Response {
	out := &ingress.Response{Status: res.Response.Status, Header: callerapi.EndToEndHeaders(res.Response.Header, nil), Body: res.Body, Length: res.Response.Length}
	if res.Stream != nil {
		out.Body, out.Stream = nil, struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(res.Body), res.Stream), res.Stream}
	}
	return out
}

// stopRetryAfter is the delay stated in refusals of requests that a stopping host has not sent: other hosts may serve them at once.
const stopRetryAfter = 20 * time.Millisecond

// refusalOf returns the refusal for a request that no endpoint answered. stopped says that this host has cut it because it stops.
func refusalOf(res *forward.Result, route *routing.Route, table *routing.Table, stopped bool) *refusals.Refusal {
	r := &refusals.Refusal{Ran: refusals.RanNo, Operation: route.Name, Revision: table.Version, RetryAfter: res.RetryAfter, Detail: res.Detail,
		Remedy: "send the request again after the stated delay"}
	switch outcome := res.Outcome; {
	case outcome == forward.RefusedRevoked:
		r.Reason, r.Detail, r.Remedy, r.RetryAfter = refusals.CredentialsWrong, "the key was removed before the request was sent", remedyKey, 0
	case stopped && outcome.GuaranteesNotRun():
		r.Reason, r.Detail, r.RetryAfter = refusals.HostDraining, "this host stops and has not sent the request to an endpoint", stopRetryAfter
	case stopped:
		r.Reason, r.Ran, r.Detail = refusals.UpstreamLost, refusals.RanUnknown, "this host stops and did not wait any longer for the endpoint"
	case outcome == forward.RefusedTooLate && res.Overload != nil && res.Overload.Reason != overload.NoReason:
		r.Reason, r.Detail = refusals.DeadlineUnreachable, res.Overload.Explain()
	case outcome == forward.RefusedTooLate:
		r.Reason, r.Detail = refusals.DeadlineUnreachable, "no endpoint is expected to answer in the time that is left"
	case outcome == forward.RefusedUnsent:
		r.Reason, r.Detail = refusals.DeadlineUnreachable, "the time passed before an endpoint was found"
	case outcome == forward.RefusedAllRejecting:
		r.Reason, r.Detail = refusals.UpstreamRejecting, "every endpoint of the service wants no requests for a while"
	case outcome == forward.RefusedAllLimited:
		r.Reason, r.Detail = refusals.UpstreamLimited, "every endpoint of the service limits its requests per second, and others use up what the limits allow"
	case outcome == forward.RefusedQuarantined:
		r.Reason = refusals.RequestQuarantined
		r.Remedy = "report the request to the operator of the service; the same request is not sent before the stated delay"
	case outcome == forward.RefusedUpstream:
		r.Reason, r.Detail = refusals.UpstreamRefused, "endpoints refused the request without running it"
	case outcome == forward.RefusedConnect, outcome == forward.RefusedNoEndpoint:
		r.Reason = refusals.NoUpstream
		if r.Detail == "" {
			r.Detail = "no endpoint of the service answers"
		}
	case outcome == forward.LostAnswer:
		r.Reason, r.Ran = refusals.UpstreamLost, refusals.RanUnknown
	default:
		r.Reason, r.Ran, r.Detail = refusals.DeadlinePassedRunning, refusals.RanUnknown, "no endpoint had answered when the time passed"
	}
	if r.Ran == refusals.RanUnknown {
		r.RetryAfter = 0
		r.Remedy = "find out at the service whether the request took effect before sending it as a new one"
		if route.Idempotent {
			r.Remedy = "send the request again"
		}
	}
	return r
}

// refuse returns the response that carries a refusal. It also keeps the refusal, so that operators can ask for it by its request id.
func (g *Gateway) refuse(r *ingress.Request, id string, refusal *refusals.Refusal) *ingress.Response {
	refusal.RequestID, refusal.Host, refusal.At = id, g.settings.Host, time.Now()
	g.refusals.Add(refusal)
	g.metrics.Add("refusals_"+string(refusal.Reason)+"_total", 1)
	doc := problem.New(refusal)
	body, err := json.Marshal(doc)
	if err != nil {
		g.log.Warn("refusal_not_encoded", "id", id, "error", err)
	}
	h := http.Header{"Content-Type": {problem.ContentType}}
	if id != "" {
		h[g.adapter.Dialect.RequestID] = []string{id}
	}
	if refusal.RetryAfter > 0 && (doc.Status == http.StatusServiceUnavailable || doc.Status == http.StatusTooManyRequests) {
		h["Retry-After"] = []string{g.adapter.RetryAfter(refusal.RetryAfter)}
	}
	// For refusals with one of these reasons, logRequest has already written a line.
	if refusal.Reason != refusals.UpstreamRejecting && refusal.Reason != refusals.UpstreamLimited && refusal.Reason != refusals.RequestQuarantined && refusal.Reason != refusals.DeadlineUnreachable && refusal.Reason != refusals.NoUpstream && refusal.Reason != refusals.UpstreamRefused &&
		refusal.Reason != refusals.UpstreamLost && refusal.Reason != refusals.DeadlinePassedRunning && refusal.Reason != refusals.HostDraining {
		fields := []any{"id", id, "reason", refusal.Reason, "path", r.Path, "version", refusal.Revision}
		if refusal.Customer != "" || refusal.Reason == refusals.CredentialsWrong {
			fields = append(fields, "customer", refusal.Customer, "detail", refusal.Detail, "retry_after_ms", ms(refusal.RetryAfter))
		}
		g.log.InfoOf(string(refusal.Reason), "refused", append(fields, unreadField(r)...)...)
	}
	g.countCustomerRefusal(refusal)
	return &ingress.Response{Status: doc.Status, Header: h, Body: body}
}

// maxLoggedTarget is the maximum number of bytes of a path and query that are logged.
const maxLoggedTarget = 120

// logRequest updates the metrics of requests and writes the log line of a request, which lists all its attempts.
func (g *Gateway) logRequest(ctx context.Context, r *ingress.Request, id string, t *routing.Table, c *forward.Call, res *forward.Result) {
	took := time.Since(r.ArrivedAt())
	g.metrics.Add("requests_"+string(res.Outcome)+"_total", 1)
	g.metrics.Observe("request_duration", took)
	if res.Outcome.GuaranteesNotRun() {
		g.metrics.Observe("refusal_wait_duration", took)
	}
	g.metrics.Add("endpoints_asked_total", int64(res.ProbesSent))
	g.metrics.Add("endpoints_asked_unanswered_total", int64(res.ProbesUnanswered))
	g.metrics.Add("sends_total", int64(len(res.Attempts)))
	g.metrics.Observe("request_duration_priority_"+strconv.Itoa(c.Route.Priority), took)
	g.metrics.Add("waits_total", int64(res.QueueWaits))
	for i := range res.Attempts {
		if res.Attempts[i].Hedge {
			g.metrics.Add("hedges_total", 1)
		}
	}
	if len(res.Attempts) > 0 {
		g.metrics.Observe("choice_duration", res.Attempts[0].StartedAfter)
	}
	age, _ := g.follower.Age(time.Now())
	fields := []any{"id", id, "outcome", res.Outcome, "route", c.Route.Name, "service", c.Service.Name, "took_ms", ms(took),
		"left_ms", ms(time.Until(c.Due)), "config", t.Version, "store_age_ms", age.Milliseconds(), "endpoints", res.Candidates,
		"asked", res.ProbesSent, "unanswered", res.ProbesUnanswered, "unasked", res.ProbeRoundsSkipped, "waits", res.QueueWaits}
	if c.Customer != "" {
		fields = append(fields, "customer", c.Customer)
	}
	fields = append(append(fields, unreadField(r)...), g.reportOverload(res)...)
	if c.Handover != nil {
		fields = append(fields, "for", c.Handover.Host)
	}
	for i := range res.Attempts {
		a := &res.Attempts[i]
		if a.Through != "" {
			fields = append(fields, "through", a.Through)
		}
		fields = append(fields, "to", a.Endpoint, "at_ms", ms(a.StartedAfter), "ran_ms", ms(a.Duration), "expected_ms", ms(a.Expected),
			"running", a.Load.Running, "waiting", a.Load.Waiting, "slowness", a.Load.Slowness, "load_age_ms", ms(a.LoadAge), "hedge", a.Hedge, "result", a.Result)
	}
	if slices.ContainsFunc(res.Attempts, func(a forward.Attempt) bool { return strings.HasPrefix(a.Result, forward.ResultLost) }) {
		fields = append(fields, "request", quarantine.NewFingerprint(r.Caller, r.Method, r.Host, r.Target, r.Body), "from", r.Caller,
			"target", r.Target[:min(maxLoggedTarget, len(r.Target))])
	}
	if res.Response != nil {
		fields = append(fields, "status", res.Response.Status)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ingress.ErrCallerLeft):
		fields = append(fields, "caller", "left")
	case cause != nil:
		fields = append(fields, "cut", cause)
	}
	if res.Detail != "" {
		fields = append(fields, "detail", res.Detail)
	}
	if res.RetryAfter > 0 {
		fields = append(fields, "retry_after_ms", ms(res.RetryAfter))
	}
	g.log.InfoOf(string(res.Outcome), "request", fields...)
}

// reportCut counts and logs an answer that ended early, or that made no progress before it was given up. The line of its request tells how the
// request ended.
func (g *Gateway) reportCut(c forward.Cut) {
	g.metrics.Add("answers_cut_total", 1)
	g.log.Info("answer_cut", "id", c.RequestID, "to", c.Endpoint, "status", c.Status, "bytes", c.Bytes, "reason", c.Err)
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
