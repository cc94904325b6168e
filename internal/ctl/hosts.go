package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show all entry hosts: state, revisions in force, owned services",
		Action: withSession(func(ctx context.Context, s *session) error {
			var hosts []admin.HostStatus
			if err := s.get(ctx, "/v1/status", &hosts); err != nil {
				return err
			}
			t := &table{header: []string{"HOST", "ZONE", "STATE", "CONFIG", "REVISIONS", "OWNS", "UPTIME", "ERROR"}}
			for _, h := range hosts {
				t.add(h.Host, h.Zone, h.State, h.ConfigPosition, revisionList(h.Revisions), strings.Join(h.Owns, ","),
					time.Duration(h.UptimeSeconds)*time.Second, h.Error)
			}
			return s.print(hosts, t)
		})}
}

func revisionList(revisions map[string]uint64) string {
	var parts []string
	for name, r := range revisions {
		parts = append(parts, fmt.Sprintf("%s=%d", name, r))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

func stateCommand() *cli.Command {
	return &cli.Command{Name: "state", Usage: "print the state dump of one host", ArgsUsage: "HOST",
		Action: withSession(func(ctx context.Context, s *session) error {
			host, err := argument(s.cmd, "HOST")
			if err != nil {
				return err
			}
			var dump any
			if err := s.get(ctx, "/v1/hosts/"+url.PathEscape(host)+"/state", &dump); err != nil {
				return err
			}
			return s.printJSON(dump) // a dump is nested, so it cannot be printed as a table
		})}
}

func refusalCommand() *cli.Command {
	return &cli.Command{Name: "refusal", Usage: "explain refusals", Commands: []*cli.Command{{
		Name: "explain", Usage: "explain why a request was refused", ArgsUsage: "REQUEST-ID",
		Action: withSession(func(ctx context.Context, s *session) error {
			id, err := argument(s.cmd, "REQUEST-ID")
			if err != nil {
				return err
			}
			var doc problem.Document
			if err := s.get(ctx, "/v1/refusals/"+url.PathEscape(id), &doc); err != nil {
				return err
			}
			return s.print(doc, refusalTable(&doc))
		})}}}
}

func refusalTable(d *problem.Document) *table {
	t := &table{header: []string{"FIELD", "VALUE"}}
	t.add("reason", d.Reason)
	t.add("title", d.Title)
	t.add("detail", d.Detail)
	t.add("ran", d.Ran)
	if d.Clause != "" {
		t.add("contract clause", fmt.Sprintf("%s %s (revision %d)", d.Customer, d.Clause, d.Revision))
	}
	if d.Unit != "" {
		t.add("limit", fmt.Sprintf("%v %s", d.Limit, d.Unit))
		t.add("observed", fmt.Sprintf("%v %s", d.Observed, d.Unit))
	}
	if d.RetryAfterMS > 0 {
		t.add("retry after", fmt.Sprintf("%d ms", d.RetryAfterMS))
	}
	t.add("remedy", d.Remedy)
	t.add("host", d.Host)
	t.add("time", d.At.Format(time.RFC3339Nano))
	return t
}

func hostCommand() *cli.Command {
	return &cli.Command{Name: "host", Usage: "take entry hosts out of service and back", Commands: []*cli.Command{
		{Name: "drain", Usage: "let a host finish its requests and accept no new callers", ArgsUsage: "HOST", Action: withSession(hostAction("drain"))},
		{Name: "undrain", Usage: "put a drained host back into service", ArgsUsage: "HOST", Action: withSession(hostAction("undrain"))},
	}}
}

func hostAction(verb string) action {
	return func(ctx context.Context, s *session) error {
		host, err := argument(s.cmd, "HOST")
		if err != nil {
			return err
		}
		var status admin.HostStatus
		if _, err := s.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/"+verb, nil, &status); err != nil {
			return err
		}
		t := &table{header: []string{"HOST", "STATE"}}
		t.add(status.Host, status.State)
		return s.print(status, t)
	}
}

func upstreamsCommand() *cli.Command {
	return &cli.Command{Name: "upstreams", Usage: "list the upstream endpoints known to the queried host",
		Action: withSession(func(ctx context.Context, s *session) error {
			var services map[string][]admin.EndpointStatus
			if err := s.get(ctx, "/v1/upstreams", &services); err != nil {
				return err
			}
			t := &table{header: []string{"SERVICE", "ADDRESS", "INCARNATION", "ZONE", "SLOTS", "STATE"}}
			for _, name := range sortedKeys(services) {
				for _, u := range services[name] {
					t.add(name, u.Address, u.Incarnation, u.Zone, u.Slots, u.State)
				}
			}
			return s.print(services, t)
		})}
}
