package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "run both users' deployments through a contract change, a crash and a planned stop",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 4, Usage: "entry hosts of each deployment, at least 3"},
			&cli.FloatFlag{Name: "rate", Value: 400, Usage: "requests a second to each deployment"},
			&cli.DurationFlag{Name: "length", Value: 12 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "keep", Usage: "leave everything up until Ctrl-C"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Int("hosts") < 3 {
				return errors.New("--hosts is too small: one host is killed and one drained, so use at least 3")
			}
			d := &demo{hosts: c.Int("hosts"), rate: c.Float("rate"), length: c.Duration("length"), seed: c.Uint64("seed"), keep: c.Bool("keep"), root: c.String("root")}
			return d.run(ctx)
		}}
}

// demo runs both deployments side by side.
type demo struct {
	hosts  int
	rate   float64
	length time.Duration
	seed   uint64
	keep   bool
	root   string
	dir    string
	bin    map[string]string
}

const (
	demoWork    = 10 * time.Millisecond // the examples' rates are the capacity at this work time
	demoSigma   = 0.5
	demoCallers = 8
	// demoLifetimeMS is shorter than the default, so that a planned stop fits into the demo.
	demoLifetimeMS = 1000
	maxInFlight    = 20_000
	startTimeout   = 30 * time.Second
	stopTimeout    = 20 * time.Second
)

func (d *demo) run(ctx context.Context) (err error) {
	began := time.Now()
	if d.bin, err = build(d.root); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "spanload-demo-"); err != nil {
		return err
	}
	defer os.RemoveAll(d.dir)
	fmt.Printf("built in %.1f s\n", time.Since(began).Seconds())
	began = time.Now()

	var wg sync.WaitGroup
	customers := []string{"trentvale", "shannon"}
	errs := make([]error, len(customers))
	for i, customer := range customers {
		wg.Go(func() { errs[i] = d.runOne(ctx, customer) })
	}
	wg.Wait()
	fmt.Printf("finished %.1f s after the build\n", time.Since(began).Seconds())
	return errors.Join(errs...)
}

// runOne starts one user's deployment, runs the load and the events, and checks the counts.
func (d *demo) runOne(ctx context.Context, customer string) (err error) {
	say := func(format string, args ...any) { fmt.Printf("%-10s %s\n", customer, fmt.Sprintf(format, args...)) }
	path := testbed.Example(d.root, customer)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	dep, err := testbed.StartDeployment(starting, testbed.DeploymentConfig{Shape: testbed.Shapes[customer], Hosts: d.hosts, Bin: d.bin, Dir: d.dir,
		Contract: path, Work: demoWork, Sigma: demoSigma, Seed: d.seed, AddressLifetimeMS: demoLifetimeMS})
	if err != nil {
		return err
	}
	defer func() {
		// The hosts stop gracefully even if the demo was interrupted.
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if stopErr := dep.Stop(stopping); stopErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: stop: %w", customer, stopErr))
		}
	}()
	say("%d entry hosts and %d upstream endpoints run, and each host has the contract", d.hosts, len(dep.Upstreams[dep.Config.Shape.Services[0].Name])+len(dep.Upstreams[dep.Config.Shape.Services[1].Name]))

	ops, err := operations(path, customer)
	if err != nil {
		return err
	}
	c, err := newCallers(demoCallers, customer, dep.Callers(), 0)
	if err != nil {
		return err
	}
	defer c.close()
	plan := load.Plan(d.seed, customer, ops, d.rate, d.length)
	events := make(chan error, 1)
	go func() { events <- d.events(ctx, dep, say) }()
	results := load.Run(ctx, plan, maxInFlight, c.send)
	if err := <-events; err != nil {
		return err
	}
	if err := d.check(ctx, dep, plan, results); err != nil {
		return err
	}
	if d.keep && ctx.Err() == nil {
		printKept(dep, ops)
		<-ctx.Done()
	}
	return nil
}

