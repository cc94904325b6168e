package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
)

// gatewayFind shows the hosts that received a request.
func gatewayFind(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd, "REQUEST-ID")
	if err != nil {
		return err
	}
	hosts, err := gatewayHosts(ctx, cmd)
	if err != nil {
		return err
	}
	results := queryHosts[gateway.RequestRecord](ctx, cmd, hosts, gateway.RequestsPath+url.PathEscape(id))
	found := []gateway.RequestRecord{}
	t := &table{header: []string{"HOST", "ZONE", "AT", "ARRIVED", "STATE", "STATUS", "TOOK", "REASON", "DETAIL"}}
	for _, r := range results {
		if r.value == nil {
			continue
		}
		v := r.value
		found = append(found, *v)
		t.add(v.Host, v.Zone, r.address, v.Arrived.Format(time.RFC3339Nano), v.State, v.Status, time.Duration(v.TookMS)*time.Millisecond, v.Reason, v.Detail)
	}
	if len(found) == 0 {
		return notKept("request "+id, silentHosts(results))
	}
	return newPrinter(cmd).print(found, t)
}

// gatewayExplain shows the refusal of a request.
func gatewayExplain(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd, "REQUEST-ID")
	if err != nil {
		return err
	}
	hosts, err := gatewayHosts(ctx, cmd)
	if err != nil {
		return err
	}
	results := queryHosts[problem.Document](ctx, cmd, hosts, gateway.RefusalsPath+url.PathEscape(id))
	var printed []error
	for _, r := range results {
		if r.value != nil {
			printed = append(printed, newPrinter(cmd).printJSON(r.value))
		}
	}
	if len(printed) == 0 {
		return notKept("refusal of "+id, silentHosts(results))
	}
	return errors.Join(printed...)
}

// notKept returns the error for something that no host returned. It may still be kept by a host that did not respond.
func notKept(what string, silent []string) error {
	if len(silent) == 0 {
		return &Error{Code: ExitNotFound, Message: fmt.Sprintf("none of the queried hosts keeps the %s; search the hosts' logs for it", what)}
	}
	return &Error{Code: ExitUnavailable, Message: fmt.Sprintf("no host that responded keeps the %s; no answer from %d: %s", what, len(silent), strings.Join(silent, ", "))}
}
