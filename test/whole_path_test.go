package test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// TestWholePath guards against a fault anywhere on the path from publishing a contract to a caller's response.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
	is.NoErr(err)

	platformURL := startPlatform(t, ctx, bin, loopback(t, 2), startUpstreams(t, bin, 20, 2, 2, "2ms"))
	settings := settingsFor(t, "tamworth-1", "tamworth-hall", loopback(t, 11), platformURL)
	daemon := startDaemon(t, bin, dir, settings)
	ctl := func(args ...string) error {
		all := append([]string{"--host", operatorURL(settings), "--token", testbed.OperatorToken}, args...)
		if out, err := exec.CommandContext(ctx, bin["arbutusctl"], all...).CombinedOutput(); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	}
	is.NoErr(testbed.Eventually(ctx, func() error { return ctl("contract", "apply", "-f", "../examples/trentvale.json") }))

	var body string
	is.NoErr(testbed.Eventually(ctx, func() error {
		status, text, err := get(ctx, fmt.Sprintf("http://%s:%d/s/lotdesk/lots/17", settings.Address, settings.CallerPort))
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d, error %v, body %s", status, err, text)
		}
		body = text
		return nil
	}))
	is.Equal(body[:len("GET /lots/17 ")], "GET /lots/17 ")

	is.NoErr(daemon.Signal(syscall.SIGUSR1))
	is.NoErr(testbed.Eventually(ctx, func() error {
		if !strings.Contains(daemon.Log(), "state_dump") {
			return errors.New("no state dump in the log")
		}
		return nil
	}))
	for _, secret := range []string{testbed.ClusterSecret, testbed.CustomerSecret, testbed.OperatorToken} {
		is.True(!strings.Contains(daemon.Log(), secret)) // neither state dumps nor event log lines contain secrets
	}
	is.NoErr(daemon.Signal(syscall.SIGTERM))
	is.NoErr(daemon.Wait(ctx)) // the exit code of a planned stop is 0
}

func get(ctx context.Context, url string) (int, string, error) {
	return send(ctx, http.MethodGet, url, "", nil)
}

// send sends a request of Trentvale, with an idempotency key if key is not empty, and returns the status and the body of the response.
func send(ctx context.Context, method, url, key string, body []byte) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer trentvale."+testbed.CustomerSecret)
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
