package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// HostStatus is the status of one host, as `arbutusctl status` shows it.
type HostStatus struct {
	Host           string            `json:"host"`
	Site           string            `json:"site,omitempty"`
	Zone           string            `json:"zone,omitempty"`
	State          string            `json:"state"` // lifecycle state, or "unreachable"
	Incarnation    string            `json:"incarnation,omitempty"`
	ConfigPosition int64             `json:"config_position"`     // offset of the next record in the contract stream
	Revisions      map[string]uint64 `json:"revisions,omitempty"` // revision in force per customer
	Owns           []string          `json:"owns,omitempty"`      // services whose queue this host holds
	UptimeSeconds  int64             `json:"uptime_s"`
	Error          string            `json:"error,omitempty"`
}

// LocalHost provides the state and the recorded refusals of this host, and drains it.
type LocalHost interface {
	Status() HostStatus
	Dump() any
	Refusal(requestID string) (*refusals.Refusal, bool)
	Drain(operator string) error
	Undrain(operator string) error
}

// PeerHosts sends queries to the other entry hosts.
type PeerHosts interface {
	// Self returns this host's name.
	Self() string
	// Hosts returns the names of all known live entry hosts, including this one, in sorted order.
	Hosts() []string
	// Call calls a method of another host and waits for its result.
	Call(ctx context.Context, host, method string, in, out any) error
}

// perHostTimeout limits the query to one host, so that a host that does not respond does not block the results of the others.
const perHostTimeout = 2 * time.Second

// HandleQuery runs an operator's query on this host. Other hosts call it through wire.MethodOperator.
func (s *Server) HandleQuery(q wire.OperatorQuery) wire.OperatorResponse {
	switch q.Action {
	case wire.ActionStatus:
		return encode(http.StatusOK, s.cfg.LocalHost.Status())
	case wire.ActionState:
		return encode(http.StatusOK, s.cfg.LocalHost.Dump())
	case wire.ActionRefusal:
		if r, ok := s.cfg.LocalHost.Refusal(q.Argument); ok {
			return encode(http.StatusOK, problem.New(r))
		}
		return encodeError(trace.NotFound("refusal %q is not or no longer kept on host %s", q.Argument, s.cfg.PeerHosts.Self()))
	case wire.ActionDrain:
		return encodeResult(s.cfg.LocalHost.Drain(q.Operator), s.cfg.LocalHost)
	case wire.ActionUndrain:
		return encodeResult(s.cfg.LocalHost.Undrain(q.Operator), s.cfg.LocalHost)
	}
	return encodeError(trace.BadParameter("action %q is unknown on host %s; run the same version on all hosts", q.Action, s.cfg.PeerHosts.Self()))
}

func encodeResult(err error, local LocalHost) wire.OperatorResponse {
	if err != nil {
		return encodeError(err)
	}
	return encode(http.StatusOK, local.Status())
}

func encode(status int, v any) wire.OperatorResponse {
	data, err := json.Marshal(v)
	if err != nil {
		return wire.OperatorResponse{Status: http.StatusInternalServerError, JSON: []byte(`{"error":"the answer could not be encoded; report it with the log of this host"}`)}
	}
	return wire.OperatorResponse{Status: status, JSON: data}
}

func encodeError(err error) wire.OperatorResponse {
	return encode(statusOf(err), newErrorDocument(err))
}

// query runs a query on the given host, which may be this one.
func (s *Server) query(ctx context.Context, host string, q wire.OperatorQuery) (wire.OperatorResponse, error) {
	if host == s.cfg.PeerHosts.Self() {
		return s.HandleQuery(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, perHostTimeout)
	defer cancel()
	var a wire.OperatorResponse
	if err := s.cfg.PeerHosts.Call(ctx, host, wire.MethodOperator, q, &a); err != nil {
		return a, trace.ConnectionProblem(err, "host %s was not reached; check it with arbutusctl status, or ask it through its own operator port", host)
	}
	return a, nil
}

// queryAll runs a query on all hosts concurrently. It returns the hosts with their responses and errors, in the order of Hosts.
func (s *Server) queryAll(ctx context.Context, q wire.OperatorQuery) ([]string, []wire.OperatorResponse, []error) {
	hosts := s.cfg.PeerHosts.Hosts()
	responses, errs := make([]wire.OperatorResponse, len(hosts)), make([]error, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() { responses[i], errs[i] = s.query(ctx, h, q) })
	}
	wg.Wait()
	return hosts, responses, errs
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	hosts, responses, errs := s.queryAll(r.Context(), wire.OperatorQuery{Action: wire.ActionStatus})
	out := make([]HostStatus, len(hosts))
	for i, h := range hosts {
		err := errs[i]
		if err == nil {
			err = json.Unmarshal(responses[i].JSON, &out[i])
		}
		if err != nil {
			out[i] = HostStatus{Host: h, State: "unreachable", Error: trace.UserMessage(err)}
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// onHost returns a handler that runs an action on the host that is named in the path.
func (s *Server) onHost(action wire.OperatorAction) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := s.query(r.Context(), r.PathValue("host"), wire.OperatorQuery{Action: action, Operator: operatorName(r)})
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, a)
	}
}

// explainRefusal searches all hosts for a refusal, because an operator rarely knows which host refused the request.
func (s *Server) explainRefusal(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	hosts, responses, errs := s.queryAll(r.Context(), wire.OperatorQuery{Action: wire.ActionRefusal, Argument: id})
	unreachable := 0
	for i := range hosts {
		if errs[i] != nil {
			unreachable++
			continue
		}
		if responses[i].Status == http.StatusOK {
			writeResponse(w, responses[i])
			return
		}
	}
	writeError(w, trace.NotFound("refusal %q is not or no longer kept: %d hosts were asked, %d of them not reached; each host keeps its newest refusals until it restarts", id, len(hosts), unreachable))
}

func writeResponse(w http.ResponseWriter, a wire.OperatorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(a.JSON)
}

// EndpointStatus is the status of one endpoint, as `arbutusctl upstreams` shows it.
type EndpointStatus struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	State       string `json:"state"` // live or ejected
}
