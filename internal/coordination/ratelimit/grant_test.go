package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// TestGrantWithoutNumber guards against a panic at a grant that answers no request, as a damaged message or a foreign sender may state it, while this host
// awaits none.
func TestGrantWithoutNumber(t *testing.T) {
	is := is.New(t)
	now, id := time.Now(), endpoints.ID{Address: "127.0.0.1:1", Incarnation: "i"}
	l := New(Config{Limits: ratelimits.NewTable(), Hosts: func() int { return 2 }})
	l.stocks[id] = &stock{}
	g := Grant{ID: id, Permits: 1, Statement: unknownStatement(id)}
	is.NoErr(g.Check())
	l.HandleGrant(g, Sender{Name: "b"}, now)
	is.Equal(l.stocks[id].valid(now), 0)
}
