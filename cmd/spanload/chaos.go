package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/client"
	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

func chaosCommand() *cli.Command {
	return &cli.Command{Name: "chaos", Usage: "check the guarantees on a deployment under load while parts of it fail",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "of the schedule and the load; 0 draws one"},
			&cli.DurationFlag{Name: "duration", Value: 225 * time.Second, Usage: "after which no further step begins"},
			&cli.StringSliceFlag{Name: "only", Usage: "`STEPS` to run: " + strings.Join(stepNames(), ", ")},
			&cli.StringFlag{Name: "customer", Usage: "trentvale or shannon; empty lets the seed decide"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			seed := cmp.Or(c.Uint64("seed"), rand.Uint64N(1_000_000)+1)
			customer := cmp.Or(c.String("customer"), []string{"trentvale", "shannon"}[seed%2])
			if _, ok := testbed.Shapes[customer]; !ok {
				return fmt.Errorf("--customer is %q: use trentvale or shannon", customer)
			}
			for _, name := range c.StringSlice("only") {
				if !slices.Contains(stepNames(), name) {
					return fmt.Errorf("--only has %q: use %s", name, strings.Join(stepNames(), ", "))
				}
			}
			return runChaos(ctx, c.String("root"), customer, seed, c.Duration("duration"), c.StringSlice("only"))
		}}
}

const (
	chaosHosts = 5
	// chaosCapacity is the requests a second that the service with urgent requests can run. Twice of it is a load that a
	// busy machine can offer.
	chaosCapacity = 600
	chaosRate     = 200 // requests a second of the steady load
	// chaosHeadroom is how many times a service's capacity the contract allows, so that an overload reaches the queue.
	chaosHeadroom = 2.5
	chaosCallers  = 8
	// chaosBacklog holds what one owner grants beyond the slots. With two owners an endpoint sheds.
	chaosBacklog = 1
	// chaosTail bounds a step, so that the steady load outlasts the last one.
	chaosTail = 2 * time.Minute

	neighbour        = "harbour" // a second customer, on the shape's first service and on manifest
	neighbourRate    = 50.0
	neighbourBurst   = 10.0
	neighbourProbes  = 0.1
	manifest         = "manifest" // has only non-idempotent requests, so ejected endpoints need probes
	manifestSlots    = 4
	manifestRate     = 20
	manifestFirstRow = 101 // last part of the first endpoint's address
)

// loadRun is one plan with what became of it.
type loadRun struct {
	start   time.Time
	plan    []load.Request
	results []load.Result
}

// begun returns the requests that were started before the plan was ended.
func (r loadRun) begun() (plan []load.Request, results []load.Result) {
	for i, result := range r.results {
		if result.Reason != "not_started" {
			plan, results = append(plan, r.plan[i]), append(results, result)
		}
	}
	return plan, results
}

// chaos is one run.
type chaos struct {
	*testbed.Deployment
	ctx      context.Context
	seed     uint64
	rng      *rand.Rand
	customer string
	work     time.Duration // mean work time of requests
	dir      string
	bin      map[string]string
	began    time.Time
	ledger   *testbed.Ledger
	platform *testbed.Relay            // hosts reach the platform through it
	edges    map[string]*testbed.Relay // by the caller address behind them; only the step broken-callers uses them
	list     *hostList
	watch    *watch
	contract *contract.Contract
	harbour  *contract.Contract
	steady   *callers
	neighbor *callers

	spans    []stepSpan
	failing  []failingSpan
	edgeRuns []loadRun

	mu   sync.Mutex
	runs []loadRun
	// kept and keptArrivals are of upstream processes that have ended; arrivals by address.
	kept         []standin.Record
	keptArrivals map[string][]standin.Arrival
	serial       int
}

func runChaos(ctx context.Context, root, customer string, seed uint64, duration time.Duration, only []string) (err error) {
	bin, err := build(root)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "spanload-chaos-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Printf("chaos: seed %d, %s, %d hosts, load average %s\n", seed, customer, chaosHosts, testbed.LoadAverage())
	c := &chaos{ctx: ctx, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), customer: customer, dir: dir, bin: bin, ledger: testbed.NewLedger(os.Stdout, checkNames...),
		keptArrivals: map[string][]standin.Arrival{}}
	defer c.close()
	if err := c.start(root); err != nil {
		return err
	}
	stopLoad := c.startSteadyLoad(duration + chaosTail)
	stepErr := c.schedule(duration, only)
	if stepErr != nil {
		fmt.Println("chaos: a step failed:", stepErr)
	}
	stopLoad()
	if err := c.audit(); err != nil {
		return errors.Join(stepErr, err)
	}
	breaches := c.ledger.Print()
	fmt.Printf("chaos: seed %d, %s, %.0f s, load average %s\n", seed, customer, time.Since(c.began).Seconds(), testbed.LoadAverage())
	if breaches > 0 {
		return errors.Join(stepErr, fmt.Errorf("seed %d: %d breaches", seed, breaches))
	}
	return stepErr
}

