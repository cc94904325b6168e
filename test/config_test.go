package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

// operatorRequest sends a request with the operator's token, decodes the response into into and returns the status code.
func operatorRequest(ctx context.Context, method, url string, body, into any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(into)
}

// TestConfiguration guards against a second host that never learns the contracts because the log is down when it starts, against two
// concurrent changes that are both reported as accepted, and against a change that is reported as failed or applied twice because the
// log's response was lost.
func TestConfiguration(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "standin")
	is.NoErr(err)
	address := freeAddress(loopback(t, 3))
	start(t, "platform", bin["standin"], "platform", "--listen", address)
	faults := func(f standin.LogFaults) {
		t.Helper()
		is.NoErr(testbed.Eventually(ctx, func() error { return testbed.PutJSON(ctx, "http://"+address+"/standin/log-faults", f) }))
	}
	daemon := func(name, ip string) string {
		t.Helper()
		s := settingsFor(t, name, "z", ip, "http://"+address)
		startDaemon(t, bin, dir, s)
		return operatorURL(s)
	}
	document, err := os.ReadFile("../examples/trentvale.json")
	is.NoErr(err)
	publish := func(url, op string, base uint64) (response admin.PublishResponse, err error) {
		_, err = operatorRequest(ctx, http.MethodPost, url+"/v1/contracts", configlog.Change{OpID: op, Customer: "trentvale", Base: base, Document: document}, &response)
		return response, err
	}
	checkReadyz := func(url string, want int) error {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != want {
			return fmt.Errorf("readyz: %s", resp.Status)
		}
		return nil
	}

	faults(standin.LogFaults{})
	first := daemon("tamworth-1", loopback(t, 41))
	is.NoErr(testbed.Eventually(ctx, func() error { return checkReadyz(first, http.StatusOK) }))

	faults(standin.LogFaults{LoseAnswers: 1})
	response, err := publish(first, "one", 0)
	is.NoErr(err)
	is.Equal([]any{response.Outcome, response.Revision}, []any{admin.OutcomeAccepted, uint64(1)})

	faults(standin.LogFaults{Down: true})
	second := daemon("tamworth-2", loopback(t, 42))
	is.NoErr(testbed.Eventually(ctx, func() error { return checkReadyz(second, http.StatusServiceUnavailable) }))
	var refused admin.ErrorDocument
	is.NoErr(testbed.Eventually(ctx, func() error { // the first host may not have detected the outage yet
		code, err := operatorRequest(ctx, http.MethodPost, first+"/v1/contracts", configlog.Change{OpID: "down", Customer: "trentvale", Base: 1, Document: document}, &refused)
		if err != nil || code != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d, error %v", code, err)
		}
		return nil
	}))
	is.True(refused.Error != "")
	faults(standin.LogFaults{})
	for _, url := range []string{first, second} {
		is.NoErr(testbed.Eventually(ctx, func() error {
			var e configlog.Entry
			code, err := operatorRequest(ctx, http.MethodGet, url+"/v1/contracts/trentvale", nil, &e)
			if err != nil || code != http.StatusOK || e.OpID != "one" {
				return fmt.Errorf("status %d, error %v, entry %+v", code, err, e)
			}
			return nil
		}))
		is.NoErr(testbed.Eventually(ctx, func() error { return checkReadyz(url, http.StatusOK) }))
	}

	responses := make(chan admin.PublishResponse, 2)
	for i, url := range []string{first, second} {
		go func() {
			var a admin.PublishResponse
			// A host that has not caught up with the log, or is still in backoff after the outage, responds that nothing was stored.
			err := testbed.Eventually(ctx, func() (err error) {
				if a, err = publish(url, fmt.Sprint("race-", i), 1); err == nil && a.Outcome == "" {
					err = fmt.Errorf("not stored")
				}
				return err
			})
			if err != nil {
				t.Error(err)
			}
			responses <- a
		}()
	}
	a, b := <-responses, <-responses
	if a.Outcome != admin.OutcomeAccepted {
		a, b = b, a
	}
	is.Equal([]any{a.Outcome, a.Revision}, []any{admin.OutcomeAccepted, uint64(2)})
	is.Equal([]any{b.Outcome, b.Revision}, []any{admin.OutcomeConflict, uint64(2)})
	is.Equal(b.Current.OpID, a.OpID) // the rejected operator is told which change was accepted
}
