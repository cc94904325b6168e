package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestOverloadIsExplained guards against refusals and waits that do not name the estimate which decided, in the log, the metrics and the response,
// and against fields on the lines of other requests.
func TestOverloadIsExplained(t *testing.T) {
	is := is.New(t)
	g := &Gateway{metrics: metrics.New()}
	is.Equal(g.reportOverload(&forward.Result{}), nil)
	e := &overload.Estimate{Reason: overload.QueueLong, Capacity: 8.04, Left: 6, Share: 2, Ahead: 3 * time.Second, Position: 12, Wait: 1500 * time.Millisecond,
		TimeLeft: 400 * time.Millisecond}
	res := &forward.Result{Outcome: forward.RefusedTooLate, Overload: e, WaitedBefore: 800 * time.Millisecond}
	is.Equal(fmt.Sprint(g.reportOverload(res)...),
		fmt.Sprint("waited_before_ms", 800, "overload", "queue_long", "capacity", 8.0, "left_per_s", 6.0, "share_per_s", 2.0, "ahead", 12, "ahead_ms", 3000, "wait_ms", 1500,
			"time_left_ms", 400))
	is.True(strings.Contains(g.metrics.String(), `"overload_refused_queue_long_total": 1`))
	r := refusalOf(res, &routing.Route{}, &routing.Table{}, false)
	is.Equal(r.Reason, refusals.DeadlineUnreachable)
	is.Equal(r.Detail, "12 requests are served before it, with 3.0 s of work; 2.0 s of work per second are left for them, so that it would begin in 1500 ms and has 400 ms")
}
