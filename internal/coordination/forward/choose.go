package forward

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// choose asks endpoints for their load, a few at a time, until one is good enough.
func (r *run) choose(ctx context.Context) (placement.View, time.Duration, bool) {
	now := time.Now()
	list := r.f.cfg.Endpoints().Services[r.c.Service.Name]
	r.result.Candidates = len(list)
	board := r.f.cfg.Board
	cfg := board.Config()
	views := board.Views(list, now)
	avoid := func(id endpoints.ID) bool { return slices.Contains(r.tried, id) }
	if r.c.Service.HealthPath == "" || board.Silent(r.c.Service.Name, now) {
		return r.withoutAsking(cfg, views, avoid)
	}
	var answered []int
	for _, round := range cfg.Rounds(views, avoid, r.f.cfg.Random) {
		answered = append(answered, r.ask(ctx, views, round)...)
		best, expected := cfg.Best(views, answered, r.work)
		if best >= 0 && (cfg.Good(expected, r.work) || ctx.Err() != nil) {
			return views[best], expected, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if best, expected := cfg.Best(views, answered, r.work); best >= 0 {
		return views[best], expected, true
	}
	return placement.View{}, 0, false
}

// withoutAsking takes the better of two random endpoints by what this host knows of them (Mitzenmacher 2001).
func (r *run) withoutAsking(cfg *placement.Config, views []placement.View, avoid func(endpoints.ID) bool) (placement.View, time.Duration, bool) {
	rounds := cfg.Rounds(views, avoid, r.f.cfg.Random)
	if len(rounds) == 0 {
		return placement.View{}, 0, false
	}
	candidates := slices.Concat(rounds...)
	best, expected := cfg.Best(views, candidates[:min(2, len(candidates))], r.work)
	return views[best], expected, true
}

type askResult struct {
	index int
	load  placement.Load
	err   error
}

// ask asks the endpoints of one round at once and returns those that answered, with their views updated. Once an endpoint that is
// good enough has answered, it waits only a little for the others.
func (r *run) ask(ctx context.Context, views []placement.View, round []int) []int {
	results := make(chan askResult, len(round))
	for _, i := range round {
		go func(e registry.Endpoint) {
			load, err := r.f.askOne(e, r.c.Service.HealthPath)
			results <- askResult{i, load, err}
		}(views[i].Endpoint)
	}
	r.result.Asked += len(round)
	cfg := r.f.cfg.Board.Config()
	var answered []int
	var enough <-chan time.Time
	for range round {
		select {
		case got := <-results:
			if got.err != nil {
				r.result.Unanswered++
				continue
			}
			v := &views[got.index]
			v.Load, v.LoadAge = got.load, 0
			answered = append(answered, got.index)
			if enough == nil && cfg.Good(cfg.Expected(v, r.work), r.work) {
				enough = time.After(enoughWait)
			}
		case <-enough:
			return answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// askOne asks one endpoint and notes the answer. It runs to its end even if nobody waits any more, because cutting it off would cost
// its connection.
func (f *Forwarder) askOne(e registry.Endpoint, path string) (placement.Load, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	load, err := f.cfg.Asker.Ask(ctx, e.Endpoint, path)
	now := time.Now()
	if err != nil {
		f.cfg.Board.Unreachable(e.ID, now)
		return load, err
	}
	f.cfg.Board.Reported(e.Endpoint, load, now)
	return load, nil
}
