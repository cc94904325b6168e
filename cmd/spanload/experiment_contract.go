package main

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// experimentContract changes a customer's example contract for one variant's deployment. The examples allow as many
// concurrent requests as the slots and a prefetch depth of 1 hold, which would cap a deeper prefetch. A service that runs as
// several services gets its limits divided by endpoints.
func experimentContract(c *contract.Contract, shape testbed.Shape, split, prefetch int) error {
	var services []contract.Service
	for _, s := range c.Services {
		of := shape.Service(s.Name)
		if of == nil {
			return fmt.Errorf("the contract of %s names service %q, which its shape lacks", c.Customer, s.Name)
		}
		s.Concurrent = max(s.Concurrent, of.Endpoints*(of.Slots+prefetch))
		services = append(services, splitService(s, of, split)...)
	}
	c.Services = services
	return nil
}

// splitService returns the parts of a service, with whole numbers rounded up.
func splitService(s contract.Service, shape *testbed.ServiceShape, split int) []contract.Service {
	endpoints := map[string]int{}
	var names []string
	for e := range shape.Endpoints {
		name := shape.Part(e, split)
		if endpoints[name] == 0 {
			names = append(names, name)
		}
		endpoints[name]++
	}
	part := func(whole, endpoints int) int { return (whole*endpoints + shape.Endpoints - 1) / shape.Endpoints }
	var out []contract.Service
	for _, name := range names {
		n := endpoints[name]
		one := s
		one.Name, one.RatePerSecond = name, s.RatePerSecond*float64(n)/float64(shape.Endpoints)
		one.Burst, one.Concurrent = part(s.Burst, n), part(s.Concurrent, n)
		out = append(out, one)
	}
	return out
}

// splitRequests sends each request to one part of its service, at random by endpoints. The arrivals stay the same.
func splitRequests(seed uint64, plan []load.Request, shape testbed.Shape, split int) []load.Request {
	if split <= 1 {
		return plan
	}
	rng := rand.New(rand.NewPCG(seed, 2)) // load.Plan uses the stream 1
	out := slices.Clone(plan)
	for i := range out {
		of := shape.Service(out[i].Op.Service)
		op := *out[i].Op
		op.Service = of.Part(rng.IntN(of.Endpoints), split)
		out[i].Op = &op
	}
	return out
}
