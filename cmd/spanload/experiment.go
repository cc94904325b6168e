package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/host"
	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

func experimentCommand() *cli.Command {
	return &cli.Command{Name: "experiment", Usage: "compare dispatch policies on the same arrivals and work times",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: []string{"random", "leastoutstanding", "twochoices", "prequal", "loadreport", "loadexchange", "queue"},
				Usage: "dispatch `POLICY`, or a variant of it as POLICY:OPTION=VALUE, for example queue:prefetch=2"},
			&cli.StringSliceFlag{Name: "shape", Value: []string{"trentvale", "shannon"}},
			&cli.IntSliceFlag{Name: "load", Value: []int{50, 70, 85, 95, 150}, Usage: "percent of capacity in the scenario calm"},
			&cli.IntFlag{Name: "event-load", Value: 85, Usage: "percent of capacity in the other scenarios"},
			&cli.StringSliceFlag{Name: "scenario", Value: []string{"calm", "noisy", "slowdown", "fastfail", "kill", "freeze"}},
			&cli.IntFlag{Name: "rounds", Value: 1, Usage: "runs of each cell, each with arrivals of its own"},
			&cli.IntFlag{Name: "hosts", Value: 3},
			&cli.StringFlag{Name: "callers", Value: callersSteered, Usage: "steered: callers prefer the host in charge, as hosts tell them; spread: callers use all hosts in turn"},
			&cli.IntFlag{Name: "split", Value: 1, Usage: "queues per service: run each service as this many services, which share its endpoints, and report them as one"},
			&cli.BoolFlag{Name: "zone-delay", Usage: "put all upstreams a zone away from all hosts; hosts of different zones always are from each other"},
			&cli.DurationFlag{Name: "caller-distance", Usage: "one-way delay between callers and hosts"},
			&cli.DurationFlag{Name: "length", Value: 2 * time.Second, Usage: "of a calm or noisy run"},
			&cli.DurationFlag{Name: "event-length", Value: 3500 * time.Millisecond, Usage: "of a run with an event"},
			&cli.DurationFlag{Name: "work", Value: 60 * time.Millisecond, Usage: "mean work time; a longer one lowers the rate that is a given part of capacity"},
			&cli.FloatFlag{Name: "sigma", Value: 0.5, Usage: "spread of the log-normal work time"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "`DIRECTORY` for the results"},
			&cli.StringFlag{Name: "name", Value: "experiment", Usage: "`NAME` of the results: NAME.csv with every round, NAME-summary.csv over all rounds, and plots"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			variants, err := parseVariants(c.StringSlice("policy"))
			if err != nil {
				return err
			}
			e := &experiment{variants: variants, rounds: c.Int("rounds"), hosts: c.Int("hosts"), length: c.Duration("length"),
				callers: c.String("callers"), split: c.Int("split"), zoneDelay: c.Bool("zone-delay"),
				callerDistance: c.Duration("caller-distance"), eventLength: c.Duration("event-length"), work: c.Duration("work"), sigma: c.Float("sigma"), seed: c.Uint64("seed"),
				root: c.String("root"), out: c.String("out"), name: c.String("name")}
			if err := e.check(); err != nil {
				return err
			}
			if err := e.choose(c.StringSlice("shape"), c.StringSlice("scenario"), c.IntSlice("load"), c.Int("event-load")); err != nil {
				return err
			}
			return e.run(ctx)
		}}
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// Values of --callers.
const (
	callersSteered = "steered"
	callersSpread  = "spread"
)

// The warm-up sends 35 requests to each endpoint of Trentvale's on average, and more to each of Shannon's, at a work time of
// 60 ms.
const (
	warmUpLoad   = 70 // percent of capacity
	warmUpLength = 1500 * time.Millisecond
)

// maxDaemons keeps an experiment, whose variants run side by side, below a few hundred processes.
const maxDaemons = 120

// maxSplit leaves each part of the smallest service 2 endpoints.
const maxSplit = 5

