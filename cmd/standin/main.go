// Command standin runs stand-ins (small fake servers) for the systems around arbutusspan: the platform, upstream endpoints, or a
// minimal reverse proxy as a baseline for measurements.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusspan/arbutusspan/internal/standin"
)

func main() {
	cmd := &cli.Command{Name: "standin", Usage: "run a stand-in for tests and demos", Commands: []*cli.Command{
		{Name: "platform", Usage: "append-only log and host list",
			Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true}},
			Action: func(_ context.Context, c *cli.Command) error {
				return http.ListenAndServe(c.String("listen"), standin.NewPlatform().Handler())
			}},
		{Name: "bare", Usage: "bare net/http server that makes one bare client call for each request", Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true},
			&cli.StringFlag{Name: "upstream", Usage: "`ADDRESS` to call", Required: true}},
			Action: func(_ context.Context, c *cli.Command) error {
				return http.ListenAndServe(c.String("listen"), standin.NewBareProxy(c.String("upstream")))
			}},
		{Name: "upstream", Usage: "one or more upstream endpoints", Action: runUpstreams, Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` of one endpoint"},
			&cli.StringFlag{Name: "listen-range", Usage: "`IP:FIRST-LAST`: one endpoint per port"},
			&cli.StringFlag{Name: "incarnation", Value: "1"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "requests that an endpoint runs at a time"},
			&cli.IntFlag{Name: "backlog", Value: 1024, Usage: "requests that wait for a slot; more are shed"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "mean work time"},
			&cli.FloatFlag{Name: "sigma", Usage: "spread of the log-normal work time"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of work times; endpoint i draws its slow episodes from seed+i"},
			&cli.IntFlag{Name: "cold", Usage: "number of slower requests after the start"},
			&cli.FloatFlag{Name: "cold-factor", Value: 4},
			&cli.DurationFlag{Name: "distance", Usage: "one-way network delay"},
		}},
	}}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// runUpstreams runs one stand-in for each listen address.
func runUpstreams(_ context.Context, c *cli.Command) error {
	addresses, err := listenAddresses(c.String("listen"), c.String("listen-range"))
	if err != nil {
		return err
	}
	var g errgroup.Group
	for i, address := range addresses {
		seed := c.Uint64("seed")
		u := standin.NewUpstream(standin.UpstreamConfig{Incarnation: c.String("incarnation"), Slots: c.Int("slots"),
			Backlog: c.Int("backlog"), MeanWork: c.Duration("work"), Sigma: c.Float("sigma"), Seed: seed, EpisodeSeed: seed + uint64(i),
			ColdRequests: c.Int("cold"), ColdFactor: c.Float("cold-factor"), NetworkDelay: c.Duration("distance")})
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		g.Go(func() error { return u.Server().Serve(l) })
	}
	return g.Wait()
}

// maxEndpoints limits the number of endpoints that one process serves.
const maxEndpoints = 256

// listenAddresses returns the addresses given by --listen (one) or --listen-range (many). Exactly one of them must be set.
func listenAddresses(address, addressRange string) ([]string, error) {
	if (address == "") == (addressRange == "") {
		return nil, fmt.Errorf("give either --listen or --listen-range")
	}
	if address != "" {
		return []string{address}, nil
	}
	ip, ports, err := net.SplitHostPort(addressRange)
	if err != nil {
		return nil, fmt.Errorf("--listen-range is %q: use IP:FIRST-LAST", addressRange)
	}
	from, to, _ := strings.Cut(ports, "-")
	first, err1 := strconv.Atoi(from)
	last, err2 := strconv.Atoi(to)
	if err1 != nil || err2 != nil || last < first || last-first >= maxEndpoints {
		return nil, fmt.Errorf("--listen-range is %q: use IP:FIRST-LAST with at most %d ports", addressRange, maxEndpoints)
	}
	var out []string
	for port := first; port <= last; port++ {
		out = append(out, net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return out, nil
}
