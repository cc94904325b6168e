package host

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// TestAdmit guards against a host that accepts requests before it has read the contracts, and so refuses known customers as unknown,
// and against one that serves by outdated contracts while it reaches neither the log nor another host.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	h := New(&Settings{Host: "a", Zone: "z", Address: "127.0.0.1", ClusterSecret: "0123456789abcdef", DispatchPolicy: PolicyQueue}, log.New(io.Discard))
	defer h.dispatch.router.Close()
	is.Equal(h.admit().Reason, refusals.HostCatchingUp)
	is.NoErr(h.lifecycle.Event(context.Background(), eventListen))
	is.Equal(h.admit().Reason, refusals.HostCatchingUp)
	is.NoErr(h.lifecycle.Event(context.Background(), eventCaughtUp))
	h.follower.RecordContact(time.Now())
	is.True(h.admit() == nil)

	h.follower.RecordContact(time.Now().Add(-time.Hour))
	is.True(h.admit() == nil) // no other host can have accepted a contract change
	h.member.otherHosts.Store(true)
	is.Equal(h.admit().Reason, refusals.HostIsolated)
	is.Equal(h.admit().Ran, refusals.RanNo)

	is.NoErr(h.lifecycle.Event(context.Background(), eventDrain))
	h.follower.RecordContact(time.Now())
	is.True(h.admit() == nil) // a draining host still serves callers that use its address
}
