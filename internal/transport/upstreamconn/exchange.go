package upstreamconn

import (
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
)

var (
	errOtherRequest   = errors.New("the answer names another request")
	errUnnamedSuccess = errors.New("the answer is a success that does not name the request")
	errAmbiguous      = errors.New("the answer names no request, and may belong to an earlier health check of the connection")
)

// unnamedLifetime is how long after its first response without a request id a connection is used. Limits that such responses state count as
// stated at any time since then, so that a longer use would delay the end of a limit.
const unnamedLifetime = 5 * time.Second

// origin says where a response can have come from.
type origin struct {
	sentAt   time.Time // the earliest time at which the upstream can have made the response
	keepConn bool      // the connection may carry further requests
}

// attribute checks that a response belongs to the request that was sent at sentAt on the connection. An upstream may send a second copy of an
// earlier response when the next one is due; the request id tells them apart. If responses may lack the id, a copy without one is taken
// for a response only to a later exchange of the same connection, which therefore gives it no meaning.
func (p *Pool) attribute(cn *conn, c *executor.Call, resp *http.Response, sentAt time.Time) (origin, error) {
	named := false
	for _, id := range resp.Header[p.cfg.Dialect.RequestID] {
		if id != "" && id != c.RequestID {
			return origin{}, errOtherRequest
		}
		named = named || id != ""
	}
	if named || !p.cfg.Dialect.EchoesID {
		return origin{sentAt, true}, nil
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case success && !c.HealthCheck:
		return origin{}, errUnnamedSuccess
	case cn.unnamedSince.IsZero():
		cn.unnamedSince = sentAt
	case !success || !c.HealthCheck:
		return origin{}, errAmbiguous
	}
	// The copy of a rejection would say "not run" of a later request. The copy of a successful health check only reports an older load.
	return origin{cn.unnamedSince, success}, nil
}

// unnamedExpired reports whether the connection has carried a response without a request id and is not to be used any more.
func (c *conn) unnamedExpired(now time.Time) bool {
	return !c.unnamedSince.IsZero() && now.Sub(c.unnamedSince) > unnamedLifetime
}

// chooseIdle returns the index of the connection that the request uses, or -1 if it must use none of them. Connections are ordered by the time
// since when they have been idle. A request that is not idempotent uses no connection on which a response lacked the request id, others
// prefer the rest, and health checks use them first, so that they leave the rest to requests.
func chooseIdle(list []*conn, c *executor.Call) int {
	unsuited := -1
	for i := range list {
		if !c.UseOldestConnection {
			i = len(list) - 1 - i
		}
		unnamed := !list[i].unnamedSince.IsZero()
		if unnamed == c.HealthCheck {
			return i
		}
		if unsuited < 0 && (c.HealthCheck || c.Idempotent) {
			unsuited = i
		}
	}
	return unsuited
}

// withID returns the request with an id, and whether this host has given it one because it had none.
func (p *Pool) withID(c *executor.Call) (*executor.Call, bool) {
	if c.RequestID != "" || c.HealthCheck || !p.cfg.Dialect.EchoesID {
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
