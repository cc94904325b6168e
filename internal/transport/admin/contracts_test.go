package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// TestContractEndpoints checks the status and body of each response, and that the operator of a change comes from the token and not from
// the body.
func TestContractEndpoints(t *testing.T) {
	log := httptest.NewServer(standin.NewPlatform().Handler())
	defer log.Close()
	f := configlog.NewFollower(configlog.Config{Host: "a", Log: platform.ConfigLog{Log: platform.NewLog(log.URL, configlog.Stream)}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx)
	<-f.Ready()
	token := sha256.Sum256([]byte("t"))
	handler := admin.New(admin.Config{Operators: []admin.Operator{{Name: "ann", SHA256: hex.EncodeToString(token[:])}}, Follower: f}).Handler()
	document, err := os.ReadFile("../../../examples/trentvale.json")
	if err != nil {
		t.Fatal(err)
	}
	change := func(op, base, rest string) string {
		return `{"op_id":"` + op + `","customer":"trentvale","base":` + base + `,"operator":"eve","at":"2026-01-01T00:00:00Z",` + rest + `}`
	}
	withDocument := `"document":` + string(document)
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		want                     string // part of the response body
	}{
		{"get unknown customer", "GET", "/v1/contracts/trentvale", "", 404, `"error":`},
		{"empty list", "GET", "/v1/contracts", "", 200, `"contracts":[]`},
		{"validate", "POST", "/v1/contracts/validate", string(document), 200, `"base":0,"limits":[{"service":"lotdesk","clauses":[{"limit":"rate","value":3000`},
		{"validate invalid document", "POST", "/v1/contracts/validate", strings.Replace(string(document), "3000", "0", 1), 400, `"path":"/services/0/rate_per_second"`},
		{"unknown field", "POST", "/v1/contracts", change("1", "0", `"x":1`), 400, `"error":`},
		{"oversized", "POST", "/v1/contracts", strings.Repeat(" ", 1<<20), 400, `at most`},
		{"invalid document", "POST", "/v1/contracts", change("1", "0", `"document":{"customer":"trentvale"}`), 400, `"path":"/credentials"`},
		{"delete unknown customer", "POST", "/v1/contracts", change("1", "0", `"deleted":true`), 404, `"error":`},
		{"publish", "POST", "/v1/contracts", change("1", "0", withDocument), 200, `{"outcome":"accepted","customer":"trentvale","op_id":"1","revision":1}`},
		{"repeat with the same op id", "POST", "/v1/contracts", change("1", "0", withDocument), 200, `"outcome":"accepted"`},
		{"another change with the same op id", "POST", "/v1/contracts", change("1", "0", `"deleted":true`), 409, `"error":"op id 1 was used`},
		{"conflict", "POST", "/v1/contracts", change("2", "0", withDocument), 409, `"outcome":"conflict","customer":"trentvale","op_id":"2","revision":1,"winner":{"revision":1,"op_id":"1","operator":"ann"`},
		{"list", "GET", "/v1/contracts", "", 200, `{"position":1,"contracts":[{"customer":"trentvale","revision":1,"op_id":"1"}]}`},
		{"limits", "GET", "/v1/limits/trentvale", "", 200, `{"customer":"trentvale","revision":1,"services":[{"service":"lotdesk","clauses":[`},
		{"delete", "POST", "/v1/contracts", change("3", "1", `"deleted":true`), 200, `"revision":2`},
		{"get deleted", "GET", "/v1/contracts/trentvale", "", 200, `"revision":2,"op_id":"3","deleted":true,"history":[`},
		{"limits of deleted", "GET", "/v1/limits/trentvale", "", 404, `revision 2`},
		{"history", "GET", "/v1/contracts/trentvale/history", "", 200, `{"customer":"trentvale","history":[{"revision":2,"op_id":"3","operator":"ann"`},
		{"history of unknown customer", "GET", "/v1/contracts/shannon/history", "", 404, `"error":`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer t")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			body, err := io.ReadAll(w.Body)
			is.NoErr(err)
			t.Logf("%d %s", w.Code, body)
			is.Equal(w.Code, c.status)
			is.True(json.Valid(body))
			is.True(strings.Contains(string(body), c.want))
		})
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/v1/contracts", nil))
	is.New(t).Equal(w.Code, http.StatusUnauthorized)
}
