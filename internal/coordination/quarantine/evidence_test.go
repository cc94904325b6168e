package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestEndsForOtherReasons guards against a proper request that is condemned because endpoints often end for other reasons and three ended under it in a
// row, by chance, and against a culprit that goes free beside such ends or beside other culprits.
func TestEndsForOtherReasons(t *testing.T) {
	for _, c := range []struct {
		name      string
		unrelated int
		requests  int           // under which these ended, in turn
		apart     time.Duration // between these
		under     int           // ends under the request after them
		wants     []string
	}{
		{"few other ends", 2, 2, time.Second, 3, []string{"a"}},
		{"other ends long ago", 20, 20, unrelatedWindow / 2, 3, []string{"a"}},
		{"as many other ends", 3, 3, time.Second, 3, nil},
		{"more ends than others", 3, 3, time.Second, 4, []string{"a"}},
		{"many other ends", 9, 9, time.Second, 4, nil},
		{"other culprits that are not known yet", 6, 3, time.Second, 3, []string{"a"}},
		{"a culprit beside many other ends", 9, 9, time.Second, 5, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				g, peer := newGuard(), newGuard()
				share := func() { peer.HandleUpdate(g.ZoneUpdate(time.Now()), "g", true, time.Now()) }
				for i := range c.unrelated {
					g.broke(fmt.Sprint("other", i), fmt.Sprint("other request", i%c.requests))
					share()
					time.Sleep(c.apart)
				}
				for i := range c.under {
					g.broke(fmt.Sprint("e", i), "a")
					share()
				}
				time.Sleep(time.Millisecond)
				g.broke("later", "later") // changes nothing
				share()
				is.New(t).Equal(g.quarantined("a"), c.wants)
				is.New(t).Equal(peer.quarantined("a"), c.wants)
			})
		})
	}
}
