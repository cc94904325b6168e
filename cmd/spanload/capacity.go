package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

func capacityCommand() *cli.Command {
	return &cli.Command{Name: "capacity", Usage: "measure what one daemon costs against the size of the deployment",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: 5 * time.Second, Usage: "length of one measurement"},
			&cli.DurationFlag{Name: "settle", Value: 3 * time.Second, Usage: "wait before the first measurement of a size"},
			&cli.IntFlag{Name: "repeats", Value: 2, Usage: "measurements of each size"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "only", Usage: "`SWEEPS` to measure, separated by commas; empty means all"},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "`DIRECTORY` for the results"},
			&cli.StringFlag{Name: "name", Value: "capacity", Usage: "first part of the names of the result files"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			m := &capacity{root: c.String("root"), window: c.Duration("window"), settle: c.Duration("settle"), repeats: c.Int("repeats"),
				seed: c.Uint64("seed"), only: c.String("only")}
			if err := m.run(ctx); err != nil {
				return err
			}
			return m.write(filepath.Join(m.root, c.String("out"), c.String("name")))
		}}
}

// capacity runs sweeps one after the other, each size in a deployment of its own.
type capacity struct {
	root    string
	window  time.Duration
	settle  time.Duration
	repeats int
	seed    uint64
	only    string
	bin     map[string]string
	rows    []capacityRow
}

// capacityRow is one measured figure.
type capacityRow struct {
	sweep   string
	x       float64
	repeat  int
	measure string // ends with the unit
	value   float64
	loadAvg string
}

// sweep measures the daemon against one size. Its first size is the idle baseline.
type sweep struct {
	name  string
	sizes []int
	run   func(ctx context.Context, m *capacity, s *sweep, x int) error
}

// Sizes of a deployment that does not grow in a sweep.
const (
	capacityServices  = 10  // of the endpoints sweep
	changeHosts       = 15  // of the changes sweep
	changeCustomers   = 100 // whose contracts change in turn
	servicesPerChange = 200 // most services of one contract
	learnTimeout      = 60 * time.Second
	learnPoll         = 5 * time.Millisecond
	loadedAppends     = 100_000 // appends a second of the log stand-in while it is filled
)

var sweeps = []sweep{
	{"endpoints", []int{0, 3000, 9000, 18000, 27000}, measureEndpoints},
	{"services", []int{0, 200, 600, 1200, 1900}, measureServices},
	{"contracts", []int{0, 300, 1000, 2000, 3000}, measureContracts},
	{"hosts", []int{1, 8, 15, 30, 60}, measureHosts},
	{"changes_per_s", []int{0, 1, 5, 10, 20}, measureChanges},
	{"calls_per_s", []int{0, 200, 400, 800, 1200}, measureCalls},
	{"remote_calls_per_s", []int{0, 200, 400, 800, 1200}, measureRemoteCalls},
	{"members", []int{15, 64, 188, 512, 1024, 4000}, measureMembers},
	{"learn_from_peer", []int{1, 300, 1000, 2000, 3000}, measureLearnFromPeer},
}

func (m *capacity) run(ctx context.Context) (err error) {
	if m.bin, err = build(m.root); err != nil {
		return err
	}
	for i := range sweeps {
		s := &sweeps[i]
		if m.only != "" && !strings.Contains(","+m.only+",", ","+s.name+",") {
			continue
		}
		for _, x := range s.sizes {
			if err := s.run(ctx, m, s, x); err != nil {
				return fmt.Errorf("%s at %d: %w", s.name, x, err)
			}
		}
	}
	return ctx.Err()
}

func (m *capacity) add(s *sweep, x, repeat int, measure string, value float64) {
	r := capacityRow{s.name, float64(x), repeat, measure, value, testbed.LoadAverage()}
	m.rows = append(m.rows, r)
	fmt.Printf("%-18s %6d  %-34s %14.2f  load %s\n", s.name, x, measure, value, r.loadAvg)
}

// deploy starts hosts in one zone with the given services and the example contract of a customer, if it is not empty.
func (m *capacity) deploy(ctx context.Context, hosts int, customer string, services ...testbed.ServiceShape) (*testbed.Deployment, func(), error) {
	dir, err := os.MkdirTemp("", "spanload-capacity-")
	if err != nil {
		return nil, nil, err
	}
	starting, cancel := context.WithTimeout(ctx, 2*startTimeout)
	defer cancel()
	example := ""
	if customer != "" {
		example = testbed.Example(m.root, customer)
	}
	d, err := testbed.StartDeployment(starting, testbed.DeploymentConfig{Shape: testbed.Shape{Customer: customer, Zones: []string{"hall"}, Services: services},
		Hosts: hosts, Bin: m.bin, Dir: dir, Contract: example, Seed: m.seed, LogLevel: "error"})
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	err = testbed.PutJSON(ctx, d.PlatformURL()+"/standin/log-faults", map[string]any{"appends_per_second": loadedAppends})
	return d, func() { d.Kill(); os.RemoveAll(dir) }, err
}

// alone names the only measured host.
func alone(d *testbed.Deployment) map[string]*testbed.EntryHost {
	return map[string]*testbed.EntryHost{"": d.Hosts[0]}
}

