package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
)

// unreachable is a loopback address on which nothing listens; port 1 is reserved.
const unreachable = "http://127.0.0.1:1"

// run runs a command line against a fake operator port and returns its output and its exit code.
func run(t *testing.T, handler http.HandlerFunc, args ...string) (string, int, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	var out bytes.Buffer
	all := append([]string{"arbutusctl", "--host", unreachable, "--host", server.URL, "--token", "t"}, args...)
	err := New(&out).Run(context.Background(), all)
	var e *Error
	switch {
	case err == nil:
		return out.String(), ExitOK, nil
	case errors.As(err, &e):
		return out.String(), e.Code, err
	}
	return out.String(), ExitFailed, err
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// TestExitCodes guards against wrong exit codes, with which a script would take a refusal for a success or an unknown outcome for a
// known one.
func TestExitCodes(t *testing.T) {
	abortPosts := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, `{"customer":"trentvale","revision":3}`)
	}
	document := []string{"contract", "apply", "-f", "../../examples/trentvale.json", "--wait=false"}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		args    []string
		code    int
		message string
	}{
		{"done", respond(200, `[]`), []string{"status"}, ExitOK, ""},
		{"wrong token", respond(401, `{"error":"the operator token is wrong"}`), []string{"status"}, ExitUnauthorized, "operator token is wrong"},
		{"not found", respond(404, `{"error":"refusal x is not kept"}`), []string{"refusal", "explain", "x"}, ExitNotFound, "not kept"},
		{"conflict", respond(409, `{"outcome":"conflict","error":"revision 4 of ann won"}`), append(document, "--base", "3"), ExitConflict, "revision 4 of ann won"},
		{"outcome unknown", respond(504, `{"outcome":"unknown","error":"not read back"}`), append(document, "--base", "3"), ExitUnknown, "--op-id"},
		{"answer lost", abortPosts, document, ExitUnknown, "--op-id"},
		{"unavailable", respond(503, `{"error":"the log cannot be read"}`), append(document, "--base", "3"), ExitUnavailable, "log cannot be read"},
		{"op id without base", respond(200, `{}`), append(document, "--op-id", "x"), ExitUsage, "--base"},
		{"missing argument", respond(200, `{}`), []string{"state"}, ExitUsage, "HOST"},
		{"wrong output", respond(200, `{}`), []string{"--output", "xml", "status"}, ExitUsage, "table or json"},
		{"unknown flag", respond(200, `{}`), []string{"contract", "apply", "--force"}, ExitUsage, "--help"},
		{"missing file", respond(200, `{}`), []string{"contract", "validate", "-f", "nowhere.json"}, ExitUsage, "nowhere.json"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, code, err := run(t, c.handler, c.args...)
			is.Equal(code, c.code)
			if c.message != "" {
				is.True(strings.Contains(err.Error(), c.message)) // the message says what to do
			}
		})
	}
}

// TestNoHostReached guards against reporting an unreachable deployment as an unknown outcome.
func TestNoHostReached(t *testing.T) {
	is := is.New(t)
	err := New(io.Discard).Run(context.Background(), []string{"arbutusctl", "--host", unreachable, "--token", "t", "contract", "apply",
		"-f", "../../examples/shannon.json", "--base", "1"})
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Code, ExitUnavailable)
}

// TestPublicationIsSentOnce guards against a command that resends a change after the response was lost.
func TestPublicationIsSentOnce(t *testing.T) {
	is := is.New(t)
	posts := 0
	_, code, _ := run(t, func(http.ResponseWriter, *http.Request) {
		posts++
		panic(http.ErrAbortHandler)
	}, "contract", "delete", "trentvale", "--base", "1")
	is.Equal(code, ExitUnknown)
	is.Equal(posts, 1)
}

// TestApplyWaitsForAllHosts guards against a command that reports success while a reachable host lacks the revision.
func TestApplyWaitsForAllHosts(t *testing.T) {
	is := is.New(t)
	statusQueries := 0
	out, code, err := run(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			io.WriteString(w, `{"outcome":"accepted","customer":"trentvale","op_id":"x","revision":4}`)
		case statusQueries < 2:
			statusQueries++
			io.WriteString(w, `[{"host":"a","revisions":{"trentvale":4}},{"host":"b","revisions":{"trentvale":3}},{"host":"c","error":"not reached"}]`)
		default:
			io.WriteString(w, `[{"host":"a","revisions":{"trentvale":4}},{"host":"b","revisions":{"trentvale":4}},{"host":"c","error":"not reached"}]`)
		}
	}, "--output", "json", "contract", "apply", "-f", "../../examples/trentvale.json", "--base", "3")
	is.NoErr(err)
	is.Equal(code, ExitOK)
	is.Equal(statusQueries, 2)
	is.True(strings.Contains(out, `"hosts_in_force": 2`))
}

// TestDiff guards against differences that are missed, or reported because of white space and the order of keys.
func TestDiff(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile("../../examples/trentvale.json")
	is.NoErr(err)
	changed := filepath.Join(t.TempDir(), "changed.json")
	is.NoErr(os.WriteFile(changed, bytes.Replace(document, []byte(`"burst": 150`), []byte(`"burst":    151`), 1), 0o600))
	out, code, _ := run(t, respond(200, `{"customer":"trentvale","document":`+string(document)+`}`), "contract", "diff", "-f", changed)
	is.Equal(code, ExitOK)
	is.Equal(strings.Count(out, "\n"), 2) // the header and one field
	is.True(strings.Contains(out, "/services/0/burst"))
}

// TestTableFigures guards against figures with the rounding errors of binary fractions, such as 3300.0000000000005.
func TestTableFigures(t *testing.T) {
	is := is.New(t)
	var table table
	table.add(3300.0000000000005, 0.25, 27, "x")
	is.Equal(table.rows[0], []string{"3300", "0.25", "27", "x"})
}

// TestGatewayCommands checks the commands for hosts on the users' platform: if a host does not respond, the others are still shown,
// and a refusal is found at the host that keeps it.
func TestGatewayCommands(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+gateway.DumpPath, func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(gateway.Dump{Host: "edge-1", Zone: "a", ConfigurationVersion: 7, Endpoints: []gateway.EndpointDump{{Name: "i-1", Service: "lotdesk", Slowness: 2.5}}})
	})
	mux.HandleFunc("GET "+gateway.RefusalsPath+"known", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(problem.Document{RequestID: "known", Detail: "no endpoint had room"})
	})
	up := httptest.NewServer(mux)
	defer up.Close()
	down := httptest.NewServer(mux)
	down.Close()
	at := []string{"--at", down.Listener.Addr().String(), "--at", up.Listener.Addr().String()}
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		err := New(&out).Run(t.Context(), append([]string{"arbutusctl", "gateway"}, args...))
		return out.String(), err
	}
	out, err := run(append([]string{"status"}, at...)...)
	is.NoErr(err)
	is.True(strings.Contains(out, "edge-1"))
	out, err = run(append([]string{"endpoints"}, at...)...)
	is.NoErr(err)
	is.True(strings.Contains(out, "i-1") && strings.Contains(out, "2.5"))
	out, err = run(append(append([]string{"explain"}, at[2:]...), "known")...)
	is.NoErr(err)
	is.True(strings.Contains(out, "no endpoint had room"))
	for want, args := range map[int][]string{ExitNotFound: append(append([]string{"explain"}, at[2:]...), "unknown"), ExitUnavailable: append([]string{"status"}, at[:2]...)} {
		_, err = run(args...)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Code, want)
	}
}