func (c *chaos) close() {
	if c.watch != nil {
		c.watch.stop()
	}
	if c.list != nil {
		c.list.kill()
	}
	if c.Deployment != nil {
		c.Kill()
	}
	if c.platform != nil {
		c.platform.Close()
	}
	for _, relay := range c.edges {
		relay.Close()
	}
}

// start brings everything up: the deployment, a relay before the platform, the service manifest and both contracts.
func (c *chaos) start(root string) (err error) {
	ctx, cancel := context.WithTimeout(c.ctx, 2*startTimeout)
	defer cancel()
	path := testbed.Example(root, c.customer)
	if c.contract, err = readContract(path); err != nil {
		return err
	}
	shape := testbed.Shapes[c.customer]
	own := shape.Services
	shape.Services = append(slices.Clone(own), testbed.ServiceShape{Name: archive, Endpoints: archiveEndpoints, Slots: archiveSlots})
	urgent, _ := c.urgentOperations()
	for _, s := range shape.Services {
		if s.Name == urgent.Service {
			c.work = time.Duration(float64(time.Second) / chaosCapacity * float64(s.Endpoints*s.Slots))
		}
	}
	for i, s := range own {
		c.contract.Services[i].RatePerSecond = chaosHeadroom * s.Capacity(c.work)
		c.contract.Services[i].Burst = 0 // a tenth of a second of the rate
	}
	c.Deployment, err = testbed.StartDeployment(ctx, testbed.DeploymentConfig{Shape: shape, Hosts: chaosHosts, Bin: c.bin, Dir: c.dir,
		Work: c.work, Sigma: demoSigma, Seed: c.seed, Backlog: chaosBacklog, AddressLifetimeMS: demoLifetimeMS})
	if err != nil {
		return err
	}
	c.began = time.Now()
	if err := c.relayPlatform(); err != nil {
		return err
	}
	if err := c.relayCallers(); err != nil {
		return err
	}
	if c.list, err = newHostList(c); err != nil {
		return err
	}
	if err := testbed.Eventually(ctx, func() error { return c.list.put(ctx) }); err != nil {
		return err
	}
	c.watch = newWatch(c)
	for i := range c.Hosts {
		c.Hosts[i].Process.Kill() // it has the platform's own address in its settings
		if err := c.startHost(i); err != nil {
			return err
		}
	}
	c.harbour = neighbourContract(c.contract)
	for _, doc := range []*contract.Contract{c.contract, c.harbour} {
		if err := testbed.Eventually(ctx, func() error { return c.publish(ctx, c.Hosts[0], doc, 0) }); err != nil {
			return err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return fmt.Errorf("%w\n%s", err, c.Logs())
	}
	if err := c.failArchive(ctx); err != nil {
		return err
	}
	c.watch.start()
	if c.steady, err = newCallers(chaosCallers, c.customer, c.Callers(), 0); err != nil {
		return err
	}
	c.neighbor, err = newCallers(chaosCallers, neighbour, c.Callers(), 0)
	return err
}

func readContract(path string) (*contract.Contract, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return contract.Decode(data)
}

// neighbourContract gives the second customer a small part of the first service and all of manifest.
func neighbourContract(first *contract.Contract) *contract.Contract {
	shared := first.Services[0]
	shared.RatePerSecond, shared.Burst, shared.Concurrent = neighbourRate, neighbourBurst, 10
	own := contract.Service{Name: manifest, RatePerSecond: 200, Burst: 50, Concurrent: 20, RetryPercent: 10,
		Operations: []contract.Operation{{Name: "enter", Method: "POST", Path: "/entries", Class: contract.Normal, DeadlineMS: 1500}},
		Measuring:  contract.Measuring{ProbesPerSecondPerUpstream: neighbourProbes, EntryHostsMax: chaosHosts}}
	return &contract.Contract{Customer: neighbour, Credentials: first.Credentials, Services: []contract.Service{shared, own, archiveService()}}
}

// startSteadyLoad runs both customers' load within their contracts until the returned function is called.
func (c *chaos) startSteadyLoad(length time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	enter := []load.Operation{{Operation: c.harbour.Services[1].Operations[0], Customer: neighbour, Service: manifest, Weight: 1}}
	var wg sync.WaitGroup
	wg.Go(func() {
		c.runLoad(ctx, load.Plan(c.seed, "steady", load.Operations(c.contract, mixes[c.customer]), chaosRate, length), c.steady)
	})
	wg.Go(func() { c.runLoad(ctx, c.archiveLoad(length), c.neighbor) })
	wg.Go(func() { c.runLoad(ctx, load.Plan(c.seed+1, "enter", enter, manifestRate, length), c.neighbor) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// runLoad runs a plan and keeps it for the audit. Requests that were begun get their answers also after ctx ended.
func (c *chaos) runLoad(ctx context.Context, plan []load.Request, from *callers) loadRun {
	run := loadRun{start: time.Now(), plan: plan}
	run.results = load.Run(ctx, plan, maxInFlight, func(_ context.Context, r *load.Request) load.Outcome {
		return from.send(context.WithoutCancel(ctx), r)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, run)
	return run
}

// planName returns a new name for a plan.
func (c *chaos) planName(of string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return fmt.Sprintf("%s-%d", of, c.serial)
}

// singleCallers returns callers that never repeat a request, so that each failure shows. They ask the given hosts for addresses.
// attemptTimeout is as in client.Config.
func (c *chaos) singleCallers(hosts []string, attemptTimeout time.Duration) (*callers, error) {
	out := &callers{}
	for i := range chaosCallers {
		k := i % len(hosts)
		one, err := client.New(client.Config{Hosts: slices.Concat(hosts[k:], hosts[:k]), Customer: c.customer, Secret: testbed.CustomerSecret,
			MaxAttempts: 1, AttemptTimeout: attemptTimeout})
		if err != nil {
			return nil, err
		}
		out.clients = append(out.clients, one)
	}
	return out, nil
}

// audit compares what all callers were told with what all upstreams ran.
func (c *chaos) audit() error {
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout)
	defer cancel()
	if err := c.AwaitIdle(ctx); err != nil {
		return err
	}
	if err := testbed.Eventually(ctx, func() error { return c.list.idle(ctx) }); err != nil {
		return err
	}
	records, err := c.Records(ctx)
	if err != nil {
		return err
	}
	own, err := c.list.records(ctx)
	if err != nil {
		return err
	}
	if err := c.checkProbeTotals(ctx); err != nil {
		return err
	}
	arrivals, err := c.allArrivals(ctx)
	if err != nil {
		return err
	}
	c.checkProbes(arrivals)
	c.checkRetries(arrivals)
	if err := c.checkFailing(arrivals); err != nil {
		return err
	}
	records = slices.Concat(records, own, c.kept)
	var plan []load.Request
	var results []load.Result
	for _, run := range c.runs {
		p, r := run.begun()
		plan, results = append(plan, p...), append(results, r...)
	}
	c.checkEdge(records)
	a := load.NewAudit(plan, results, records)
	fmt.Print(a)
	keyed := 0
	for i := range plan {
		if !plan[i].Op.Idempotent {
			keyed++
		}
	}
	refused := 0
	for _, n := range a.Refused {
		refused += n
	}
	c.ledger.Count(answers, a.Answered, a.WrongAnswers+a.AnsweredUnrun+a.Strays)
	c.ledger.Count(notRun, refused, a.RefusedRun)
	c.ledger.Count(atMostOnce, keyed, a.RunTwice)
	return nil
}

// checkProbeTotals compares the upstreams' counts of measuring requests with the contracts' budgets.
func (c *chaos) checkProbeTotals(ctx context.Context) error {
	check := func(service, address string, budget float64) error {
		var s standin.Stats
		if err := testbed.GetJSON(ctx, "http://"+address+"/standin/stats", &s); err != nil {
			return err
		}
		allowed := budget * time.Since(c.began).Seconds()
		c.ledger.Check(measuring, float64(s.Measuring) <= allowed, "%s %s got %d probes, %.1f are allowed", service, address, s.Measuring, allowed)
		return nil
	}
	for service, addresses := range c.Upstreams {
		for _, address := range addresses {
			if err := check(service, address, c.budgetOf(service).Total); err != nil {
				return err
			}
		}
	}
	for _, e := range c.list.own {
		if err := check(manifest, e.address, neighbourProbes); err != nil {
			return err
		}
	}
	return nil
}
