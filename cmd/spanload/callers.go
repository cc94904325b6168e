package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/client"
	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// build compiles the programs into the tree's bin directory, as make build does.
func build(root string) (map[string]string, error) {
	dir, err := filepath.Abs(filepath.Join(root, "bin"))
	if err != nil {
		return nil, err
	}
	return testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
}

// mixes weigh the operations of both example contracts.
var mixes = map[string]map[string]float64{
	"trentvale": {"lookup": 40, "reserve": 20, "price-check": 25, "recall-check": 15},
	"shannon":   {"availability": 40, "book": 15, "pay": 10, "roster": 20, "weather": 15},
}

// operations returns the mix of a customer's example contract.
func operations(path, customer string) ([]load.Operation, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := contract.Decode(data)
	if err != nil {
		return nil, err
	}
	return load.Operations(c, mixes[customer]), nil
}

// callers are the client libraries of several callers' sites, which take turns.
type callers struct {
	clients   []*client.Client
	turn      atomic.Uint64
	directory *spreadDirectory // nil if callers follow the hosts' lists
	distance  time.Duration    // one-way delay to the hosts
}

// newCallers returns n callers, each of which knows all hosts and asks another one first. attemptTimeout is as in
// client.Config.
func newCallers(n int, customer string, hosts []string, attemptTimeout time.Duration) (*callers, error) {
	return newCallersThrough(n, customer, hosts, attemptTimeout, nil)
}

// newCallersThrough is newCallers with the client's Dial.
func newCallersThrough(n int, customer string, hosts []string, attemptTimeout time.Duration, dial func(context.Context, string, string) (net.Conn, error)) (*callers, error) {
	c := &callers{}
	for i := range n {
		k := i % len(hosts)
		one, err := client.New(client.Config{Hosts: append(append([]string{}, hosts[k:]...), hosts[:k]...), Customer: customer, Secret: testbed.CustomerSecret,
			AttemptTimeout: attemptTimeout, Dial: dial})
		if err != nil {
			return nil, err
		}
		c.clients = append(c.clients, one)
	}
	return c, nil
}

// newSpreadCallers returns one caller per host of the deployment, each of which prefers another host, whatever the order in
// which hosts list themselves. attemptTimeout is as in client.Config.
func newSpreadCallers(ctx context.Context, dep *testbed.Deployment, attemptTimeout time.Duration) (*callers, error) {
	customer := dep.Config.Shape.Customer
	d, err := newSpreadDirectory(ctx, customer, dep.Config.Shape.Services[0].Part(0, dep.Config.Split), dep.Callers())
	if err != nil {
		return nil, err
	}
	c := &callers{directory: d}
	for _, url := range d.urls {
		one, err := newCallers(1, customer, []string{url}, attemptTimeout)
		if err != nil {
			c.close()
			return nil, err
		}
		c.clients = append(c.clients, one.clients...)
	}
	return c, nil
}

func (c *callers) close() {
	for _, one := range c.clients {
		one.Close()
	}
	if c.directory != nil {
		c.directory.close()
	}
}

// send makes one planned request. Requests have the contract's deadline, which the client's own time covers. The distance to the
// hosts is waited once in each direction: repeats, questions for addresses and new connections do not travel it again.
func (c *callers) send(ctx context.Context, r *load.Request) load.Outcome {
	if c.travel(ctx) != nil {
		return load.Outcome{Ran: load.RanNo, Reason: "not_started"}
	}
	out := c.do(ctx, r)
	// The outcome is known already: a run that ends early only cuts the way back short.
	_ = c.travel(ctx)
	return out
}

func (c *callers) travel(ctx context.Context) error {
	if c.distance == 0 {
		return nil
	}
	return wait(ctx, c.distance)
}

func (c *callers) do(ctx context.Context, r *load.Request) load.Outcome {
	one := c.clients[c.turn.Add(1)%uint64(len(c.clients))]
	resp, err := one.Do(ctx, &client.Request{Service: r.Op.Service, Method: r.Op.Method, Path: r.Path, Body: r.Body,
		Idempotent: r.Op.Idempotent, Timeout: time.Duration(r.Op.DeadlineMS)*time.Millisecond - 2*c.distance, RequestID: r.ID})
	if err == nil {
		return load.Outcome{Answered: true, Failed: resp.Status >= http.StatusInternalServerError, Body: string(resp.Body), Ran: load.RanYes, Host: resp.Host, Attempts: resp.Attempts}
	}
	var failed *client.Error
	if !errors.As(err, &failed) {
		return load.Outcome{Ran: load.RanUnknown, Reason: err.Error()}
	}
	out := load.Outcome{Ran: load.Ran(failed.Ran), Reason: load.NoAnswer, Host: failed.Host, Attempts: failed.Attempts}
	if failed.Problem != nil {
		out.Reason = string(failed.Problem.Reason)
	}
	return out
}
