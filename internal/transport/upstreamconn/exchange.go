package upstreamconn

import (
	"crypto/rand"
	"errors"
	"hash/maphash"
	"net/http"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
)

var (
	errOtherRequest = errors.New("the answer names another request")
	errUnnamed      = errors.New("the answer does not name the request")
	errAmbiguous    = errors.New("the answer names no request, and may belong to an earlier exchange of the connection")
)

// maxLateCopies is the number of second copies that a connection may have ahead of a response without a request id. The response is then that to
// the exchange as many before. More of them would be bytes that arrive while no response is due, which end the connection.
const maxLateCopies = 4

// maxRequests is the number of requests after which a connection is closed. It bounds what is kept of their ids, in 4 bytes each.
const maxRequests = 1024

// origin says where a response can have come from.
type origin struct {
	sentAt   time.Time // the earliest time at which the upstream can have made the response
	keepConn bool      // the connection may carry further requests
	named    bool      // the response carries the request's id
}

// attribute checks that a response belongs to the request that was sent at sentAt on the connection, which has carried no other with its id. An upstream may send a second copy of an
// earlier response when the next one is due; the request id tells them apart. A response without the id is accepted only if no earlier response
// of the connection lacked it, and if it is one to a health check or the dialect allows it. Where some responses of a connection carry ids, all
// successes must. Send takes no response without the id for a refusal.
func (p *Pool) attribute(cn *conn, c *executor.Call, resp *http.Response, sentAt time.Time) (origin, error) {
	named := false
	for _, id := range resp.Header[p.cfg.Dialect.RequestID] {
		if id != "" && id != c.RequestID {
			return origin{}, errOtherRequest
		}
		named = named || id != ""
	}
	if named {
		cn.named = true
		return origin{sentAt, true, true}, nil
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case c.HealthCheck && success:
	case len(cn.unnamed) > 0:
		return origin{}, errAmbiguous
	case c.HealthCheck:
	case success && cn.named, p.cfg.Dialect.EchoesID && (success || !p.cfg.Dialect.SingleResponses):
		return origin{}, errUnnamed
	}
	cn.unnamed = append(cn.unnamed, sentAt)
	if len(cn.unnamed) > maxLateCopies {
		cn.unnamed = slices.Delete(cn.unnamed, 0, 1)
	}
	// A copy of the response could count for a later request. The copy of a successful health check only reports an older load.
	return origin{cn.unnamed[0], c.HealthCheck && success, false}, nil
}

// suits reports whether a request may use the idle connection. If the connection has carried a request with the same id, for example an earlier try of the
// same caller, a copy of that one's response could not be told from the response. Where upstreams may leave out the id in any response, one without it
// that arrives after another one cannot be attributed.
func (p *Pool) suits(cn *conn, c *executor.Call) bool {
	return c.HealthCheck || (p.cfg.Dialect.EchoesID || len(cn.unnamed) == 0) && !slices.Contains(cn.sent, hashID(c.RequestID))
}

// recordSent records that the connection carries a request. The ids of health checks are never used again.
func (cn *conn) recordSent(c *executor.Call) {
	if !c.HealthCheck {
		cn.sent = append(cn.sent, hashID(c.RequestID))
	}
}

// hashID returns a hash of a request id. Two ids with the same hash cost a connection at most.
func hashID(id string) uint32 { return uint32(maphash.String(shardSeed, id)) }

// chooseIdle returns the index of the connection that the request uses, or -1 if none that suits it is idle. Connections are ordered by the time since when they
// have been idle. Requests prefer those on which each response carried its id, since a late copy of a health response costs a request that waits for
// its response. Health checks prefer the others, so that they leave the rest to requests.
func (p *Pool) chooseIdle(list []*conn, c *executor.Call) int {
	second := -1
	for i := range list {
		if !c.UseOldestConnection {
			i = len(list) - 1 - i
		}
		if !p.suits(list[i], c) {
			continue
		}
		if unnamed := len(list[i].unnamed) > 0; unnamed == c.HealthCheck {
			return i
		}
		if second < 0 {
			second = i
		}
	}
	return second
}

// withID returns the request with an id, and whether this host has given it one because it had none.
func (p *Pool) withID(c *executor.Call) (*executor.Call, bool) {
	if c.RequestID != "" || c.HealthCheck {
		return c, false
	}
	named := *c
	named.RequestID = p.newID()
	return &named, true
}

// probeID returns the request id of a load probe, or "" if load probes carry none.
func (p *Pool) probeID() string {
	if !p.cfg.Dialect.HealthCheckIDs {
		return ""
	}
	return p.newID()
}

// newID returns a new request id.
func (p *Pool) newID() string {
	if p.cfg.Host != "" {
		return p.cfg.Host + "-" + rand.Text()
	}
	return rand.Text()
}
