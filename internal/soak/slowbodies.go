package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

const (
	slowSenders   = 8   // callers that send slow bodies at the same time
	slowPieces    = 20  // pieces of a slow body
	slowPieceSize = 500 // bytes
	// maxSlowShare is the greatest part of a request's time that its body takes.
	maxSlowShare = 0.9
	// slowCaller is the number of the first caller that sends slow bodies.
	slowCaller = 70_000
)

// sendSlowBodies stops hosts as planned while callers send requests whose bodies take most of the time that the requests have. Such a request may be
// refused, but not forwarded and then broken off.
func (s *soak) sendSlowBodies(ctx context.Context, rng *rand.Rand) {
	var senders, stops sync.WaitGroup
	calling, leave := context.WithCancel(ctx)
	for range slowSenders {
		c := newCaller(s, slowCaller+int(s.serial.next()))
		senders.Go(func() {
			for calling.Err() == nil {
				if conn := c.connect(calling); conn != nil {
					conn.sendSlowly(calling)
					conn.Close()
				} else {
					pause(calling, thinkTime)
				}
			}
		})
	}
	pause(ctx, thinkTime)
	stops.Go(func() { s.overlappingStops(ctx, rng) })
	stops.Wait()
	leave()
	senders.Wait()
}

// sendSlowly sends one request with a slow body and reads its response.
func (c *connection) sendSlowly(ctx context.Context) {
	rng := c.caller.rng
	routes := c.caller.soak.configs.newestRoutes()
	route := routes[slices.IndexFunc(routes, func(r routing.Route) bool { return r.Name == longRoute })]
	if rng.IntN(3) == 0 {
		route = routes[rng.IntN(4)] // the first ones are never dropped
	}
	r := c.caller.request(c, route)
	r.method, r.sent = http.MethodPost, time.Now()
	piece := bytes.Repeat([]byte{byte('a' + rng.IntN(26))}, slowPieceSize)
	sum := sha256.Sum256(bytes.Repeat(piece, slowPieces))
	r.digest = hex.EncodeToString(sum[:])
	interval := time.Duration(rng.Float64() * maxSlowShare * float64(r.deadline) / slowPieces)
	err := c.send(fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", r.method, r.target, virtualHost,
		platformtest.HeaderRequestID, r.id, platformtest.HeaderDeadlineMS, r.deadline.Milliseconds(), slowPieces*slowPieceSize))
	for n := 0; n < slowPieces && err == nil; n++ {
		pause(context.WithoutCancel(ctx), interval)
		err = c.send(piece)
	}
	r.bodySent, r.unsent = time.Now(), err != nil
	c.receive(r)
	c.caller.soak.requests.add(r)
}
