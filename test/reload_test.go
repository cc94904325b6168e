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

// TestReload guards against a SIGHUP that a running gateway ignores, as it does while it starts: each one checks the settings file.
func TestReload(t *testing.T) {
	is := is.New(t)
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.NoErr(err)
	ip := loopback(t, 101)
	path, err := testbed.WriteJSON(t.TempDir(), "settings.json", gateway.Settings{Host: "a-1", Zone: "a", CallerAddress: freeAddress(ip),
		ReadyAddress: freeAddress(ip), DirectoryAddress: freeAddress(ip), PeerAddress: freeAddress(ip), StateAddress: freeAddress(ip),
		StoreAddress: freeAddress(ip), RepeatRatio: 0.2, RepeatBurst: 10, GraceS: 1})
	is.NoErr(err)
	p := start(t, "a-1", bin["arbutusspan"], "gateway", "--settings", path)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	logged := func(text string) {
		t.Helper()
		is.NoErr(testbed.Eventually(ctx, func() error {
			if !strings.Contains(p.Log(), text) {
				return fmt.Errorf("the log lacks %q", text)
			}
			return nil
		}))
	}
	logged("msg=started")
	is.NoErr(p.Signal(syscall.SIGHUP))
	logged("msg=reload host=a-1 outcome=kept")
	is.NoErr(os.WriteFile(path, []byte("{"), 0o600))
	is.NoErr(p.Signal(syscall.SIGHUP))
	logged("msg=reload host=a-1 outcome=refused")
	is.NoErr(p.Signal(syscall.SIGTERM))
	is.NoErr(p.Wait(ctx))
}
