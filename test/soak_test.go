package test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/soak"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// TestSoak runs seeds of the randomized fault test of package soak with entry hosts as processes. The checks with time limits run
// only under make soak.
func TestSoak(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.NoErr(err)
	for _, seed := range []uint64{3980} { // draws faults of all kinds of parts
		is.NoErr(soak.Run(t.Context(), soak.Config{Seed: seed, Hosts: 5, Length: 24 * time.Second, Program: bin["arbutusspan"], Dir: t.TempDir(), Out: t.Output()}))
	}
}

// TestSoakPlannedStops guards against requests that a host passed on to an endpoint and that end without a response around its planned
// stop, in particular those of callers that send further requests before earlier ones are answered.
func TestSoakPlannedStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.NoErr(err)
	is.NoErr(soak.Run(t.Context(), soak.Config{Seed: 1, Hosts: 3, Length: 4 * time.Second, Only: []string{"overlapping-stops"}, Program: bin["arbutusspan"], Dir: t.TempDir(), Out: t.Output()}))
}

// TestSoakRequestsThatEndEndpoints guards against proper requests that are refused for the ends of endpoints beside them, while endpoints also end
// for other reasons, limit their requests, and hosts are killed.
func TestSoakRequestsThatEndEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.NoErr(err)
	is.NoErr(soak.Run(t.Context(), soak.Config{Seed: 4, Hosts: 3, Length: 8 * time.Second, Only: []string{"crashing-request", "endpoint-limits", "endpoint-killed", "kill"},
		Program: bin["arbutusspan"], Dir: t.TempDir(), Out: t.Output()}))
}

// TestSoakCopiedRejections guards against a rejection that an endpoint sends once more, before the response to a request that it runs, and that is taken for the
// rejection of this request.
func TestSoakCopiedRejections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.NoErr(err)
	is.NoErr(soak.Run(t.Context(), soak.Config{Seed: 9201, Hosts: 3, Length: 14 * time.Second, Only: []string{"rejection-copies"}, Program: bin["arbutusspan"], Dir: t.TempDir(), Out: t.Output()}))
}
