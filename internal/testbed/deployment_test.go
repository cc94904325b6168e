package testbed_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/client"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// TestDeployment guards against a deployment that does not serve requests, loses records, or leaves processes running after Stop.
func TestDeployment(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
	is.NoErr(err)
	d, err := testbed.StartDeployment(ctx, testbed.DeploymentConfig{Shape: testbed.Shapes["trentvale"], Hosts: 3, Bin: bin, Dir: dir,
		Contract: testbed.Example("../..", "trentvale"), Seed: 1, AddressLifetimeMS: 100})
	is.NoErr(err)
	defer d.Kill()
	is.NoErr(d.PublishChanged(ctx, d.Hosts[1], func(c *contract.Contract) { c.Services[0].RatePerSecond++ }))
	is.NoErr(d.AwaitRevision(ctx))
	is.NoErr(d.AwaitMembers(ctx))

	c, err := client.New(client.Config{Hosts: d.Callers(), Customer: "trentvale", Secret: testbed.CustomerSecret})
	is.NoErr(err)
	defer c.Close()
	resp, err := c.Do(ctx, &client.Request{Service: "lotdesk", Method: http.MethodPost, Path: "/reservations", Body: []byte("lot 17"),
		RequestID: "r1"})
	is.NoErr(err)
	is.Equal(string(resp.Body), "POST /reservations r1 lot 17")
	is.NoErr(d.AwaitIdle(ctx))
	records, err := d.Records(ctx)
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.Equal(records[0].RequestID, "r1")
	is.NoErr(d.SetFaults(ctx, "lotdesk", 14, standin.Faults{FailFast: true}))

	is.NoErr(d.Stop(ctx))
	for _, h := range d.Hosts {
		is.True(h.Process.Ended())
	}
	_, err = d.Stats(ctx)
	is.True(err != nil) // the stand-ins have stopped too
}
