package test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// startGateway starts a gateway that no other process can reach, and returns it with its settings file.
func startGateway(t *testing.T) (p *testbed.Process, settings string) {
	t.Helper()
	is := is.New(t)
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.NoErr(err)
	const ip = "127.0.9.1"
	settings, err = testbed.WriteJSON(t.TempDir(), "settings.json", gateway.Settings{Host: "a-1", Zone: "a", CallerAddress: freeAddress(t, ip),
		ReadyAddress: freeAddress(t, ip), DirectoryAddress: freeAddress(t, ip), PeerAddress: freeAddress(t, ip), StateAddress: freeAddress(t, ip),
		StoreAddress: freeAddress(t, ip), RepeatRatio: 0.2, RepeatBurst: 10, GraceS: 1})
	is.NoErr(err)
	return start(t, "a-1", bin["arbutusspan"], "gateway", "--settings", settings), settings
}

// awaitLog waits until the log of a process contains a text.
func awaitLog(ctx context.Context, t *testing.T, p *testbed.Process, text string) {
	t.Helper()
	is.New(t).NoErr(testbed.Eventually(ctx, func() error {
		if !strings.Contains(p.Log(), text) {
			return fmt.Errorf("the log lacks %q", text)
		}
		return nil
	}))
}

// TestReload guards against a SIGHUP that a running gateway ignores, as it does while it starts: each one checks the settings file.
func TestReload(t *testing.T) {
	is := is.New(t)
	p, path := startGateway(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	awaitLog(ctx, t, p, "msg=started")
	is.NoErr(p.Signal(syscall.SIGHUP))
	awaitLog(ctx, t, p, "msg=reload host=a-1 outcome=kept")
	is.NoErr(os.WriteFile(path, []byte("{"), 0o600))
	is.NoErr(p.Signal(syscall.SIGHUP))
	awaitLog(ctx, t, p, "msg=reload host=a-1 outcome=refused")
	is.NoErr(p.Signal(syscall.SIGTERM))
	is.NoErr(p.Wait(ctx))
}

// TestSignalsUntilEnd guards against a process that a signal ends or has panic after it has drained, before it exits by itself.
func TestSignalsUntilEnd(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(sig.String(), func(t *testing.T) {
			is := is.New(t)
			p, _ := startGateway(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			awaitLog(ctx, t, p, "msg=started")
			is.NoErr(p.Signal(syscall.SIGTERM))
			for ctx.Err() == nil && !p.Ended() {
				p.Signal(sig) // an error means that the process has ended
				time.Sleep(time.Millisecond)
			}
			is.NoErr(p.Wait(ctx))
		})
	}
}
