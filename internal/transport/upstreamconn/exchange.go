package upstreamconn

import (
	"crypto/rand"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
)

var (
	errOtherRequest   = errors.New("the answer names another request")
	errUnnamedSuccess = errors.New("the answer is a success that does not name the request")
	errAmbiguous      = errors.New("the answer names no request, and may belong to an earlier health check of the connection")
)

// maxLateCopies is the number of second copies that a connection may have ahead of a response without a request id. The response is then that to
// the exchange as many before. More of them would be bytes that arrive while no response is due, which end the connection.
const maxLateCopies = 4

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
	case len(cn.unnamed) > 0 && (!success || !c.HealthCheck):
		return origin{}, errAmbiguous
	}
	cn.unnamed = append(cn.unnamed, sentAt)
	if len(cn.unnamed) > maxLateCopies {
		cn.unnamed = slices.Delete(cn.unnamed, 0, 1)
	}
	// The copy of a rejection would say "not run" of a later request. The copy of a successful health check only reports an older load.
	return origin{cn.unnamed[0], success}, nil
}

// chooseIdle returns the index of the connection that the request uses, or -1 if none is idle. Connections are ordered by the time since when they
// have been idle. Requests prefer those on which each response carried its id, since a late copy of a health response costs a request that waits for
// its response. Health checks prefer the others, so that they leave the rest to requests.
func chooseIdle(list []*conn, c *executor.Call) int {
	unsuited := -1
	for i := range list {
		if !c.UseOldestConnection {
			i = len(list) - 1 - i
		}
		if unnamed := len(list[i].unnamed) > 0; unnamed == c.HealthCheck {
			return i
		}
		if unsuited < 0 {
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
