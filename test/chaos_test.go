package test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/client"
	spanload "github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

// chaosDeployment starts a deployment of the shape trentvale with three entry hosts. The hosts are connected by relays, which can cut
// or drop their traffic.
func chaosDeployment(t *testing.T, ctx context.Context) *testbed.Deployment {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
	is.NoErr(err)
	d, err := testbed.StartDeployment(ctx, testbed.DeploymentConfig{Shape: testbed.Shapes["trentvale"], Hosts: 3, Bin: bin, Dir: dir,
		Contract: testbed.Example("..", "trentvale"), Work: 5 * time.Millisecond, Seed: 1, AddressLifetimeMS: 500})
	is.NoErr(err)
	t.Cleanup(d.Kill)
	return d
}

// TestOutcomesAreTrueUnderFailures guards guarantees 2 to 4. Hosts are killed, frozen and disconnected, connections between them stop
// delivering data, and upstreams truncate responses or stop responding, under a load of keyed and idempotent requests. The outcomes
// that callers saw are compared with the requests that upstreams ran. The checks count requests and do not depend on timing.
func TestOutcomesAreTrueUnderFailures(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	d := chaosDeployment(t, ctx)
	data, err := os.ReadFile(d.Config.Contract)
	is.NoErr(err)
	doc, err := contract.Decode(data)
	is.NoErr(err)
	ops := spanload.Operations(doc, map[string]float64{"lookup": 1, "reserve": 2, "recall-check": 1})
	plan := spanload.Plan(5, "chaos", ops, 150, 12*time.Second)
	c, err := client.New(client.Config{Hosts: d.Callers(), Customer: "trentvale", Secret: testbed.CustomerSecret})
	is.NoErr(err)
	defer c.Close()
	done := make(chan []spanload.Result, 1)
	go func() {
		done <- spanload.Run(ctx, plan, 1000, func(ctx context.Context, r *spanload.Request) spanload.Outcome { return sendPlanned(ctx, c, r) })
	}()
	wait := func() { time.Sleep(1500 * time.Millisecond) }
	wait()
	is.NoErr(d.SetFaults(ctx, "lotdesk", 0, standin.Faults{CutBodies: true}))
	is.NoErr(d.SetFaults(ctx, "lotdesk", 1, standin.Faults{Silence: standin.SilenceResponse}))
	is.NoErr(d.Hosts[1].Process.Signal(syscall.SIGSTOP))
	wait()
	d.Hosts[2].Process.Kill()
	wait()
	is.NoErr(d.Hosts[1].Process.Signal(syscall.SIGCONT))
	is.NoErr(d.StartHost(d.Hosts[2]))
	wait()
	d.Hosts[0].Relay.SetMode(testbed.MuteReturn)
	wait()
	d.Hosts[0].Relay.SetMode(testbed.Pass)
	for _, h := range d.Hosts {
		h.Relay.Silence()
	}
	d.Hosts[0].Process.Kill()
	is.NoErr(d.StartHost(d.Hosts[0]))
	results := <-done
	is.NoErr(d.AwaitIdle(ctx))
	records, err := d.Records(ctx)
	is.NoErr(err)
	a := spanload.NewAudit(plan, results, records)
	t.Log(a)
	is.True(a.Answered > 0)
	is.True(!a.Off())
}

// sendPlanned sends one planned request and returns its outcome.
func sendPlanned(ctx context.Context, c *client.Client, r *spanload.Request) spanload.Outcome {
	resp, err := c.Do(ctx, &client.Request{Service: r.Op.Service, Method: r.Op.Method, Path: r.Path, Body: r.Body, Idempotent: r.Op.Idempotent,
		Timeout: time.Duration(r.Op.DeadlineMS) * time.Millisecond, RequestID: r.ID})
	if err == nil {
		return spanload.Outcome{Answered: true, Failed: resp.Status >= http.StatusInternalServerError, Body: string(resp.Body), Ran: spanload.RanYes}
	}
	out := spanload.Outcome{Ran: spanload.RanUnknown, Reason: spanload.NoAnswer}
	var failed *client.Error
	if errors.As(err, &failed) {
		out.Ran = spanload.Ran(failed.Ran)
		if failed.Problem != nil {
			out.Reason = string(failed.Problem.Reason)
		}
	}
	return out
}