// maxCallerDistance leaves 800 ms of the shortest deadline of the examples, 1 s, to the hosts.
const maxCallerDistance = 100 * time.Millisecond

// settle is the pause between runs, in which connections and queues of the last run empty.
const settle = 200 * time.Millisecond

// cell is one point of comparison.
type cell struct {
	scenario scenario
	load     int // percent of capacity
}

type experiment struct {
	shapes          []string
	variants        []variant
	cells           []cell
	rounds          int
	hosts           int
	callers         string
	split           int // queues per service
	zoneDelay       bool
	callerDistance  time.Duration
	length          time.Duration
	eventLength     time.Duration
	work            time.Duration
	sigma           float64
	seed            uint64
	root, out, name string
	commit          string // from which the programs were built
	bin             map[string]string
	dir             string
	rows            []row
}

// row is one line of the CSV: one class of one run. policy is the name of a variant; policy "bound" is the dispatcher with perfect knowledge.
type row struct {
	shape, scenario, policy string
	load, round             int
	m                       load.Measures
	length                  time.Duration
	run                     runCost
}

// boundPolicy names the dispatcher with perfect knowledge in the results.
const boundPolicy = "bound"

// runCost is what one run cost, and how it recovered.
type runCost struct {
	valid     bool    // false for the reference, which costs nothing
	lateP99MS float64 // how late the generator was; a large figure makes the run worthless
	measuring int64   // requests to upstreams that only measured
	arrivals  int64   // all other requests to upstreams
	cores     float64 // processor time per host and second
	control   float64 // bytes between hosts, per host and second; -1 if unknown
	recovery  time.Duration
	recovered bool
	hasEvent  bool
}

// check refuses values before anything is built or started.
func (e *experiment) check() error {
	switch {
	case e.rounds < 1:
		return fmt.Errorf("--rounds is %d: use at least 1", e.rounds)
	case e.hosts < 1 || e.hosts*len(e.variants) > maxDaemons:
		return fmt.Errorf("--hosts is %d with %d policies: use at least 1 host and at most %d daemons in all", e.hosts, len(e.variants), maxDaemons)
	case e.callers != callersSteered && e.callers != callersSpread:
		return fmt.Errorf("--callers is %q: use %s or %s", e.callers, callersSteered, callersSpread)
	case e.split < 1 || e.split > maxSplit:
		return fmt.Errorf("--split is %d: use 1 to %d", e.split, maxSplit)
	case e.callerDistance < 0 || e.callerDistance > maxCallerDistance:
		return fmt.Errorf("--caller-distance is %s: use 0 to %s", e.callerDistance, maxCallerDistance)
	case !namePattern.MatchString(e.name):
		return fmt.Errorf("--name is %q: use a-z, 0-9 and '-', starting with a letter", e.name)
	}
	return nil
}

// choose fills in shapes and cells.
func (e *experiment) choose(shapes, names []string, loads []int, eventLoad int) error {
	for _, s := range shapes {
		if _, ok := testbed.Shapes[s]; !ok {
			return fmt.Errorf("--shape is %q: use trentvale or shannon", s)
		}
	}
	e.shapes = shapes
	for _, name := range names {
		s, ok := scenarios[name]
		switch {
		case !ok:
			return fmt.Errorf("--scenario is %q: use calm, noisy, slowdown, fastfail, kill or freeze", name)
		case name == "calm":
			for _, l := range loads {
				e.cells = append(e.cells, cell{s, l})
			}
		default:
			e.cells = append(e.cells, cell{s, eventLoad})
		}
	}
	return nil
}

func (e *experiment) run(ctx context.Context) (err error) {
	if e.bin, err = build(e.root); err != nil {
		return err
	}
	e.commit = commitOf(e.root)
	if e.dir, err = os.MkdirTemp("", "spanload-experiment-"); err != nil {
		return err
	}
	defer os.RemoveAll(e.dir)
	for _, shape := range e.shapes {
		if err := e.runShape(ctx, shape); err != nil {
			return err
		}
	}
	return e.write()
}

