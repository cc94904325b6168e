// Package admin is the HTTP interface for operators. It serves contracts, status, state dumps and refusals, and drains hosts.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/gravitational/trace"
	"github.com/justinas/alice"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// Operator is an operator whose token is accepted.
type Operator struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"` // lower-case hex SHA-256 of the token
}

// Config of a Server.
type Config struct {
	Operators []Operator
	Follower  *configlog.Follower
	LocalHost LocalHost
	PeerHosts PeerHosts
	Metrics   expvar.Var
	Upstreams func() map[string][]EndpointStatus // known endpoints per service
	Members   func() any                         // this host's view of the membership
	Ready     func() bool
}

// Server is the handler of the operator port.
type Server struct{ cfg Config }

// New returns the server of the operator port.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Handler returns the HTTP handler of the operator port.
func (s *Server) Handler() http.Handler {
	protected := http.NewServeMux()
	s.routeContracts(protected)
	protected.HandleFunc("GET /v1/status", s.status)
	protected.HandleFunc("GET /v1/hosts/{host}/state", s.onHost(wire.ActionState))
	protected.HandleFunc("POST /v1/hosts/{host}/drain", s.onHost(wire.ActionDrain))
	protected.HandleFunc("POST /v1/hosts/{host}/undrain", s.onHost(wire.ActionUndrain))
	protected.HandleFunc("GET /v1/refusals/{id}", s.explainRefusal)
	protected.HandleFunc("GET /v1/upstreams", s.upstreams)
	protected.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.cfg.Members()) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	chain := alice.New(s.authorize)
	mux.Handle("/v1/", chain.Then(protected))
	mux.Handle("GET /debug/vars", chain.ThenFunc(s.vars))
	mux.Handle("/debug/pprof/", chain.ThenFunc(pprof.Index))
	mux.Handle("/debug/pprof/profile", chain.ThenFunc(pprof.Profile))
	mux.Handle("/debug/pprof/trace", chain.ThenFunc(pprof.Trace))
	return mux
}

// ErrorDocument is the JSON body of an error response.
type ErrorDocument struct {
	Error  string               `json:"error"`
	Fields contract.FieldErrors `json:"fields,omitempty"`
}

func newErrorDocument(err error) ErrorDocument {
	doc := ErrorDocument{Error: trace.UserMessage(err)}
	errors.As(err, &doc.Fields)
	return doc
}

// statusOf returns the HTTP status of an error. trace.ErrorToCode would return 408 for a connection problem, which tells clients that they
// sent their request too slowly.
func statusOf(err error) int {
	if trace.IsConnectionProblem(err) {
		return http.StatusServiceUnavailable
	}
	return trace.ErrorToCode(err)
}

func writeError(w http.ResponseWriter, err error) { writeJSON(w, statusOf(err), newErrorDocument(err)) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		digest := []byte(hex.EncodeToString(sum[:]))
		name, match := "", false
		for _, op := range s.cfg.Operators {
			if subtle.ConstantTimeCompare(digest, []byte(op.SHA256)) == 1 {
				name, match = op.Name, true
			}
		}
		if !match {
			w.Header().Set("WWW-Authenticate", `Bearer realm="arbutusspan operators"`)
			writeJSON(w, http.StatusUnauthorized, ErrorDocument{Error: "the operator token is missing or wrong; send Authorization: Bearer TOKEN with a token whose SHA-256 is in the settings"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (s *Server) upstreams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.Upstreams())
}

// vars serves the metrics of this host and the memory statistics of the Go runtime.
func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"arbutusspan\": %s, \"memstats\": %s}\n", s.cfg.Metrics, expvar.Get("memstats"))
}

type operatorKey struct{}

// operatorName returns the name of the operator whose token authorized the request.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}
