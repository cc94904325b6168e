// Package problem renders refusals as RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// typePrefix turns a reason into a URI reference, which RFC 9457 requires as the type.
const typePrefix = "urn:arbutusspan:refusal:"

// Document is the JSON form of a refusal.
type Document struct {
	Type         string          `json:"type"`
	Title        string          `json:"title"`
	Status       int             `json:"status"`
	Detail       string          `json:"detail"`
	Reason       refusals.Reason `json:"reason"`
	Ran          refusals.Ran    `json:"ran"`
	Clause       string          `json:"clause,omitempty"`
	Limit        float64         `json:"limit,omitempty"`
	Observed     float64         `json:"observed,omitempty"`
	Unit         string          `json:"unit,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	RequestID    string          `json:"request_id"`
	Customer     string          `json:"customer,omitempty"`
	Service      string          `json:"service,omitempty"`
	Operation    string          `json:"operation,omitempty"`
	Host         string          `json:"host"`
	Revision     uint64          `json:"revision,omitempty"`
	Remedy       string          `json:"remedy"`
	At           time.Time       `json:"at"`
}

type reasonInfo struct {
	status int
	title  string
}

// reasonInfos holds the HTTP status and title of each reason.
var reasonInfos = map[refusals.Reason]reasonInfo{
	refusals.CredentialsMissing:     {http.StatusUnauthorized, "Credentials missing"},
	refusals.CredentialsWrong:       {http.StatusUnauthorized, "Credentials wrong"},
	refusals.CustomerUnknown:        {http.StatusUnauthorized, "Customer unknown"},
	refusals.RouteUnknown:           {http.StatusNotFound, "Route unknown"},
	refusals.ServiceNotInContract:   {http.StatusForbidden, "Service not in contract"},
	refusals.OperationNotInContract: {http.StatusForbidden, "Operation not in contract"},
	refusals.RequestMalformed:       {http.StatusBadRequest, "Request malformed"},
	refusals.BodyTooLarge:           {http.StatusRequestEntityTooLarge, "Body too large"},
	refusals.DeadlineExpired:        {http.StatusGatewayTimeout, "Deadline expired"},
	refusals.DeadlineUnreachable:    {http.StatusServiceUnavailable, "Deadline unreachable"},
	refusals.RateExceeded:           {http.StatusTooManyRequests, "Rate exceeded"},
	refusals.QuotaUnavailable:       {http.StatusServiceUnavailable, "Quota unavailable"},
	refusals.ConcurrencyExceeded:    {http.StatusTooManyRequests, "Concurrency exceeded"},
	refusals.QueueFull:              {http.StatusServiceUnavailable, "Queue full"},
	refusals.Displaced:              {http.StatusServiceUnavailable, "Displaced by more urgent work"},
	refusals.RetryAllowanceExceeded: {http.StatusServiceUnavailable, "Retry allowance exceeded"},
	refusals.NoUpstream:             {http.StatusServiceUnavailable, "No usable upstream"},
	refusals.UpstreamRefused:        {http.StatusServiceUnavailable, "Upstream refused the request"},
	refusals.UpstreamRejecting:      {http.StatusServiceUnavailable, "Upstream asks for a pause"},
	refusals.UpstreamLimited:        {http.StatusServiceUnavailable, "Upstream limits its requests"},
	refusals.RequestQuarantined:     {http.StatusServiceUnavailable, "Request ends the upstreams that run it"},
	refusals.UpstreamConnectFailed:  {http.StatusBadGateway, "Upstream not reached"},
	refusals.UpstreamLost:           {http.StatusBadGateway, "Upstream lost"},
	refusals.DeadlinePassedRunning:  {http.StatusGatewayTimeout, "Deadline passed while running"},
	refusals.KeyMissing:             {http.StatusBadRequest, "Idempotency key missing"},
	refusals.KeyMalformed:           {http.StatusBadRequest, "Idempotency key malformed"},
	refusals.KeyRefused:             {http.StatusConflict, "Idempotency key refused"},
	refusals.KeyReused:              {http.StatusUnprocessableEntity, "Idempotency key reused"},
	refusals.KeyExpired:             {http.StatusConflict, "Idempotency key expired"},
	refusals.KeyForeign:             {http.StatusConflict, "Idempotency key of another host"},
	refusals.KeyOutcomeUnknown:      {http.StatusConflict, "Outcome unknown"},
	refusals.KeyInProgress:          {http.StatusConflict, "Request in progress"},
	refusals.KeyAnswerNotKept:       {http.StatusConflict, "Answer not kept"},
	refusals.KeyTableFull:           {http.StatusServiceUnavailable, "Idempotency table full"},
	refusals.HostDraining:           {http.StatusServiceUnavailable, "Host draining"},
	refusals.HostIsolated:           {http.StatusServiceUnavailable, "Host isolated"},
	refusals.HostCatchingUp:         {http.StatusServiceUnavailable, "Host catching up"},
}

// New returns the document of a refusal.
func New(r *refusals.Refusal) Document {
	m, ok := reasonInfos[r.Reason]
	if !ok {
		m = reasonInfo{http.StatusInternalServerError, string(r.Reason)}
	}
	return Document{
		Type: typePrefix + string(r.Reason), Title: m.title, Status: m.status, Detail: r.Detail,
		Reason: r.Reason, Ran: r.Ran, Clause: r.Clause, Limit: r.Limit, Observed: r.Observed, Unit: r.Unit,
		RetryAfterMS: r.RetryAfter.Milliseconds(), RequestID: r.RequestID, Customer: r.Customer, Service: r.Service,
		Operation: r.Operation, Host: r.Host, Revision: r.Revision, Remedy: r.Remedy, At: r.At,
	}
}

// Write sends the refusal to a caller.
func Write(w http.ResponseWriter, r *refusals.Refusal) {
	doc := New(r)
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(callerapi.HeaderRan, string(r.Ran))
	h.Set(callerapi.HeaderRequestID, r.RequestID)
	h.Set(callerapi.HeaderHost, r.Host)
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if doc.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="arbutusspan"`)
	}
	w.WriteHeader(doc.Status)
	// The status line has been sent, so a write error cannot be reported to the caller; it means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(doc)
}
