package ctl

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

const (
	// concurrentQueries limits the number of hosts that are queried at once.
	concurrentQueries = 64
	// defaultHostTimeout bounds the query of one host, so that hosts that are cut off do not hold up the result.
	defaultHostTimeout = 2 * time.Second
)

// gatewayTargets are the flags that select the hosts to query.
func gatewayTargets() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "at", Usage: "metrics `ADDRESS` (IP:port) of a host; repeat it for more hosts"},
		&cli.StringFlag{Name: "at-file", Usage: "`FILE` with the metrics address of a host on each line"},
		&cli.StringSliceFlag{Name: "from", Usage: "metrics `ADDRESS` (IP:port) of a host that lists all hosts it knows; they are queried at the same port"},
		&cli.DurationFlag{Name: "host-timeout", Usage: "wait at most this `TIME` for each host", Value: defaultHostTimeout},
	}
}

// target is a host to query.
type target struct {
	address string // metrics address
	name    string // empty if the host was not listed by another one
}

// hostResult is what one host returned, or the error that occurred.
type hostResult[T any] struct {
	target
	value *T
	err   error
}

// gatewayHosts returns the hosts that the flags select, each once.
func gatewayHosts(ctx context.Context, cmd *cli.Command) ([]target, error) {
	var list []target
	add := func(t target) {
		if !slices.ContainsFunc(list, func(other target) bool { return other.address == t.address }) {
			list = append(list, t)
		}
	}
	listed, err := listedHosts(ctx, cmd)
	if err != nil {
		return nil, err
	}
	for _, t := range listed {
		add(t)
	}
	for _, address := range cmd.StringSlice("at") {
		add(target{address: address})
	}
	if path := cmd.String("at-file"); path != "" {
		lines, err := addressFile(path)
		if err != nil {
			return nil, err
		}
		for _, address := range lines {
			add(target{address: address})
		}
	}
	if len(list) == 0 {
		return nil, usageError("no host is given; use --from, --at or --at-file")
	}
	return list, nil
}

// addressFile returns the lines of a file, without empty ones and comments.
func addressFile(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, usageError("%v", err)
	}
	defer f.Close()
	var list []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if line := strings.TrimSpace(lines.Text()); line != "" && !strings.HasPrefix(line, "#") {
			list = append(list, line)
		}
	}
	return list, lines.Err()
}

// listedHosts returns all hosts that the hosts named with --from know. It fails if none of them responds.
func listedHosts(ctx context.Context, cmd *cli.Command) ([]target, error) {
	var sources, list []target
	for _, address := range cmd.StringSlice("from") {
		sources = append(sources, target{address: address})
	}
	var last error
	for _, r := range queryHosts[[]gateway.HostAddress](ctx, cmd, sources, gateway.HostsPath) {
		if r.err != nil {
			last = r.err
			continue
		}
		_, port, err := net.SplitHostPort(r.address)
		if err != nil {
			return nil, usageError("--from %q is not an address: %v; use IP:port", r.address, err)
		}
		for _, h := range *r.value {
			ip, _, err := net.SplitHostPort(h.CallerAddress)
			if err != nil {
				return nil, fmt.Errorf("%s lists host %s with the address %q: %w", r.address, h.Name, h.CallerAddress, err)
			}
			list = append(list, target{address: net.JoinHostPort(ip, port), name: h.Name})
		}
	}
	if len(sources) > 0 && len(list) == 0 {
		return nil, &Error{Code: ExitUnavailable, Message: fmt.Sprintf("no host named with --from responded: %v", last)}
	}
	return list, nil
}

// queryHosts fetches a document from all hosts concurrently. The result has one entry for each host, in the given order.
func queryHosts[T any](ctx context.Context, cmd *cli.Command, hosts []target, path string) []hostResult[T] {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	results := make([]hostResult[T], len(hosts))
	var group errgroup.Group
	group.SetLimit(concurrentQueries)
	for i, t := range hosts {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("host-timeout"))
			defer cancel()
			var value T
			results[i] = hostResult[T]{target: t, value: &value}
			if err := gatewayClient(t.address).get(ctx, path, &value); err != nil {
				results[i].value, results[i].err = nil, err
			}
			return nil
		})
	}
	_ = group.Wait() // the results hold the errors
	return results
}

func gatewayClient(address string) *client {
	return &client{hosts: []string{"http://" + address}, http: &http.Client{Transport: strictresponse.NewTransport(&http.Transport{DisableKeepAlives: true})}}
}

// label returns how messages name a host.
func (t target) label() string {
	if t.name == "" {
		return t.address
	}
	return t.name + " (" + t.address + ")"
}

// silentHosts returns the labels of the hosts that returned nothing usable. A host that reported that it does not keep the document is not
// one of them.
func silentHosts[T any](results []hostResult[T]) []string {
	var list []string
	for _, r := range results {
		if r.err != nil && !isNotFound(r.err) {
			list = append(list, r.label())
		}
	}
	return list
}

func isNotFound(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == ExitNotFound
}
