package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// customerRow is what all hosts together know of a customer.
type customerRow struct {
	gateway.CustomerDump
	// Coordinators are the hosts that take themselves for the coordinator. Several of them, or none, last for about a second after a failure.
	Coordinators []string       `json:"coordinators"`
	Holders      map[string]int `json:"holders"` // permits that hosts hold
	Tokens       float64        `json:"tokens"`  // permits that the coordinators may grant now
	Hosts        int            `json:"hosts"`   // hosts that have responded
}

// mergeCustomers adds up what the hosts know of each customer, or of one of them if only is not empty. Limits and keys are those that the first host
// with the customer knows.
func mergeCustomers(results []hostResult[[]gateway.CustomerDump], only string) []*customerRow {
	rows := map[string]*customerRow{}
	for _, r := range results {
		if r.value == nil {
			continue
		}
		for _, d := range *r.value {
			if only != "" && d.Name != only {
				continue
			}
			row := rows[d.Name]
			if row == nil {
				row = &customerRow{CustomerDump: d, Coordinators: []string{}, Holders: map[string]int{}}
				row.Quota, row.Refusals = nil, map[refusals.Reason]int64{}
				rows[d.Name] = row
			}
			row.add(d, cmp.Or(r.name, r.address))
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b *customerRow) int { return cmp.Compare(a.Name, b.Name) })
}

// add adds what one host knows.
func (r *customerRow) add(d gateway.CustomerDump, host string) {
	r.Hosts++
	for reason, n := range d.Refusals {
		r.Refusals[reason] += n
	}
	if d.Quota == nil {
		return
	}
	if d.Quota.Held > 0 {
		r.Holders[host] = d.Quota.Held
	}
	if d.Quota.Tokens != nil {
		r.Coordinators = append(r.Coordinators, host)
		r.Tokens += *d.Quota.Tokens
	}
}

// joinCounts lists the entries of a map by key, or returns a dash.
func joinCounts[K cmp.Ordered, V any](m map[K]V) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v:%v", k, m[k]))
	}
	return orDash(strings.Join(parts, " "))
}

func gatewayCustomers(ctx context.Context, cmd *cli.Command) error {
	hosts, err := gatewayHosts(ctx, cmd)
	if err != nil {
		return err
	}
	results := queryHosts[[]gateway.CustomerDump](ctx, cmd, hosts, gateway.CustomersPath)
	silent := silentHosts(results)
	if len(silent) == len(results) {
		return &Error{Code: ExitUnavailable, Message: "no host responded; check the addresses"}
	}
	only := cmd.Args().First()
	rows := mergeCustomers(results, only)
	if only != "" && len(rows) == 0 {
		return &Error{Code: ExitNotFound, Message: fmt.Sprintf("no customer %q is in the configuration of the hosts that responded", only)}
	}
	t := &table{header: []string{"CUSTOMER", "PRIORITY", "PER SECOND", "BURST", "KEYS", "COORDINATOR", "TOKENS", "PERMITS HELD", "REFUSED", "HOSTS"}}
	for _, r := range rows {
		priority := "-"
		if r.Priority != nil {
			priority = fmt.Sprint(*r.Priority)
		}
		t.add(r.Name, priority, r.PerSecond, r.Burst, orDash(strings.Join(r.Keys, " ")), orDash(strings.Join(r.Coordinators, " ")), r.Tokens,
			joinCounts(r.Holders), joinCounts(r.Refusals), r.Hosts)
	}
	err = newPrinter(cmd).print(rows, t)
	if len(silent) > 0 {
		err = errors.Join(err, &Error{Code: ExitUnavailable, Message: fmt.Sprintf("%d hosts did not respond: %s", len(silent), strings.Join(silent, ", "))})
	}
	return err
}
