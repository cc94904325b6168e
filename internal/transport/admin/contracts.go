package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// Outcomes of a publication.
const (
	OutcomeAccepted = "accepted" // the change is in the log and was read back from it
	OutcomeConflict = "conflict" // the change is not based on the current revision; PublishResponse.Current is that one, if there is one
	OutcomeUnknown  = "unknown"  // it is not known whether the change was accepted; send it again with the same op id
)

// PublishResponse answers POST /v1/contracts with the outcome of the change.
type PublishResponse struct {
	Outcome  string                  `json:"outcome"`
	Customer string                  `json:"customer"`
	OpID     string                  `json:"op_id"`
	Revision uint64                  `json:"revision,omitempty"` // revision of the change if accepted, of Current in a conflict
	Current  *configlog.HistoryEntry `json:"winner,omitempty"`
	Error    string                  `json:"error,omitempty"`
}

// ContractSummary is the contract of one customer in a ContractList.
type ContractSummary struct {
	Customer string `json:"customer"`
	Revision uint64 `json:"revision"`
	OpID     string `json:"op_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ContractList answers GET /v1/contracts.
type ContractList struct {
	Position  int64             `json:"position"` // offset in the log after the newest record that the list includes
	Contracts []ContractSummary `json:"contracts"`
}

// ContractHistory answers GET /v1/contracts/{customer}/history.
type ContractHistory struct {
	Customer string                   `json:"customer"`
	History  []configlog.HistoryEntry `json:"history"` // newest first
}

// ValidateResponse answers POST /v1/contracts/validate for a valid document.
type ValidateResponse struct {
	Customer string        `json:"customer"`
	Base     uint64        `json:"base"` // current revision, on which the document can be published
	Limits   []LimitsEntry `json:"limits"`
}

// LimitsEntry lists the limits of a customer for one service.
type LimitsEntry struct {
	Service string          `json:"service"`
	Clauses []limits.Clause `json:"clauses"`
}

// LimitsResponse answers GET /v1/limits/{customer}.
type LimitsResponse struct {
	Customer string        `json:"customer"`
	Revision uint64        `json:"revision"`
	Services []LimitsEntry `json:"services"`
}

func (s *Server) routeContracts(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/contracts", s.listContracts)
	mux.HandleFunc("GET /v1/contracts/{customer}", s.getContract)
	mux.HandleFunc("GET /v1/contracts/{customer}/history", s.history)
	mux.HandleFunc("POST /v1/contracts", s.publish)
	mux.HandleFunc("POST /v1/contracts/validate", s.validate)
	mux.HandleFunc("GET /v1/limits/{customer}", s.explainLimits)
}

func (s *Server) listContracts(w http.ResponseWriter, _ *http.Request) {
	state := s.cfg.Follower.State()
	list := ContractList{Position: state.Position, Contracts: []ContractSummary{}}
	for _, e := range state.SortedEntries() {
		list.Contracts = append(list.Contracts, ContractSummary{e.Customer, e.Revision, e.OpID, e.Deleted})
	}
	writeJSON(w, http.StatusOK, list)
}

// findEntry returns the entry of the customer that is named in the path. If there is none, it responds with 404 and returns nil.
func (s *Server) findEntry(w http.ResponseWriter, r *http.Request) *configlog.Entry {
	e := s.cfg.Follower.State().Entries[r.PathValue("customer")]
	if e == nil {
		writeError(w, trace.NotFound("customer %q has no contract; run arbutusctl contract list", r.PathValue("customer")))
	}
	return e
}

func (s *Server) getContract(w http.ResponseWriter, r *http.Request) {
	if e := s.findEntry(w, r); e != nil {
		writeJSON(w, http.StatusOK, e)
	}
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	if e := s.findEntry(w, r); e != nil {
		writeJSON(w, http.StatusOK, ContractHistory{e.Customer, e.History})
	}
}

// maxPublishBytes is the largest body of a publish or validate request. It allows 4096 bytes for the change around the document.
const maxPublishBytes = contract.MaxDocumentBytes + 4096

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPublishBytes))
	if err != nil {
		return nil, trace.BadParameter("the body could not be read: %v; at most %d bytes are allowed", err, maxPublishBytes)
	}
	return data, nil
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	var c configlog.Change
	if err := contract.DecodeStrict(data, &c); err != nil {
		writeError(w, err)
		return
	}
	// Operator and time in the body are not trusted: the token determines the operator, and this host's clock the time.
	c.Operator, c.At = operatorName(r), time.Now().UTC()
	accepted, err := s.cfg.Follower.Publish(r.Context(), c)
	response := PublishResponse{Customer: c.Customer, OpID: c.OpID}
	var conflict *configlog.ConflictError
	var unknown *configlog.OutcomeUnknownError
	switch {
	case err == nil:
		response.Outcome, response.Revision = OutcomeAccepted, accepted.Revision
		writeJSON(w, http.StatusOK, response)
	case errors.As(err, &conflict):
		response.Outcome, response.Revision, response.Error = OutcomeConflict, conflict.Current.Revision, conflict.Error()
		if conflict.Current.Revision > 0 {
			response.Current = &conflict.Current
		}
		writeJSON(w, http.StatusConflict, response)
	case errors.As(err, &unknown):
		response.Outcome, response.Error = OutcomeUnknown, unknown.Error()
		writeJSON(w, http.StatusGatewayTimeout, response)
	default:
		writeError(w, err)
	}
}

func (s *Server) validate(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	doc, err := contract.Decode(json.RawMessage(data))
	if err != nil {
		writeError(w, err)
		return
	}
	state := s.cfg.Follower.State()
	response := ValidateResponse{Customer: doc.Customer}
	if e := state.Entries[doc.Customer]; e != nil {
		response.Base = e.Revision
	}
	// The probe budget depends on all contracts of a service, so the limits are derived together with those of the other customers.
	others := []*contract.Contract{doc}
	for _, c := range state.Contracts() {
		if c.Customer != doc.Customer {
			others = append(others, c)
		}
	}
	response.Limits = limitsEntries(limits.Derive(others), doc)
	writeJSON(w, http.StatusOK, response)
}

func (s *Server) explainLimits(w http.ResponseWriter, r *http.Request) {
	e := s.findEntry(w, r)
	if e == nil {
		return
	}
	if e.Deleted {
		writeError(w, trace.NotFound("the contract of customer %q was deleted with revision %d; publish one on that base", e.Customer, e.Revision))
		return
	}
	set := limits.Derive(s.cfg.Follower.State().Contracts())
	writeJSON(w, http.StatusOK, LimitsResponse{e.Customer, e.Revision, limitsEntries(set, e.Contract)})
}

func limitsEntries(set limits.Set, c *contract.Contract) []LimitsEntry {
	var out []LimitsEntry
	for i := range c.Services {
		if l := set[limits.Key{Customer: c.Customer, Service: c.Services[i].Name}]; l != nil {
			out = append(out, LimitsEntry{l.Name, l.Clauses()})
		}
	}
	return out
}