func measureEndpoints(ctx context.Context, m *capacity, s *sweep, x int) error {
	// Incarnations are random, as those of upstreams are; consecutive ones would compress far better.
	rng := rand.New(rand.NewPCG(m.seed, uint64(x)))
	incarnation := func() string { return fmt.Sprintf("%016x", rng.Uint64()) }
	var list []platform.Host
	prepare := func(d *testbed.Deployment) (err error) {
		if list, err = platform.NewHostList(d.PlatformURL()).Fetch(ctx); err != nil { // the host itself
			return err
		}
		for i := range x {
			list = append(list, platform.Host{Role: platform.RoleUpstream, Name: fmt.Sprintf("upstream-%d", i), Zone: "hall", Slots: 6,
				Address: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255), Service: fmt.Sprintf("service-%d", i%capacityServices),
				Incarnation: incarnation(), State: callerapi.StateLive})
		}
		return d.PutHostList(ctx, list)
	}
	return m.measureRestarted(ctx, s, x, prepare, func(d *testbed.Deployment) error {
		for repeat := range m.repeats {
			list[len(list)-1].Incarnation = incarnation()
			before, err := readCosts(ctx, d.Hosts[0])
			if err != nil {
				return err
			}
			if err := d.PutHostList(ctx, list); err != nil {
				return err
			}
			time.Sleep(m.settle)
			after, err := readCosts(ctx, d.Hosts[0])
			if err != nil {
				return err
			}
			m.add(s, x, repeat, "host_list_change_bytes", after.bytes["host_list"]-before.bytes["host_list"]) // with the polls of the wait
		}
		return nil
	})
}

func measureServices(ctx context.Context, m *capacity, s *sweep, x int) error {
	return m.measureRestarted(ctx, s, x, func(d *testbed.Deployment) error {
		for first := 0; first < x; first += servicesPerChange {
			c, err := m.example(fmt.Sprintf("customer-%d", first))
			if err != nil {
				return err
			}
			one := c.Services[0]
			c.Services = nil
			for i := first; i < min(first+servicesPerChange, x); i++ {
				one.Name = fmt.Sprintf("service-%d", i)
				c.Services = append(c.Services, one)
			}
			if err := appendChange(ctx, d, c, 0); err != nil {
				return err
			}
		}
		return nil
	}, nil)
}

func measureContracts(ctx context.Context, m *capacity, s *sweep, x int) error {
	return m.measureRestarted(ctx, s, x, func(d *testbed.Deployment) error { return m.publishMany(ctx, d, x) }, nil)
}

// example returns the example contract under another customer's name.
func (m *capacity) example(customer string) (*contract.Contract, error) {
	data, err := os.ReadFile(testbed.Example(m.root, "trentvale"))
	if err != nil {
		return nil, err
	}
	c, err := contract.Decode(data)
	if err != nil {
		return nil, err
	}
	c.Customer = customer
	return c, nil
}

// appendChange puts a change into the log as a publishing host does.
func appendChange(ctx context.Context, d *testbed.Deployment, c *contract.Contract, base uint64) error {
	document, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var short bytes.Buffer
	if err := json.Compact(&short, document); err != nil {
		return err
	}
	change := &configlog.Change{OpID: fmt.Sprintf("%s-%d", c.Customer, base), Customer: c.Customer, Base: base, Document: short.Bytes(),
		Operator: "capacity", At: time.Now()}
	record, err := configlog.Record{Change: change}.Encode()
	if err != nil {
		return err
	}
	_, err = platform.NewLog(d.PlatformURL(), configlog.Stream).Append(ctx, record)
	return err
}

func (m *capacity) publishMany(ctx context.Context, d *testbed.Deployment, n int) error {
	for i := range n {
		c, err := m.example(fmt.Sprintf("customer-%d", i))
		if err != nil {
			return err
		}
		if err := appendChange(ctx, d, c, 0); err != nil {
			return err
		}
	}
	return nil
}

// awaitRevision waits until all hosts have a customer's revision in force.
func awaitRevision(ctx context.Context, d *testbed.Deployment, customer string, revision uint64) error {
	bounded, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		err := testbed.Eventually(bounded, func() error {
			var entry struct {
				Revision uint64 `json:"revision"`
			}
			if err := operatorGet(bounded, h, "/v1/contracts/"+customer, &entry); err != nil {
				return err
			}
			if entry.Revision < revision {
				return fmt.Errorf("%s is at revision %d", h.Name, entry.Revision)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func measureHosts(ctx context.Context, m *capacity, s *sweep, x int) error {
	d, stop, err := m.deploy(ctx, x, "trentvale")
	if err != nil {
		return err
	}
	defer stop()
	if err := m.observe(ctx, s, x, alone(d), nil); err != nil {
		return err
	}
	c, err := m.example("trentvale")
	if err != nil {
		return err
	}
	for repeat := range m.repeats {
		began := time.Now()
		if err := appendChange(ctx, d, c, uint64(1+repeat)); err != nil {
			return err
		}
		if err := awaitRevision(ctx, d, "trentvale", uint64(2+repeat)); err != nil {
			return err
		}
		m.add(s, x, repeat, "change_in_force_ms", float64(time.Since(began).Microseconds())/1000)
	}
	return nil
}

func measureChanges(ctx context.Context, m *capacity, s *sweep, x int) error {
	d, stop, err := m.deploy(ctx, changeHosts, "trentvale")
	if err != nil {
		return err
	}
	defer stop()
	if err := m.publishMany(ctx, d, changeCustomers); err != nil {
		return err
	}
	if err := awaitRevision(ctx, d, fmt.Sprintf("customer-%d", changeCustomers-1), 1); err != nil {
		return err
	}
	base := make([]uint64, changeCustomers)
	next := 0
	return m.observe(ctx, s, x, alone(d), func(ctx context.Context, length time.Duration) error {
		began := time.Now()
		for i := range int(float64(x) * length.Seconds()) {
			time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(x))))
			k := next % changeCustomers
			next++
			base[k]++
			c, err := m.example(fmt.Sprintf("customer-%d", k))
			if err == nil {
				err = appendChange(ctx, d, c, base[k])
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}