// events changes a contract, kills one host and drains another while traffic flows.
func (d *demo) events(ctx context.Context, dep *testbed.Deployment, say func(string, ...any)) error {
	wait := func(part float64) bool {
		select {
		case <-time.After(time.Duration(part * float64(d.length))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !wait(0.2) {
		return ctx.Err()
	}
	began := time.Now()
	err := dep.PublishChanged(ctx, dep.Hosts[2], func(c *contract.Contract) { c.Services[0].RatePerSecond *= 1.1 })
	if err == nil {
		err = dep.AwaitRevision(ctx)
	}
	if err != nil {
		return fmt.Errorf("change of the contract under load: %w", err)
	}
	say("a changed contract was accepted and is in force on each host after %d ms", time.Since(began).Milliseconds())
	if !wait(0.2) {
		return ctx.Err()
	}
	dep.Hosts[0].Process.Kill()
	say("%s was killed with SIGKILL", dep.Hosts[0].Name)
	if !wait(0.2) {
		return ctx.Err()
	}
	began = time.Now()
	if err := dep.Hosts[1].Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := dep.Hosts[1].Process.Wait(stopping); err != nil {
		return fmt.Errorf("planned stop of %s: %w\n%s", dep.Hosts[1].Name, err, dep.Hosts[1].Process.Log())
	}
	say("%s got SIGTERM and had stopped after %d ms", dep.Hosts[1].Name, time.Since(began).Milliseconds())
	return nil
}

func (d *demo) check(ctx context.Context, dep *testbed.Deployment, plan []load.Request, results []load.Result) error {
	if err := dep.AwaitIdle(ctx); err != nil {
		return err
	}
	records, err := dep.Records(ctx)
	if err != nil {
		return err
	}
	a := load.NewAudit(plan, results, records)
	killed, drained := a.LostAt[dep.Hosts[0].Caller()], a.LostAt[dep.Hosts[1].Caller()]
	fmt.Printf("%s\n%s  %-34s %7d\n  %-34s %7d (has to be 0)\n", dep.Config.Shape.Customer, a, "lost at the killed host", killed, "cut by the planned stop", drained)
	if drained > 0 {
		return fmt.Errorf("%s: the planned stop cut %d requests", dep.Config.Shape.Customer, drained)
	}
	if a.Off() {
		return fmt.Errorf("%s: a count that has to be 0 is not", dep.Config.Shape.Customer)
	}
	if a.Answered == 0 {
		return fmt.Errorf("%s: nothing was answered", dep.Config.Shape.Customer)
	}
	return nil
}

func printKept(dep *testbed.Deployment, ops []load.Operation) {
	fmt.Printf("\n%s is left up until Ctrl-C\n", dep.Config.Shape.Customer)
	for _, h := range dep.Hosts {
		state := "runs"
		if h.Process.Ended() {
			state = "ended during the demo"
		}
		fmt.Printf("  %-18s callers http://%s  operators %s  %s\n", h.Name, h.Caller(), h.OperatorURL(), state)
	}
	last := dep.Hosts[len(dep.Hosts)-1]
	token := fmt.Sprintf("-H 'Authorization: Bearer %s.%s'", dep.Config.Shape.Customer, testbed.CustomerSecret)
	for _, op := range ops {
		if op.Idempotent {
			fmt.Printf("  curl -i %s http://%s/s/%s%s17\n", token, last.Caller(), op.Service, op.Path)
		}
	}
	fmt.Printf("  curl -s %s 'http://%s/v1/addresses?service=%s'\n", token, last.Caller(), ops[0].Service)
	fmt.Printf("  curl -s -H 'Authorization: Bearer %s' %s/v1/state\n", testbed.OperatorToken, last.OperatorURL())
	fmt.Printf("  curl -X PUT -d '{\"slow_factor\":4,\"slow_for_ms\":10000}' http://%s/standin/faults\n", dep.Upstreams[ops[0].Service][0])
	fmt.Printf("  curl -s http://%s/standin/stats\n", dep.Upstreams[ops[0].Service][0])
}
