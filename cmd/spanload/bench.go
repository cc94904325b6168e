package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// Goals of design section 1.3.
const (
	goalAddedP99MS = 0.34
	goalCPURatio   = 1.5
	// goalUtilization is the part of one core at which the added time is measured.
	goalUtilization = 0.5
)

const (
	calibrationRate = 2000 // requests a second of the first calibration
	calibrations    = 2
	calibrationTime = 3 * time.Second
	benchIdleConns  = 1024
	benchTimeout    = 5 * time.Second
	// Limits far beyond the measured rate, so that no request is refused.
	benchRatePerSecond = 1_000_000
	benchConcurrent    = 10_000
)

func benchCommand() *cli.Command {
	return &cli.Command{Name: "bench", Usage: "measure what a host adds to calls, and its processor time",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second through the host; 0 means half of a core's capacity, as calibrated"},
			&cli.BoolFlag{Name: "keyed", Usage: "measure a non-idempotent operation, each call with an idempotency key of its own"},
			&cli.DurationFlag{Name: "work", Usage: "work time of the upstream"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "`DIRECTORY` for bench.json and bench.md, or with --keyed bench-keyed.json and bench-keyed.md"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			b := &bench{operation: "availability", length: c.Duration("length"), work: c.Duration("work"), seed: c.Uint64("seed"), http: &http.Client{Timeout: benchTimeout,
				Transport: &http.Transport{MaxIdleConns: 4 * benchIdleConns, MaxIdleConnsPerHost: benchIdleConns, DisableCompression: true}}}
			name := "bench"
			if c.Bool("keyed") {
				name, b.operation = "bench-keyed", "book"
			}
			report, err := b.run(ctx, c.String("root"), c.Float("rate"))
			if err != nil {
				return err
			}
			return report.write(c.String("out"), name)
		}}
}

// bench sends each planned call three times: straight to an upstream, through a host, and through the bare server.
type bench struct {
	operation string
	keyPrefix string // of the host, for calls that need an idempotency key
	length    time.Duration
	work      time.Duration
	seed      uint64
	http      *http.Client
	dep       *testbed.Deployment
	bare      *testbed.Process
	paths     []path
	ops       []load.Operation
}

// path is one way to the upstream.
type path struct {
	name string
	url  func(r *load.Request) string
}

// benchReport is the document of one run.
type benchReport struct {
	Command       string       `json:"command"`
	Seed          uint64       `json:"seed"`
	Date          string       `json:"date"`
	Go            string       `json:"go"`
	Cores         int          `json:"cores"`
	LoadAverage   string       `json:"load_average"`    // of the machine after the run, over 1, 5 and 15 minutes
	Rate          float64      `json:"rate_per_second"` // of each path
	Direct        load.Summary `json:"direct"`
	Host          load.Summary `json:"host"`
	Bare          load.Summary `json:"bare"`
	Added         load.Summary `json:"added"`      // of the differences host - direct, call by call
	BareAdded     load.Summary `json:"bare_added"` // of the differences bare - direct
	Failed        int          `json:"failed"`     // calls without the right answer, on any path
	HostCores     float64      `json:"host_cores"` // processor time of the daemon per second
	HostCPU       float64      `json:"host_cpu_us_per_call"`
	BareCPU       float64      `json:"bare_cpu_us_per_call"`
	CPURatio      float64      `json:"cpu_ratio"`
	CallsPerCore  float64      `json:"calls_per_second_per_core"`
	AllocsPerCall *float64     `json:"allocations_per_call"` // null if the daemon does not tell
	BytesPerCall  *float64     `json:"bytes_per_call"`
}