// TestRestoredLogRevertsNothing guards guarantee 7: no host reports a lower revision of the contract than before, or than another
// host holds. After seven revisions were accepted, the log is restored to its first record while a relay disconnects one host from
// the others. Then each host in turn is killed and started again.
func TestRestoredLogRevertsNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := chaosDeployment(t, ctx)
	for i := range 6 {
		is.NoErr(d.PublishChanged(ctx, d.Hosts[0], func(c *contract.Contract) { c.Services[0].RatePerSecond += float64(i) }))
	}
	is.NoErr(d.AwaitRevision(ctx))
	first := int64(1)
	d.Hosts[1].Relay.SetMode(testbed.Cut)
	is.NoErr(testbed.PutJSON(ctx, d.PlatformURL()+"/standin/log-faults", standin.LogFaults{TruncateTo: &first}))
	d.Hosts[1].Relay.SetMode(testbed.Pass)
	for _, h := range d.Hosts {
		h.Process.Kill()
		is.NoErr(d.StartHost(h))
		is.NoErr(d.AwaitRevision(ctx)) // all hosts get the newest revision from any host that still holds it in memory
		for _, other := range d.Hosts {
			var list admin.ContractList
			is.NoErr(request(ctx, http.DefaultClient, http.MethodGet, other.OperatorURL()+"/v1/contracts", testbed.OperatorToken, &list))
			is.Equal(len(list.Contracts), 1)
			is.True(list.Contracts[0].Revision >= 7)
		}
	}
}

// TestLeavingIsLearnedAcrossCuts guards guarantee 5 across a network partition: a host that was disconnected when an upstream began
// to leave learns this from its peers once it is connected again, even though the host list is unavailable.
func TestLeavingIsLearnedAcrossCuts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := chaosDeployment(t, ctx)
	address := netip.MustParseAddrPort(d.Upstreams["lotdesk"][0]).String()
	marked := func(i int) bool {
		var view struct {
			Marks []struct {
				Address string `json:"address"`
			} `json:"marks"`
		}
		err := request(ctx, http.DefaultClient, http.MethodGet, d.Hosts[i].OperatorURL()+"/v1/members", testbed.OperatorToken, &view)
		return err == nil && len(view.Marks) == 1 && view.Marks[0].Address == address
	}
	is.NoErr(testbed.PutJSON(ctx, d.PlatformURL()+"/standin/hostlist", standin.HostListFaults{Outage: true}))
	d.Hosts[2].Relay.SetMode(testbed.Cut)
	is.NoErr(d.SetFaults(ctx, "lotdesk", 0, standin.Faults{Leaving: true}))
	c, err := client.New(client.Config{Hosts: d.Callers()[:1], Customer: "trentvale", Secret: testbed.CustomerSecret})
	is.NoErr(err)
	defer c.Close()
	is.NoErr(testbed.Eventually(ctx, func() error {
		_, err := c.Do(ctx, &client.Request{Service: "lotdesk", Method: "GET", Path: "/lots/1", Idempotent: true, Timeout: time.Second})
		if err == nil && !marked(0) && !marked(1) {
			err = errors.New("no host has marked the upstream as leaving")
		}
		return err
	}))
	d.Hosts[2].Relay.SetMode(testbed.Pass)
	for i := range d.Hosts {
		is.NoErr(testbed.Eventually(ctx, func() error {
			if !marked(i) {
				return errors.New("the host has not marked the upstream as leaving")
			}
			return nil
		}))
	}
}