// runShape starts one deployment per policy and runs each cell with all policies in turn, so that a change of the machine
// between runs meets all policies alike.
func (e *experiment) runShape(ctx context.Context, shape string) error {
	deployments := map[string]*testbed.Deployment{}
	defer func() {
		for _, d := range deployments {
			d.Kill()
		}
	}()
	ops, err := operations(testbed.Example(e.root, shape), shape)
	if err != nil {
		return err
	}
	for _, v := range e.variants {
		dep, err := e.start(ctx, shape, v)
		if err != nil {
			return fmt.Errorf("start %s %s: %w", shape, v.name, err)
		}
		deployments[v.name] = dep
		if err := e.warmUp(ctx, shape, ops, dep); err != nil {
			return fmt.Errorf("warm up %s %s: %w", shape, v.name, err)
		}
	}
	for round := range e.rounds {
		for _, c := range e.cells {
			if err := e.runCell(ctx, shape, round, c, ops, deployments); err != nil {
				return fmt.Errorf("%s %s %d%%: %w", shape, c.scenario.name, c.load, err)
			}
		}
	}
	return nil
}

// warmUp runs load whose results are not kept, because endpoints count as cold for their first 20 responses and get no prefetch.
func (e *experiment) warmUp(ctx context.Context, shape string, ops []load.Operation, dep *testbed.Deployment) error {
	c := cell{scenarios["calm"], warmUpLoad}
	plan := e.plan(shape+"-warm-up", shape, 0, c, ops, warmUpLength)
	_, _, err := e.runOnce(ctx, dep, c, splitRequests(e.seed, plan, testbed.Shapes[shape], e.split), warmUpLength)
	return err
}

