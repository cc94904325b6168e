package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

const (
	// crashPrefix begins the second part of the path of a request that ends the endpoint which runs it.
	crashPrefix = "crash-"
	// crashSameID follows crashPrefix if the endpoint comes back under the id that it had.
	crashSameID = "same-id-"
	// crashRestartTime is the time after which an endpoint that ended under a request is back.
	crashRestartTime = time.Second
	// crashingCaller is the number of the first caller that sends such requests.
	crashingCaller = 50_000
)

// Bounds of the checks of requests that end endpoints.
const (
	crashSettleTime   = 3 * time.Second // from the third endpoint that a request has ended until it may reach few more
	maxAfterCrashes   = 3               // endpoints that it may reach then
	maxWrongRefusals  = 5               // proper requests that may be refused in a run, beside one in wrongRefusalShare
	wrongRefusalShare = 1.0 / 500
)

// crashes reports whether a request ends the endpoint that runs it.
func crashes(target string) bool {
	parts := strings.SplitN(target, "/", 3)
	return len(parts) == 3 && strings.HasPrefix(parts[2], crashPrefix)
}

// sendCrashingRequest sends a request that ends the endpoints which run it again and again, with new ids and at any host. In half of the cases it
// comes from several callers, with changing queries.
func (s *soak) sendCrashingRequest(ctx context.Context, rng *rand.Rand) {
	s.sendCrashing(ctx, rng, fmt.Sprint(crashPrefix, s.serial.next()))
}

// sendCrashingRequestToSameIDs is sendCrashingRequest with endpoints that come back under the ids that they had.
func (s *soak) sendCrashingRequestToSameIDs(ctx context.Context, rng *rand.Rand) {
	s.sendCrashing(ctx, rng, fmt.Sprint(crashPrefix, crashSameID, s.serial.next()))
}

func (s *soak) sendCrashing(ctx context.Context, rng *rand.Rand, name string) {
	defer s.timeline.begin(scopeEndpoints)()
	vary := rng.IntN(2) == 0
	routes := s.configs.newestRoutes()
	route := routes[rng.IntN(4)] // the first ones are never dropped
	var callers []*caller
	for range 1 + rng.IntN(3) {
		callers = append(callers, newCaller(s, crashingCaller+int(s.serial.next())))
	}
	for end := time.Now().Add(2*crashSettleTime + randomDuration(rng)); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, randomDuration(rng)/4) {
		c := callers[rng.IntN(len(callers))]
		conn := c.connect(ctx)
		if conn == nil {
			continue
		}
		r := c.request(conn, route)
		r.target = fmt.Sprintf("/%s/%s", route.Name, name)
		if vary {
			r.target += fmt.Sprint("?n=", rng.IntN(1000))
		}
		conn.exchange([]*request{r})
		conn.Close()
	}
	pause(ctx, 2*crashRestartTime)
}

// restartCrashed starts the next process of an endpoint that has ended under a request, unless a fault has done so.
func (s *soak) restartCrashed(e *endpoint, a platformtest.Arrival) {
	s.requests.endpointKilled(a.Endpoint)
	time.Sleep(crashRestartTime)
	e.processMu.Lock()
	defer e.processMu.Unlock()
	if !e.Running() {
		id := a.Endpoint
		if !strings.Contains(a.Target, crashPrefix+crashSameID) {
			id = s.nextID()
		}
		s.restartEndpoint(e, id, 0)
	}
}

// auditCrashes checks that requests that end endpoints are stopped.
func (s *soak) auditCrashes(sent map[string]*request) {
	runs := map[string][]arrival{}
	for _, a := range s.requests.arrivals {
		if r := sent[a.ID]; r != nil && a.Ran && crashes(a.Target) {
			path, _, _ := strings.Cut(a.Target, "?")
			runs[path] = append(runs[path], arrival{request: r, at: a})
		}
	}
	for path, list := range runs {
		slices.SortFunc(list, func(a, b arrival) int { return a.at.At.Compare(b.at.At) })
		late := 0
		for _, a := range list {
			if len(list) >= 3 && a.at.At.After(list[2].at.At.Add(crashSettleTime)) && s.timeline.undisturbed(a.host.scope(), a.sent, a.at.At) {
				late++
			}
		}
		s.ledger.Check(crashesStopped, late <= maxAfterCrashes, "%s ran %d times, %d of them more than %s after the third", path, len(list), late, crashSettleTime)
	}
}

// auditQuarantine checks that few proper requests are refused as ones that end endpoints.
func (s *soak) auditQuarantine(sent map[string]*request, logs map[*host]string) {
	wrong, refused := 0, ""
	for _, log := range logs {
		for line := range strings.Lines(log) {
			_, rest, found := strings.Cut(line, " id=")
			if id, _, _ := strings.Cut(rest, " "); found && strings.Contains(line, "outcome=refused_quarantined") && sent[id] != nil && !crashes(sent[id].target) {
				wrong++
				refused = sent[id].String() + " " + sent[id].target
			}
		}
	}
	s.ledger.Check(properNotQuarantined, float64(wrong) <= maxWrongRefusals+wrongRefusalShare*float64(len(s.requests.list)), "%d of %d proper requests were refused for ending endpoints, the last one %s", wrong, len(s.requests.list), refused)
}
