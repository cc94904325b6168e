package test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// TestCutAnswerThroughDaemon guards against a caller of the daemon that gets a success that looks whole for an answer that the upstream broke off in its
// head or body, with a close or a reset.
func TestCutAnswerThroughDaemon(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
	is.NoErr(err)
	const whole = "HTTP/1.1 200 OK\r\nUpstream-State: live\r\nUpstream-Incarnation: 1\r\nUpstream-Load: 0/2\r\nContent-Length: 4\r\n\r\nbody"
	var sent, reached atomic.Int64
	var reset atomic.Bool
	sent.Store(int64(len(whole)))
	upstream, err := rawserver.New(func(_ int, r *http.Request) (string, rawserver.End) {
		n := int(sent.Load())
		if r.URL.Path == "/healthz" || n == len(whole) {
			return whole, rawserver.Keep
		}
		reached.Add(1)
		if reset.Load() {
			return whole[:n], rawserver.Reset
		}
		return whole[:n], rawserver.Close
	})
	is.NoErr(err)
	defer upstream.Close()
	platformURL := startPlatform(t, ctx, bin, loopback(t, 4),
		[]platform.Host{{Role: platform.RoleUpstream, Address: upstream.Address(), Service: "lotdesk", Slots: 2, Incarnation: "1", State: "live"}})
	settings := settingsFor(t, "tamworth-2", "tamworth-hall", loopback(t, 12), platformURL)
	startDaemon(t, bin, dir, settings)
	is.NoErr(testbed.Eventually(ctx, func() error {
		return exec.CommandContext(ctx, bin["arbutusctl"], "--host", operatorURL(settings), "--token", testbed.OperatorToken, "contract", "apply", "-f",
			"../examples/trentvale.json").Run()
	}))
	url := fmt.Sprintf("http://%s:%d/s/lotdesk/lots/17", settings.Address, settings.CallerPort)
	serves := func() error {
		status, body, err := get(ctx, url)
		if err == nil && (status != http.StatusOK || body != "body") {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	}
	is.NoErr(testbed.Eventually(ctx, serves))
	for i, n := range []int{0, 12, 17, 40, len(whole) - 6, len(whole) - 5, len(whole) - 4, len(whole) - 1} {
		reset.Store(i%2 == 0)
		sent.Store(int64(n))
		before := reached.Load()
		is.NoErr(testbed.Eventually(ctx, func() error { // the endpoint may be ejected for a while
			status, body, err := get(ctx, url)
			if err == nil && status < http.StatusInternalServerError {
				t.Errorf("%d of %d bytes: status %d, %q looks whole", n, len(whole), status, body)
			}
			if reached.Load() == before {
				return errors.New("the request did not reach the upstream")
			}
			return nil
		}))
	}
	sent.Store(int64(len(whole)))
	is.NoErr(testbed.Eventually(ctx, serves))
}