func (e *experiment) start(ctx context.Context, shape string, v variant) (*testbed.Deployment, error) {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	dir := filepath.Join(e.dir, shape+"-"+v.name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	path, err := e.writeContract(dir, shape, v)
	if err != nil {
		return nil, err
	}
	d, err := testbed.StartDeployment(starting, testbed.DeploymentConfig{Shape: testbed.Shapes[shape], Hosts: e.hosts, Bin: e.bin, Dir: dir,
		Contract: path, Split: e.split, UpstreamDistance: e.upstreamDistance(shape), Work: e.work, Sigma: e.sigma, Seed: e.seed, Settings: v.change, LogLevel: "error",
		AddressLifetimeMS: demoLifetimeMS})
	if err != nil {
		return nil, err
	}
	if err := d.AwaitMembers(starting); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

// writeContract writes the contract of a variant's deployment and returns its path.
func (e *experiment) writeContract(dir, shape string, v variant) (string, error) {
	c, err := readContract(testbed.Example(e.root, shape))
	if err != nil {
		return "", err
	}
	var settings host.Settings
	v.change(&settings)
	if err := experimentContract(c, testbed.Shapes[shape], e.split, settings.Prefetch()); err != nil {
		return "", err
	}
	return testbed.WriteJSON(dir, shape+".json", c)
}

func (e *experiment) runCell(ctx context.Context, shape string, round int, c cell, ops []load.Operation, deployments map[string]*testbed.Deployment) error {
	length := e.length
	if c.scenario.end(e.eventLength) > 0 {
		length = e.eventLength
	}
	name := fmt.Sprintf("%s-%s-%d-%d", shape, c.scenario.name, c.load, round)
	plan := e.plan(name, shape, round, c, ops, length)
	sent := splitRequests(e.seed+uint64(round), plan, testbed.Shapes[shape], e.split)
	for i, v := range e.variants {
		dep := deployments[v.name]
		if i == 0 {
			bound := load.BoundResults(plan, c.scenario.bound(dep, plan, length), 2*(e.callerDistance+e.upstreamDistance(shape)))
			e.add(shape, boundPolicy, round, c, length, load.Measure(plan, bound, length), runCost{})
		}
		results, cost, err := e.runOnce(ctx, dep, c, sent, length)
		if err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
		e.add(shape, v.name, round, c, length, load.Measure(plan, results, length), cost)
	}
	return nil
}

// plan draws arrivals for each service at the load, in part of that service's capacity.
func (e *experiment) plan(name, shape string, round int, c cell, ops []load.Operation, length time.Duration) []load.Request {
	var plans [][]load.Request
	for i, s := range testbed.Shapes[shape].Services {
		var mine []load.Operation
		for _, op := range ops {
			if op.Service == s.Name {
				mine = append(mine, op)
			}
		}
		rate := s.Capacity(e.work) * float64(c.load) / 100
		plans = append(plans, load.Plan(e.seed+uint64(round*len(testbed.Shapes[shape].Services)+i), name+"-"+s.Name, mine, rate, length))
	}
	return load.Merge(plans...)
}

// runOnce runs a plan against a deployment and restores the deployment.
func (e *experiment) runOnce(ctx context.Context, dep *testbed.Deployment, c cell, plan []load.Request, length time.Duration) ([]load.Result, runCost, error) {
	callers, err := e.newCallers(ctx, dep, c.scenario)
	if err != nil {
		return nil, runCost{}, err
	}
	defer callers.close()
	before, err := readCounters(ctx, dep)
	if err != nil {
		return nil, runCost{}, err
	}
	if err := setAll(ctx, dep, standin.Faults{Noise: c.scenario.noise}, false); err != nil {
		return nil, runCost{}, err
	}
	played := make(chan error, 1)
	go func() { played <- c.scenario.play(ctx, dep, length) }()
	results := load.Run(ctx, plan, maxInFlight, callers.send)
	if err := errors.Join(<-played, ctx.Err()); err != nil {
		return nil, runCost{}, err
	}
	if err := dep.AwaitIdle(ctx); err != nil {
		return nil, runCost{}, err
	}
	after, err := readCounters(ctx, dep)
	if err != nil {
		return nil, runCost{}, err
	}
	cost := after.since(before, length, len(dep.Hosts))
	cost.valid = true
	var late []time.Duration
	for _, r := range results {
		late = append(late, r.Late)
	}
	cost.lateP99MS = load.Summarize(late).P99
	if end := c.scenario.end(length); end > 0 {
		cost.hasEvent = true
		cost.recovery, cost.recovered = load.Recovery(plan, results, part(length, eventStart), end, length)
	}
	return results, cost, e.restore(ctx, dep)
}

// upstreamDistance returns the one-way delay between hosts and upstreams.
func (e *experiment) upstreamDistance(shape string) time.Duration {
	if e.zoneDelay {
		return testbed.Shapes[shape].ZoneDelay
	}
	return 0
}

func (e *experiment) newCallers(ctx context.Context, dep *testbed.Deployment, s scenario) (c *callers, err error) {
	if e.callers == callersSpread {
		c, err = newSpreadCallers(ctx, dep, s.attemptTimeout())
	} else {
		c, err = newCallers(demoCallers, dep.Config.Shape.Customer, dep.Callers(), s.attemptTimeout())
	}
	if err != nil {
		return nil, err
	}
	c.distance = e.callerDistance
	return c, nil
}

// restore clears faults and starts hosts that were killed.
func (e *experiment) restore(ctx context.Context, dep *testbed.Deployment) error {
	if err := setAll(ctx, dep, standin.Faults{}, false); err != nil {
		return err
	}
	for _, h := range dep.Hosts {
		if h.Process.Ended() {
			if err := dep.StartHost(h); err != nil {
				return err
			}
		}
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := errors.Join(dep.AwaitRevision(starting), dep.AwaitMembers(starting)); err != nil {
		return err
	}
	return wait(ctx, settle)
}
