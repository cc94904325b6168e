// Package limits derives all enforced limits from the contracts in force, and provides the token bucket that enforces rates.
package limits

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// ServiceLimits holds the limits of one customer on one service. Each limit applies to the sum over all entry hosts unless its name or
// comment says otherwise.
type ServiceLimits struct {
	Customer     string
	Name         string
	Rate         float64       // requests per second
	Burst        float64       // requests
	Concurrent   int           // requests in progress at upstreams at one time
	Share        int           // weight in the fair division of the service's capacity when demand exceeds it
	QueueLength  int           // waiting requests
	RetryPercent int           // retries as a percentage of the customer's requests on a host
	MaxBodyBytes int64         // bytes of a request body
	KeyWindow    time.Duration // how long an idempotency key is remembered after the end of its epoch (docs/design.md, section 7)
	KeysPerHost  int           // idempotency keys remembered by one host
	Probes       ProbeBudget   // the lowest of all contracts for the service

	contract *contract.Contract // source of the limits
	index    int                // of the service in contract.Services
}

// ProbeBudget limits the probes to one upstream, in probes per second.
type ProbeBudget struct {
	PerHost float64 // by one entry host
	Total   float64 // by all entry hosts together
}

// Rate returns the probes per second that one host may send to one upstream. hostsSeen is the number of entry hosts that it knows.
// If there are more hosts than the contract's entry_hosts_max, the total is divided by their actual number.
func (b ProbeBudget) Rate(hostsSeen int) float64 {
	return min(b.PerHost, b.Total/float64(max(1, hostsSeen)))
}

// Clause describes an enforced limit and the contract field from which it is derived.
type Clause struct {
	Limit    string  `json:"limit"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Pointer  string  `json:"clause"` // JSON pointer into the contract
	Contract float64 `json:"contract_value"`
	Rule     string  `json:"rule"` // how Value is derived from Contract
}

// Key identifies the limits of one customer on one service.
type Key struct{ Customer, Service string }

// Set holds the limits of all customers. It is not modified after Derive has returned it.
type Set map[Key]*ServiceLimits

const (
	// defaultBurstS is the default burst, in seconds of the rate.
	defaultBurstS = 0.1
	// minKeysPerHost is the lower bound of KeysPerHost. Without it, a customer with a low rate could remember only a few keys.
	minKeysPerHost = 1024
)

// Derive computes all limits from the contracts in force. It is a pure function of its argument.
func Derive(contracts []*contract.Contract) Set {
	set := Set{}
	probes := probeBudgets(contracts)
	for _, c := range contracts {
		for i := range c.Services {
			set[Key{c.Customer, c.Services[i].Name}] = deriveService(c, i, probes[c.Services[i].Name])
		}
	}
	return set
}

// probeBudgets returns the probe budget of each service. All customers of a service share its upstreams, so the budget is the
// lowest that any of their contracts states.
func probeBudgets(contracts []*contract.Contract) map[string]ProbeBudget {
	budgets := map[string]ProbeBudget{}
	for _, c := range contracts {
		for i := range c.Services {
			s := &c.Services[i]
			total := s.Measuring.ProbesPerSecondPerUpstream
			b := ProbeBudget{PerHost: total / float64(max(1, s.Measuring.EntryHostsMax)), Total: total}
			if old, ok := budgets[s.Name]; ok {
				b = ProbeBudget{PerHost: min(b.PerHost, old.PerHost), Total: min(b.Total, old.Total)}
			}
			budgets[s.Name] = b
		}
	}
	return budgets
}

func deriveService(c *contract.Contract, i int, probes ProbeBudget) *ServiceLimits {
	s := &c.Services[i]
	l := &ServiceLimits{
		Customer: c.Customer, Name: s.Name,
		Rate: s.RatePerSecond, Burst: float64(s.Burst), Concurrent: s.Concurrent,
		Share: s.Share, RetryPercent: s.RetryPercent, MaxBodyBytes: s.MaxBodyBytes,
		KeyWindow: time.Duration(c.KeyWindowS) * time.Second, Probes: probes, contract: c, index: i,
	}
	if l.Burst == 0 {
		l.Burst = math.Max(1, math.Ceil(s.RatePerSecond*defaultBurstS))
	}
	if l.Share == 0 {
		l.Share = contract.DefaultShare
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = contract.DefaultMaxBodyBytes
	}
	if l.KeyWindow == 0 {
		l.KeyWindow = contract.DefaultKeyWindowS * time.Second
	}
	l.QueueLength = max(1, int(math.Ceil(s.RatePerSecond*longestDeadline(s).Seconds())))
	l.KeysPerHost = max(minKeysPerHost, int(math.Ceil(s.RatePerSecond*l.KeyWindow.Seconds())))
	return l
}

func longestDeadline(s *contract.Service) time.Duration {
	longest := slices.MaxFunc(s.Operations, func(a, b contract.Operation) int { return a.DeadlineMS - b.DeadlineMS })
	return time.Duration(longest.DeadlineMS) * time.Millisecond
}
