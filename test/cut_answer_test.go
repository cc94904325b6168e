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

// rawDaemon is a daemon whose only upstream, of the service lotdesk, sends raw answers.
type rawDaemon struct {
	url     string       // of the service
	prefix  string       // of idempotency keys
	reached atomic.Int64 // requests at the upstream, without health checks
}

// rawAnswerFields are what an upstream states in each answer.
const rawAnswerFields = "Upstream-State: live\r\nUpstream-Incarnation: 1\r\nUpstream-Load: 0/2\r\n"

// wholeRawAnswer is the answer to health checks.
const wholeRawAnswer = "HTTP/1.1 200 OK\r\n" + rawAnswerFields + "Content-Length: 4\r\n\r\nbody"

// startRawDaemon starts a daemon with the contract at a path, and waits until its upstream, which answers with answer, serves lookups.
func startRawDaemon(t *testing.T, ctx context.Context, contractPath string, answer func(r *http.Request) (string, rawserver.End)) *rawDaemon {
	t.Helper()
	is := is.New(t)
	dir, d := t.TempDir(), &rawDaemon{}
	bin, err := testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
	is.NoErr(err)
	upstream, err := rawserver.New(func(_ int, r *http.Request) (string, rawserver.End) {
		if r.URL.Path == "/healthz" {
			return wholeRawAnswer, rawserver.Keep
		}
		d.reached.Add(1)
		return answer(r)
	})
	is.NoErr(err)
	t.Cleanup(upstream.Close)
	platformURL := startPlatform(t, ctx, bin, loopback(t, 4),
		[]platform.Host{{Role: platform.RoleUpstream, Address: upstream.Address(), Service: "lotdesk", Slots: 2, Incarnation: "1", State: "live"}})
	settings := settingsFor(t, "tamworth-2", "tamworth-hall", loopback(t, 12), platformURL)
	startDaemon(t, bin, dir, settings)
	is.NoErr(testbed.Eventually(ctx, func() error {
		return exec.CommandContext(ctx, bin["arbutusctl"], "--host", operatorURL(settings), "--token", testbed.OperatorToken, "contract", "apply", "-f", contractPath).Run()
	}))
	callerURL := fmt.Sprintf("http://%s:%d", settings.Address, settings.CallerPort)
	d.url = callerURL + "/s/lotdesk"
	is.NoErr(testbed.Eventually(ctx, func() error { return d.serves(ctx) }))
	d.prefix = fetchKeyPrefix(http.DefaultClient, callerURL)
	return d
}

// serves returns an error unless a lookup gets the whole answer.
func (d *rawDaemon) serves(ctx context.Context) error {
	status, body, err := get(ctx, d.url+"/lots/17")
	if err == nil && (status != http.StatusOK || body != "body") {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

// untilReached calls send until it has reached the upstream, which may be ejected for a while.
func (d *rawDaemon) untilReached(ctx context.Context, send func()) error {
	before := d.reached.Load()
	return testbed.Eventually(ctx, func() error {
		send()
		if d.reached.Load() == before {
			return errors.New("the request did not reach the upstream")
		}
		return nil
	})
}

// TestCutAnswerThroughDaemon guards against a caller of the daemon that gets a success that looks whole for an answer that the upstream broke off in its
// head or body, with a close or a reset.
func TestCutAnswerThroughDaemon(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const whole = wholeRawAnswer
	var sent atomic.Int64
	var reset atomic.Bool
	sent.Store(int64(len(whole)))
	d := startRawDaemon(t, ctx, "../examples/trentvale.json", func(*http.Request) (string, rawserver.End) {
		n := int(sent.Load())
		switch {
		case n == len(whole):
			return whole, rawserver.Keep
		case reset.Load():
			return whole[:n], rawserver.Reset
		}
		return whole[:n], rawserver.Close
	})
	for i, n := range []int{0, 12, 17, 40, len(whole) - 6, len(whole) - 5, len(whole) - 4, len(whole) - 1} {
		reset.Store(i%2 == 0)
		sent.Store(int64(n))
		is.NoErr(d.untilReached(ctx, func() {
			status, body, err := get(ctx, d.url+"/lots/17")
			if err == nil && status < http.StatusInternalServerError {
				t.Errorf("%d of %d bytes: status %d, %q looks whole", n, len(whole), status, body)
			}
		}))
	}
	sent.Store(int64(len(whole)))
	is.NoErr(testbed.Eventually(ctx, func() error { return d.serves(ctx) }))
}
