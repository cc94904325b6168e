package limits

import (
	"fmt"
	"strings"
)

// deadlineLimit is the prefix of the limit names of deadlines. The name of the operation follows.
const deadlineLimit = "deadline "

// serviceFields maps the name of a limit to the field of the contract's service from which it is derived. contractFields maps it
// to the JSON pointer of a field of the contract itself.
var (
	serviceFields = map[string]string{"rate": "rate_per_second", "burst": "burst", "concurrent": "concurrent", "share": "share",
		"queue_length": "rate_per_second", "retry_percent": "retry_percent", "max_body": "max_body_bytes", "probes_per_host": "measuring"}
	contractFields = map[string]string{"key_window": "/key_window_s", "keys_per_host": "/key_window_s"}
)

// Clauses lists each limit with the contract field from which it is derived. The list is built on each call and not stored: only
// operators request it, and for all contracts it takes more memory than the contracts themselves. A ServiceLimits that was not returned
// by Derive has no clauses.
func (l *ServiceLimits) Clauses() []Clause {
	if l.contract == nil {
		return nil
	}
	s, keyWindow := &l.contract.Services[l.index], float64(l.contract.KeyWindowS)
	out := []Clause{
		{Limit: "rate", Value: l.Rate, Unit: "requests/s", Contract: s.RatePerSecond, Rule: "as stated, over all entry hosts"},
		{Limit: "burst", Value: l.Burst, Unit: "requests", Contract: float64(s.Burst), Rule: "as stated; 0 means a tenth of a second's rate"},
		{Limit: "concurrent", Value: float64(l.Concurrent), Unit: "requests", Contract: float64(s.Concurrent), Rule: "as stated, over all entry hosts"},
		{Limit: "share", Value: float64(l.Share), Contract: float64(s.Share), Rule: "as stated; 0 means 1"},
		{Limit: "queue_length", Value: float64(l.QueueLength), Unit: "requests", Contract: s.RatePerSecond, Rule: "rate times the longest deadline of the operations"},
		{Limit: "retry_percent", Value: float64(l.RetryPercent), Unit: "percent", Contract: float64(s.RetryPercent), Rule: "as stated, of the customer's requests on each host"},
		{Limit: "max_body", Value: float64(l.MaxBodyBytes), Unit: "bytes", Contract: float64(s.MaxBodyBytes), Rule: "as stated; 0 means 65,536"},
		{Limit: "key_window", Value: l.KeyWindow.Seconds(), Unit: "s", Contract: keyWindow, Rule: "as stated; 0 means 600"},
		{Limit: "keys_per_host", Value: float64(l.KeysPerHost), Unit: "keys", Contract: keyWindow, Rule: "rate times key window, at least 1,024"},
		{Limit: "probes_per_host", Value: l.Probes.PerHost, Unit: "probes/s per upstream", Contract: s.Measuring.ProbesPerSecondPerUpstream,
			Rule: "probes_per_second_per_upstream divided by entry_hosts_max; the strictest contract of the service counts"},
	}
	for j := range s.Operations {
		deadline := float64(s.Operations[j].DeadlineMS)
		out = append(out, Clause{Limit: deadlineLimit + s.Operations[j].Name, Value: deadline, Unit: "ms", Contract: deadline, Rule: "as stated; a caller may ask for less"})
	}
	for i := range out {
		out[i].Pointer = l.ClausePointer(out[i].Limit)
	}
	return out
}

// Pointer returns the JSON pointer of a field of the contract's i-th service.
func Pointer(i int, field string) string { return fmt.Sprintf("/services/%d/%s", i, field) }

// ClausePointer returns the JSON pointer of the contract field from which a limit is derived, or an empty string if there is none.
func (l *ServiceLimits) ClausePointer(limit string) string {
	if l.contract == nil {
		return ""
	}
	if operation, ok := strings.CutPrefix(limit, deadlineLimit); ok {
		for j := range l.contract.Services[l.index].Operations {
			if l.contract.Services[l.index].Operations[j].Name == operation {
				return Pointer(l.index, fmt.Sprintf("operations/%d/deadline_ms", j))
			}
		}
		return ""
	}
	if field, ok := serviceFields[limit]; ok {
		return Pointer(l.index, field)
	}
	return contractFields[limit]
}
