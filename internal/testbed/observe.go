package testbed

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// Publish publishes the contract file at path with arbutusctl, through the given host.
func (d *Deployment) Publish(ctx context.Context, h *EntryHost, path string) error {
	cmd := exec.CommandContext(ctx, d.Config.Bin["arbutusctl"], "--host", h.OperatorURL(), "--token", OperatorToken,
		"contract", "apply", "-f", path, "--base", strconv.FormatUint(d.revision, 10))
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("arbutusctl contract apply: %w: %s", err, bytes.TrimSpace(out))
	}
	d.revision++
	return nil
}

// PublishChanged applies change to the contract in DeploymentConfig.Contract and publishes the result. Earlier changes aren't kept.
func (d *Deployment) PublishChanged(ctx context.Context, h *EntryHost, change func(*contract.Contract)) error {
	data, err := os.ReadFile(d.Config.Contract)
	if err != nil {
		return err
	}
	doc, err := contract.Decode(data)
	if err != nil {
		return err
	}
	change(doc)
	path, err := WriteJSON(d.Config.Dir, fmt.Sprintf("%s-%d.json", d.Config.Shape.Customer, d.revision+1), doc)
	if err != nil {
		return err
	}
	return d.Publish(ctx, h, path)
}

// AwaitRevision waits until every running host has the last published revision and is ready.
func (d *Deployment) AwaitRevision(ctx context.Context) error {
	for _, h := range d.Hosts {
		if h.Process.Ended() {
			continue
		}
		err := Eventually(ctx, func() error {
			var entry struct {
				Revision uint64 `json:"revision"`
			}
			if err := h.getFromOperatorPort(ctx, "/v1/contracts/"+d.Config.Shape.Customer, &entry); err != nil {
				return err
			}
			if entry.Revision < d.revision {
				return fmt.Errorf("%s is at revision %d, %d was published", h.Name, entry.Revision, d.revision)
			}
			return h.getFromOperatorPort(ctx, "/readyz", nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// AwaitMembers waits until the member list of every host shows all hosts as serving and none as suspected.
func (d *Deployment) AwaitMembers(ctx context.Context) error {
	for _, h := range d.Hosts {
		err := Eventually(ctx, func() error {
			var view struct {
				Members []struct {
					Host      string `json:"host"`
					State     string `json:"state"`
					Suspected bool   `json:"suspected"`
				} `json:"members"`
			}
			if err := h.getFromOperatorPort(ctx, "/v1/members", &view); err != nil {
				return err
			}
			serving := map[string]bool{}
			for _, m := range view.Members {
				serving[m.Host] = m.State == membership.Serving.String() && !m.Suspected
			}
			for _, other := range d.Hosts {
				if !serving[other.Name] {
					return fmt.Errorf("the member list of %s does not show %s as serving", h.Name, other.Name)
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// PutHostList replaces the platform's host list.
func (d *Deployment) PutHostList(ctx context.Context, hosts []platform.Host) error {
	return PutJSON(ctx, d.PlatformURL()+"/v1/hosts", map[string]any{"hosts": hosts})
}

// SetFaults replaces the faults of one upstream endpoint.
func (d *Deployment) SetFaults(ctx context.Context, service string, endpoint int, f standin.Faults) error {
	return PutJSON(ctx, "http://"+d.Upstreams[service][endpoint]+"/standin/faults", f)
}

// Records returns the requests that ran on all upstream endpoints.
func (d *Deployment) Records(ctx context.Context) ([]standin.Record, error) {
	return collectFromEndpoints[standin.Record](ctx, d, "records", func(got *[]standin.Record) []standin.Record { return *got })
}

// Arrivals returns the requests and health probes that reached each upstream endpoint, by address.
func (d *Deployment) Arrivals(ctx context.Context) (map[string][]standin.Arrival, error) {
	out := map[string][]standin.Arrival{}
	for _, addresses := range d.Upstreams {
		for _, address := range addresses {
			var got []standin.Arrival
			if err := GetJSON(ctx, "http://"+address+"/standin/arrivals", &got); err != nil {
				return nil, err
			}
			out[address] = got
		}
	}
	return out, nil
}

// Stats returns the stats of all upstream endpoints, in no particular order.
func (d *Deployment) Stats(ctx context.Context) ([]standin.Stats, error) {
	return collectFromEndpoints[standin.Stats](ctx, d, "stats", func(got *standin.Stats) []standin.Stats { return []standin.Stats{*got} })
}

// AwaitIdle waits until no upstream endpoint has a request in flight or waiting.
func (d *Deployment) AwaitIdle(ctx context.Context) error {
	return Eventually(ctx, func() error {
		all, err := d.Stats(ctx)
		if err != nil {
			return err
		}
		for _, s := range all {
			if s.InFlight+s.Waiting > 0 {
				return fmt.Errorf("an endpoint has %d requests in flight and %d waiting", s.InFlight, s.Waiting)
			}
		}
		return nil
	})
}

// collectFromEndpoints reads a document under /standin/ from every upstream endpoint. It returns the items that itemsOf takes from
// each document, in one list.
func collectFromEndpoints[T, D any](ctx context.Context, d *Deployment, document string, itemsOf func(*D) []T) ([]T, error) {
	var out []T
	for _, addresses := range d.Upstreams {
		for _, address := range addresses {
			var got D
			if err := GetJSON(ctx, "http://"+address+"/standin/"+document, &got); err != nil {
				return nil, err
			}
			out = append(out, itemsOf(&got)...)
		}
	}
	return out, nil
}

// Callers returns the addresses on which the hosts accept callers.
func (d *Deployment) Callers() []string {
	var out []string
	for _, h := range d.Hosts {
		out = append(out, h.Caller())
	}
	return out
}

// Logs returns the output of all processes.
func (d *Deployment) Logs() string {
	var b strings.Builder
	for _, p := range d.processes() {
		fmt.Fprintf(&b, "--- %s\n%s", p.Name, p.Log())
	}
	return b.String()
}

func (d *Deployment) processes() []*Process {
	var out []*Process
	for _, h := range d.Hosts {
		if h.Process != nil {
			out = append(out, h.Process)
		}
	}
	out = append(out, d.upstreamProcesses...)
	if d.platformProcess != nil {
		out = append(out, d.platformProcess)
	}
	return out
}
