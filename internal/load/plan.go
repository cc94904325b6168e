// Package load plans and runs open-loop load. It records latencies from the intended start of each request, compares the
// outcomes that callers saw with the requests that upstreams ran, and simulates a reference scheduler as a baseline.
package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// Operation is one operation of a contract with its share in a mix of requests.
type Operation struct {
	contract.Operation
	Customer string
	Service  string
	Weight   float64 // share in the mix, relative to the weights of the other operations
}

// Operations returns the operations of a contract with the given weights by name. Operations without a positive weight are left out.
func Operations(c *contract.Contract, weights map[string]float64) []Operation {
	var out []Operation
	for _, s := range c.Services {
		for _, op := range s.Operations {
			if w := weights[op.Name]; w > 0 {
				out = append(out, Operation{Operation: op, Customer: c.Customer, Service: s.Name, Weight: w})
			}
		}
	}
	return out
}

// Request is one planned request.
type Request struct {
	At   time.Duration // intended start, from the start of the run
	Op   *Operation
	ID   string // unique across all plans with different names
	Path string
	Body []byte
}

// Want returns the response body that the upstream stand-in sends for this request.
func (r *Request) Want() string {
	return fmt.Sprintf("%s %s %s %s", r.Op.Method, r.Path, r.ID, r.Body)
}

// Plan returns requests with Poisson arrivals at a rate in requests per second, over a length of time. The same arguments give the
// same plan.
func Plan(seed uint64, name string, ops []Operation, rate float64, length time.Duration) []Request {
	rng := rand.New(rand.NewPCG(seed, 1))
	totalWeight := 0.0
	for _, op := range ops {
		totalWeight += op.Weight
	}
	var out []Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		r := Request{At: at, Op: drawOperation(rng, ops, totalWeight), ID: fmt.Sprintf("%s-%d", name, len(out))}
		r.Path = r.Op.Path
		if strings.HasSuffix(r.Path, "/") {
			r.Path += fmt.Sprint(rng.IntN(10_000))
		}
		if !r.Op.Idempotent {
			r.Body = fmt.Appendf(nil, `{"order":%q}`, r.ID)
		}
		out = append(out, r)
	}
}

func drawOperation(rng *rand.Rand, ops []Operation, total float64) *Operation {
	x := rng.Float64() * total
	for i := range ops {
		if x -= ops[i].Weight; x < 0 {
			return &ops[i]
		}
	}
	return &ops[len(ops)-1]
}

// Merge returns the requests of several plans, ordered by intended start.
func Merge(plans ...[]Request) []Request {
	out := slices.Concat(plans...)
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}
