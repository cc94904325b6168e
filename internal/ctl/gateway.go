package ctl

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
)

// gatewayCommand inspects hosts that run `arbutusspan gateway`. These hosts have no common directory for operators, so --at
// lists the hosts to query.
func gatewayCommand() *cli.Command {
	at := &cli.StringSliceFlag{Name: "at", Usage: "metrics `ADDRESS` (IP:port) of a host; repeat it for more hosts", Required: true}
	return &cli.Command{Name: "gateway", Usage: "inspect entry hosts on the users' platform", Commands: []*cli.Command{
		{Name: "status", Usage: "show the configuration in force, its age, the endpoints and the load of each host", Flags: []cli.Flag{at}, Action: gatewayStatus},
		{Name: "endpoints", Usage: "show the endpoints and their load as known to each host", Flags: []cli.Flag{at}, Action: gatewayEndpoints},
		{Name: "explain", Usage: "explain why a request was refused", ArgsUsage: "REQUEST-ID", Flags: []cli.Flag{at}, Action: gatewayExplain},
	}}
}

// hostDump is the dump of one host, or the error that occurred while it was fetched.
type hostDump struct {
	At    string        `json:"at"`
	Dump  *gateway.Dump `json:"dump,omitempty"`
	Error string        `json:"error,omitempty"`
}

// fetchDumps fetches the dumps of all hosts. A host that does not respond gets an entry with the error.
func fetchDumps(ctx context.Context, cmd *cli.Command) []hostDump {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	var list []hostDump
	for _, address := range cmd.StringSlice("at") {
		d := hostDump{At: address, Dump: &gateway.Dump{}}
		if err := gatewayClient(address).get(ctx, gateway.DumpPath, d.Dump); err != nil {
			d.Dump, d.Error = nil, err.Error()
		}
		list = append(list, d)
	}
	return list
}

func gatewayClient(address string) *client {
	return &client{hosts: []string{"http://" + address}, http: &http.Client{}}
}

// checkAnyResponded returns an error if no host responded.
func checkAnyResponded(list []hostDump) error {
	for _, d := range list {
		if d.Dump != nil {
			return nil
		}
	}
	return &Error{Code: ExitUnavailable, Message: "no host responded; check the addresses given with --at"}
}

func gatewayStatus(ctx context.Context, cmd *cli.Command) error {
	list := fetchDumps(ctx, cmd)
	t := &table{header: []string{"AT", "HOST", "ZONE", "READY", "CONFIG", "STORE AGE", "ENDPOINTS", "LIVE HOSTS", "ACTIVE", "UPTIME", "ERROR"}}
	for _, d := range list {
		if d.Dump == nil {
			t.add(d.At, "", "", "", "", "", "", "", "", "", d.Error)
			continue
		}
		t.add(d.At, d.Dump.Host, d.Dump.Zone, d.Dump.Ready, d.Dump.ConfigurationVersion, time.Duration(d.Dump.StoreAgeMS)*time.Millisecond,
			len(d.Dump.Endpoints), len(d.Dump.LiveHosts), d.Dump.ActiveRequests, time.Duration(d.Dump.UptimeSeconds)*time.Second, "")
	}
	return errors.Join(newPrinter(cmd).print(list, t), checkAnyResponded(list))
}

func gatewayEndpoints(ctx context.Context, cmd *cli.Command) error {
	list := fetchDumps(ctx, cmd)
	t := &table{header: []string{"HOST", "SERVICE", "ENDPOINT", "ADDRESS", "ZONE", "SLOTS", "RUNNING", "WAITING", "SLOWNESS", "LOAD AGE MS", "FAILING", "SUSPECT"}}
	for _, d := range list {
		if d.Dump == nil {
			continue
		}
		for _, e := range d.Dump.Endpoints {
			t.add(d.Dump.Host, e.Service, e.Name, e.Address, e.Zone, e.Slots, e.Running, e.Waiting, e.Slowness, e.LoadAgeMS,
				e.FailureRate, e.Suspect)
		}
	}
	return errors.Join(newPrinter(cmd).print(list, t), checkAnyResponded(list))
}

func gatewayExplain(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd, "REQUEST-ID")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	failed := error(&Error{Code: ExitNotFound, Message: "none of the queried hosts has kept a refusal of " + id + "; search the hosts' logs for it"})
	for _, address := range cmd.StringSlice("at") {
		var doc problem.Document
		err := gatewayClient(address).get(ctx, gateway.RefusalsPath+url.PathEscape(id), &doc)
		if err == nil {
			return newPrinter(cmd).printJSON(doc)
		}
		if e := new(Error); !errors.As(err, &e) || e.Code != ExitNotFound {
			failed = err
		}
	}
	return failed
}
