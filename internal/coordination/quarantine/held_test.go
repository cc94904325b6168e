package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestEndsWithoutAnyAnswer guards against a request that is never stopped because all endpoints of its service have ended under it, and against requests
// that are condemned because their host has lost its own way to all endpoints.
func TestEndsWithoutAnyAnswer(t *testing.T) {
	names := []string{"e1", "e2", "e3"}
	for _, c := range []struct {
		name  string
		after func(g *Guard, id endpoints.ID)
		wants []string
	}{
		{"next processes are listed", func(g *Guard, id endpoints.ID) {
			g.Listed(endpoints.ID{Address: id.Address, Incarnation: "next"}, time.Now())
		}, []string{"a"}},
		{"the same processes are listed", func(g *Guard, id endpoints.ID) { g.Listed(id, time.Now()) }, nil},
		{"the same processes answer, later ones are listed", func(g *Guard, id endpoints.ID) {
			g.Answered(id, time.Now().Add(-time.Minute), time.Now())
			g.Listed(endpoints.ID{Address: id.Address, Incarnation: "next"}, time.Now())
		}, nil},
		{"next processes are listed late", func(g *Guard, id endpoints.ID) {
			time.Sleep(heldTime)
			g.Listed(endpoints.ID{Address: id.Address, Incarnation: "next"}, time.Now())
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGuard()
				g.cfg.OthersAnswer = func(context.Context, endpoints.Endpoint) bool { return false }
				for _, name := range names {
					g.broke(name, "a")
				}
				is.Equal(len(g.quarantined("a")), 0)
				time.Sleep(time.Second)
				for _, name := range names {
					c.after(g, endpoint(name))
				}
				is.Equal(g.quarantined("a"), c.wants)
				time.Sleep(heldTime)
				g.Evict(time.Now())
				is.Equal(len(g.held), 0)
			})
		})
	}
}
