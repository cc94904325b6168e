package ctl

import (
	"context"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
)

// gatewayCommand inspects hosts that run `arbutusspan gateway`. Any of these hosts lists the others for --from; --at and --at-file name hosts
// one by one.
func gatewayCommand() *cli.Command {
	compareFlags := append(gatewayTargets(),
		&cli.DurationFlag{Name: "max-age", Usage: "report hosts whose copy of the store is older than this `TIME`", Value: defaultMaxAge},
		&cli.BoolFlag{Name: "all", Usage: "show the hosts that agree, too"})
	return &cli.Command{Name: "gateway", Usage: "inspect entry hosts on the users' platform", Commands: []*cli.Command{
		{Name: "status", Usage: "show the configuration in force, its age, the endpoints and the load of each host", Flags: gatewayTargets(), Action: gatewayStatus},
		{Name: "compare", Usage: "show the hosts that differ in configuration, age of the endpoints or health of their store connection", Flags: compareFlags, Action: gatewayCompare},
		{Name: "endpoints", Usage: "show the endpoints and their load as known to each host", Flags: gatewayTargets(), Action: gatewayEndpoints},
		{Name: "zones", Usage: "show the availability zones of the endpoints, and which are evacuated, as known to each host", Flags: gatewayTargets(), Action: gatewayZones},
		{Name: "customers", Usage: "show customers: keys by fingerprint, limit, who coordinates it and who holds permits, refusals by reason", ArgsUsage: "[NAME]",
			Flags: gatewayTargets(), Action: gatewayCustomers},
		{Name: "find", Usage: "show which host received a request and how it ended", ArgsUsage: "REQUEST-ID", Flags: gatewayTargets(), Action: gatewayFind},
		{Name: "explain", Usage: "explain why a request was refused", ArgsUsage: "REQUEST-ID", Flags: gatewayTargets(), Action: gatewayExplain},
	}}
}

// hostDump is the dump of one host, or the error that occurred while it was fetched.
type hostDump struct {
	At    string        `json:"at"`
	Name  string        `json:"name,omitempty"` // name under which another host lists it
	Dump  *gateway.Dump `json:"dump,omitempty"`
	Error string        `json:"error,omitempty"`
}

func newHostDump(r hostResult[gateway.Dump]) hostDump {
	d := hostDump{At: r.address, Name: r.name, Dump: r.value}
	if r.err != nil {
		d.Error = r.err.Error()
	}
	return d
}

// fetchDumps fetches the dumps of all hosts from the given path. A host that does not respond gets an entry with the error.
func fetchDumps(ctx context.Context, cmd *cli.Command, path string) ([]hostDump, error) {
	hosts, err := gatewayHosts(ctx, cmd)
	if err != nil {
		return nil, err
	}
	var list []hostDump
	for _, r := range queryHosts[gateway.Dump](ctx, cmd, hosts, path) {
		list = append(list, newHostDump(r))
	}
	return list, nil
}

// checkAnyResponded returns an error if no host responded.
func checkAnyResponded(list []hostDump) error {
	for _, d := range list {
		if d.Dump != nil {
			return nil
		}
	}
	return &Error{Code: ExitUnavailable, Message: "no host responded; check the addresses"}
}

func gatewayStatus(ctx context.Context, cmd *cli.Command) error {
	list, err := fetchDumps(ctx, cmd, gateway.SummaryPath)
	if err != nil {
		return err
	}
	t := &table{header: []string{"AT", "HOST", "ZONE", "READY", "CONFIG", "STORE AGE", "ENDPOINTS", "LIVE HOSTS", "ACTIVE", "UPTIME", "ERROR"}}
	for _, d := range list {
		if d.Dump == nil {
			t.add(d.At, d.Name, "", "", "", "", "", "", "", "", d.Error)
			continue
		}
		t.add(d.At, d.Dump.Host, d.Dump.Zone, d.Dump.Ready, d.Dump.ConfigurationVersion, copyAge(d.Dump),
			d.Dump.EndpointCount, len(d.Dump.LiveHosts), d.Dump.ActiveRequests, time.Duration(d.Dump.UptimeSeconds)*time.Second, "")
	}
	return errors.Join(newPrinter(cmd).print(list, t), checkAnyResponded(list))
}

func gatewayEndpoints(ctx context.Context, cmd *cli.Command) error {
	list, err := fetchDumps(ctx, cmd, gateway.DumpPath)
	if err != nil {
		return err
	}
	t := &table{header: []string{"HOST", "SERVICE", "ENDPOINT", "ADDRESS", "ZONE", "SLOTS", "RUNNING", "WAITING", "SLOWNESS", "LOAD AGE MS", "FAILING", "SUSPECT",
		"COLD MS", "COLD PER S"}}
	for _, d := range list {
		if d.Dump == nil {
			continue
		}
		for _, e := range d.Dump.Endpoints {
			t.add(d.Dump.Host, e.Service, e.Name, e.Address, e.Zone, e.Slots, e.Running, e.Waiting, e.Slowness, e.LoadAgeMS,
				e.FailureRate, e.Suspect, e.ColdMS, e.ColdPerSecond)
		}
	}
	return errors.Join(newPrinter(cmd).print(list, t), checkAnyResponded(list))
}

func gatewayZones(ctx context.Context, cmd *cli.Command) error {
	list, err := fetchDumps(ctx, cmd, gateway.SummaryPath)
	if err != nil {
		return err
	}
	t := &table{header: []string{"HOST", "ZONE", "ENDPOINTS", "EVACUATED", "FOR", "ERROR"}}
	for _, d := range list {
		if d.Dump == nil {
			t.add(d.Name, "", "", "", "", d.Error)
			continue
		}
		for _, z := range d.Dump.Zones {
			since := ""
			if z.Evacuated {
				since = (time.Duration(z.EvacuatedMS) * time.Millisecond).String()
			}
			t.add(d.Dump.Host, z.Zone, z.Endpoints, z.Evacuated, since, "")
		}
	}
	return errors.Join(newPrinter(cmd).print(list, t), checkAnyResponded(list))
}