func (b *bench) run(ctx context.Context, root string, rate float64) (*benchReport, error) {
	bin, err := build(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "spanload-bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	// One service with one endpoint, so that the same endpoint serves all paths.
	shape := testbed.Shapes["shannon"]
	shape.Services = []testbed.ServiceShape{{Name: "booking-desk", Endpoints: 1, Slots: 256}}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b.dep, err = testbed.StartDeployment(starting, testbed.DeploymentConfig{Shape: shape, Hosts: 1, Bin: bin, Dir: dir,
		Contract: testbed.Example(root, "shannon"), Work: b.work, Seed: b.seed, LogLevel: "warn"})
	if err != nil {
		return nil, err
	}
	defer b.dep.Kill()
	if err := b.prepare(ctx, bin, root); err != nil {
		return nil, err
	}
	defer b.bare.Kill()
	if rate == 0 {
		if rate, err = b.calibrate(ctx); err != nil {
			return nil, err
		}
	}
	return b.measure(ctx, rate, b.length)
}

// prepare raises the contract's limits, starts the bare server and names the paths.
func (b *bench) prepare(ctx context.Context, bin map[string]string, root string) error {
	err := b.dep.PublishChanged(ctx, b.dep.Hosts[0], func(c *contract.Contract) {
		c.Services[0].RatePerSecond, c.Services[0].Burst, c.Services[0].Concurrent = benchRatePerSecond, 0, benchConcurrent
	})
	if err == nil {
		err = b.dep.AwaitRevision(ctx)
	}
	if err != nil {
		return err
	}
	host, upstream := b.dep.Hosts[0], b.dep.Upstreams["booking-desk"][0]
	bare := net.JoinHostPort(host.Settings.Address, fmt.Sprint(testbed.BarePort))
	if b.bare, err = testbed.Start("bare", bin["standin"], "bare", "--listen", bare, "--upstream", upstream); err != nil {
		return err
	}
	b.paths = []path{
		{"direct", func(r *load.Request) string { return "http://" + upstream + r.Path }},
		{"host", func(r *load.Request) string { return "http://" + host.Caller() + "/s/booking-desk" + r.Path }},
		{"bare", func(r *load.Request) string { return "http://" + bare + r.Path }},
	}
	all, err := operations(testbed.Example(root, "shannon"), "shannon")
	for _, op := range all {
		if op.Name == b.operation {
			b.ops = append(b.ops, op)
		}
	}
	if err != nil {
		return err
	}
	if err := b.renewKeys(ctx); err != nil {
		return err
	}
	return testbed.Eventually(ctx, func() error {
		for _, p := range b.paths {
			probe := load.Plan(b.seed, "probe", b.ops, calibrationRate, time.Second)[0]
			if out := b.send(ctx, p, &probe); out.Body != probe.Want() {
				return fmt.Errorf("path %s gave %q (%s)", p.name, out.Body, out.Reason)
			}
		}
		return nil
	})
}

// renewKeys asks for the prefix of keys that are new now. It is accepted for two minutes at least.
func (b *bench) renewKeys(ctx context.Context) error {
	got, err := askAddresses(ctx, b.dep.Hosts[0].Caller(), "shannon", "booking-desk")
	if err != nil {
		return err
	}
	if len(got.Addresses) == 0 {
		return errors.New("the host lists no address, so there is no key prefix")
	}
	b.keyPrefix = got.Addresses[0].KeyPrefix
	return nil
}

// send makes one call. All paths use the same client and headers, so that they cost the caller the same.
func (b *bench) send(ctx context.Context, p path, r *load.Request) load.Outcome {
	req, err := http.NewRequestWithContext(ctx, r.Op.Method, p.url(r), bytes.NewReader(r.Body))
	if err != nil {
		return load.Outcome{Reason: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer shannon."+testbed.CustomerSecret)
	req.Header.Set(callerapi.HeaderRequestID, r.ID)
	req.Header.Set(callerapi.UpstreamRequestID, r.ID)
	if !r.Op.Idempotent {
		req.Header.Set(callerapi.HeaderAttempt, "0")
		req.Header.Set(callerapi.HeaderIdempotencyKey, fmt.Sprintf("%s.%016s", b.keyPrefix, r.ID))
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return load.Outcome{Reason: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return load.Outcome{Reason: err.Error()}
	}
	return load.Outcome{Answered: true, Body: string(body)}
}

// calibrate returns the rate at which the daemon uses half a core. Processor time per call falls with the rate, so the
// second step measures near the rate that the first one found.
func (b *bench) calibrate(ctx context.Context) (float64, error) {
	rate := float64(calibrationRate)
	for range calibrations {
		r, err := b.measure(ctx, rate, calibrationTime)
		if err != nil {
			return 0, err
		}
		rate = goalUtilization * r.CallsPerCore
	}
	return rate, nil
}

// usage is a reading of the counters before and after a measurement.
type usage struct {
	host, bare time.Duration
	mem        *testbed.MemStats // nil if the daemon does not tell
}

func (b *bench) usage(ctx context.Context) (u usage, err error) {
	u.host, err = b.dep.Hosts[0].Process.CPUTime()
	if err != nil {
		return u, err
	}
	if u.bare, err = b.bare.CPUTime(); err != nil {
		return u, err
	}
	if mem, err := b.dep.Hosts[0].MemStats(ctx); err == nil {
		u.mem = mem
	}
	return u, nil
}

func (b *bench) measure(ctx context.Context, rate float64, length time.Duration) (*benchReport, error) {
	plan := load.Plan(b.seed, fmt.Sprintf("bench-%.0f", rate), b.ops, rate, length)
	if len(plan) == 0 {
		return nil, errors.New("no call fits into the length; use a longer one or a higher rate")
	}
	if err := b.renewKeys(ctx); err != nil {
		return nil, err
	}
	before, err := b.usage(ctx)
	if err != nil {
		return nil, err
	}
	results := make([][]load.Result, len(b.paths))
	var wg sync.WaitGroup
	for i, p := range b.paths {
		// The calls of a pair start a third of the mean gap apart, so that they do not queue for each other.
		shifted := make([]load.Request, len(plan))
		for k, r := range plan {
			r.At += time.Duration(float64(i) / float64(len(b.paths)) / rate * float64(time.Second))
			shifted[k] = r
		}
		wg.Go(func() {
			results[i] = load.Run(ctx, shifted, maxInFlight, func(ctx context.Context, r *load.Request) load.Outcome { return b.send(ctx, p, r) })
		})
	}
	wg.Wait()
	after, err := b.usage(ctx)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return b.report(rate, length, plan, results, before, after), nil
}

func (b *bench) report(rate float64, length time.Duration, plan []load.Request, results [][]load.Result, before, after usage) *benchReport {
	r := &benchReport{Command: strings.Join(os.Args, " "), Seed: b.seed, Date: time.Now().UTC().Format(time.RFC3339), Go: runtime.Version(),
		Cores: runtime.NumCPU(), LoadAverage: testbed.LoadAverage(), Rate: rate}
	summaries := []*load.Summary{&r.Direct, &r.Host, &r.Bare}
	for i, list := range results {
		h := load.NewHistogram()
		for k, res := range list {
			h.Record(res.Latency)
			if res.Body != plan[k].Want() {
				r.Failed++
			}
		}
		*summaries[i] = h.Summary()
	}
	added, bareAdded := make([]time.Duration, len(plan)), make([]time.Duration, len(plan))
	for k := range plan {
		added[k] = results[1][k].Latency - results[0][k].Latency
		bareAdded[k] = results[2][k].Latency - results[0][k].Latency
	}
	r.Added, r.BareAdded = load.Summarize(added), load.Summarize(bareAdded)
	calls := float64(len(plan))
	host, bare := after.host-before.host, after.bare-before.bare
	r.HostCores = host.Seconds() / length.Seconds()
	r.HostCPU, r.BareCPU = float64(host.Microseconds())/calls, float64(bare.Microseconds())/calls
	r.CPURatio = r.HostCPU / r.BareCPU
	r.CallsPerCore = calls / host.Seconds()
	if before.mem != nil && after.mem != nil {
		allocs, size := float64(after.mem.Mallocs-before.mem.Mallocs)/calls, float64(after.mem.TotalAlloc-before.mem.TotalAlloc)/calls
		r.AllocsPerCall, r.BytesPerCall = &allocs, &size
	}
	return r
}

// table returns the report in Markdown.
func (r *benchReport) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# What a host adds to a call\n\nCommand `%s`, seed %d, %s, %s, %d cores, load average %s after the run. %.0f calls a second on each path; the daemon used %.2f of a core.\n\n",
		r.Command, r.Seed, r.Date, r.Go, r.Cores, r.LoadAverage, r.Rate, r.HostCores)
	fmt.Fprintln(&b, "| Milliseconds | p50 | p99 | p99.9 |\n|---|---|---|---|")
	for _, row := range []struct {
		name string
		s    load.Summary
	}{{"Straight to the upstream", r.Direct}, {"Through a host", r.Host}, {"Through the bare server", r.Bare},
		{"Added by a host, call by call", r.Added}, {"Added by the bare server, call by call", r.BareAdded}} {
		fmt.Fprintf(&b, "| %s | %.3f | %.3f | %.3f |\n", row.name, row.s.P50, row.s.P99, row.s.P999)
	}
	fmt.Fprintln(&b, "\n| Figure | Value | Goal |\n|---|---|---|")
	fmt.Fprintf(&b, "| Added at p99 | %.3f ms | %.2f ms |\n", r.Added.P99, goalAddedP99MS)
	fmt.Fprintf(&b, "| Processor time per call, daemon | %.1f µs | |\n", r.HostCPU)
	fmt.Fprintf(&b, "| Processor time per call, bare server with one client call | %.1f µs | |\n", r.BareCPU)
	fmt.Fprintf(&b, "| Ratio of both | %.2f | %.1f |\n", r.CPURatio, goalCPURatio)
	fmt.Fprintf(&b, "| Calls a second per core | %.0f | |\n", r.CallsPerCore)
	fmt.Fprintf(&b, "| Allocations per call | %s | |\n", optional(r.AllocsPerCall))
	fmt.Fprintf(&b, "| Bytes allocated per call | %s | |\n", optional(r.BytesPerCall))
	fmt.Fprintf(&b, "| Calls without the right answer | %d | 0 |\n", r.Failed)
	return b.String()
}

func optional(v *float64) string {
	if v == nil {
		return "not told by the daemon"
	}
	return fmt.Sprintf("%.1f", *v)
}

func (r *benchReport) write(dir, name string) error {
	fmt.Print(r.table())
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), 0o644),
		os.WriteFile(filepath.Join(dir, name+".md"), []byte(r.table()), 0o644))
}
