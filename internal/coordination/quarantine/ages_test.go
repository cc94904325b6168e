package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUpdateHasValidAges guards against messages that their receivers reject whole, among them heartbeats: a request may have been quarantined after the time
// that the sender took before it waited for the lock.
func TestUpdateHasValidAges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := newGuard()
	f := Fingerprint{Content: [16]byte{1}}
	decided := now.Add(50 * time.Millisecond)
	is.True(g.addVerdict(Verdict{Pattern: f, DecidedAt: decided, Until: decided.Add(quarantineTime)}, "a", decided))
	g.verdictUpdates.Announce(f)
	u := g.ZoneUpdate(now)
	is.Equal(len(u.Verdicts), 1)
	is.NoErr(u.Check())
}
