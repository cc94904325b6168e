package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
)

// defaultMaxAge is the age from which a host's copy of the store is reported. Hosts learn of a leaving endpoint within this time as long as
// they reach the store or a host that does.
const defaultMaxAge = 2 * time.Second

// recentFailure is the time for which a failed call to the store counts, if the host has not called it since. During an outage, hosts call the
// store more often. Afterwards, most hosts get updates from others and do not call it at all.
const recentFailure = 5 * time.Second

// comparison is the result of `gateway compare`.
type comparison struct {
	Hosts         int          `json:"hosts"`
	Configuration uint64       `json:"configuration"` // newest version in force on any host
	Differing     int          `json:"differing"`
	Unanswered    []string     `json:"unanswered"` // hosts that did not respond
	Rows          []comparedAt `json:"rows"`       // hosts that differ or did not respond; with --all, all hosts
}

// comparedAt is the comparison of one host.
type comparedAt struct {
	hostDump
	Differences []string `json:"differences"`
}

// compareHosts compares the hosts' dumps with the newest configuration and the maximum age of the copy of the store.
func compareHosts(results []hostResult[gateway.Dump], maxAge time.Duration, all bool) comparison {
	c := comparison{Hosts: len(results), Unanswered: []string{}, Rows: []comparedAt{}}
	for _, r := range results {
		if r.value != nil {
			c.Configuration = max(c.Configuration, r.value.ConfigurationVersion)
		}
	}
	for _, r := range results {
		row := comparedAt{hostDump: newHostDump(r), Differences: []string{}}
		if r.value == nil {
			c.Unanswered = append(c.Unanswered, r.label())
			row.Differences = append(row.Differences, "no answer")
		} else if row.Differences = differences(r.value, c.Configuration, maxAge); len(row.Differences) > 0 {
			c.Differing++
		}
		if all || len(row.Differences) > 0 {
			c.Rows = append(c.Rows, row)
		}
	}
	return c
}

// differences lists in which respects a host differs from the others.
func differences(d *gateway.Dump, newest uint64, maxAge time.Duration) []string {
	list := []string{}
	if d.ConfigurationVersion != newest {
		list = append(list, "configuration")
	}
	tooOld := d.StoreAgeMS < 0 || time.Duration(d.StoreAgeMS)*time.Millisecond > maxAge
	if tooOld {
		list = append(list, "age")
	}
	if lastCallFailed(d) && (tooOld || time.Duration(d.StoreFailedMS)*time.Millisecond <= recentFailure) {
		list = append(list, "store")
	}
	if !d.Ready && !d.Draining {
		list = append(list, "not ready")
	}
	return list
}

// copyAge returns the age of the host's copy of the store.
func copyAge(d *gateway.Dump) string {
	if d.StoreAgeMS < 0 {
		return "no copy"
	}
	return (time.Duration(d.StoreAgeMS) * time.Millisecond).String()
}

// lastCallFailed reports whether the host's last call to the store failed.
func lastCallFailed(d *gateway.Dump) bool {
	return d.StoreFailedMS >= 0 && (d.StoreOKMS < 0 || d.StoreFailedMS < d.StoreOKMS)
}

// lastCall describes the result and the age of the host's last call to the store.
func lastCall(d *gateway.Dump) string {
	switch {
	case lastCallFailed(d):
		return "failed " + (time.Duration(d.StoreFailedMS) * time.Millisecond).String() + " ago"
	case d.StoreOKMS >= 0:
		return "ok " + (time.Duration(d.StoreOKMS) * time.Millisecond).String() + " ago"
	}
	return "not called"
}

func gatewayCompare(ctx context.Context, cmd *cli.Command) error {
	hosts, err := gatewayHosts(ctx, cmd)
	if err != nil {
		return err
	}
	c := compareHosts(queryHosts[gateway.Dump](ctx, cmd, hosts, gateway.SummaryPath), cmd.Duration("max-age"), cmd.Bool("all"))
	t := &table{header: []string{"HOST", "ZONE", "AT", "CONFIG", "AGE", "ENDPOINTS", "STORE CALL", "DIFFERS IN", "ERROR"}}
	for _, row := range c.Rows {
		differs := strings.Join(row.Differences, ", ")
		if row.Dump == nil {
			t.add(orDash(row.Name), "-", row.At, "-", "-", "-", "-", differs, row.Error)
			continue
		}
		d := row.Dump
		t.add(d.Host, d.Zone, row.At, d.ConfigurationVersion, copyAge(d), d.EndpointCount, lastCall(d), orDash(differs), d.StoreError)
	}
	return errors.Join(newPrinter(cmd).print(c, t), c.err())
}

// err returns an error that names the counts if a host differs or did not respond.
func (c comparison) err() error {
	if len(c.Unanswered) == c.Hosts {
		return &Error{Code: ExitUnavailable, Message: fmt.Sprintf("none of %d hosts responded", c.Hosts)}
	}
	if c.Differing == 0 && len(c.Unanswered) == 0 {
		return nil
	}
	message := fmt.Sprintf("of %d hosts, %d differ and %d did not answer; the newest configuration is version %d", c.Hosts, c.Differing, len(c.Unanswered), c.Configuration)
	if len(c.Unanswered) > 0 {
		message += "; no answer from " + strings.Join(c.Unanswered, ", ")
	}
	return &Error{Code: ExitDiffer, Message: message}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
