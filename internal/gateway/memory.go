package gateway

import (
	"net"
	"net/netip"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
)

// Fractions of the process's memory. The heap is limited to heapFraction of it (the Go runtime keeps to that by collecting garbage more often), large
// bodies are kept outside the heap, and the rest is for the program itself. On the smallest host, 184 MiB, one body of 64 MiB fits.
const (
	heapFraction = 0.55
	// clientHeapFraction bounds what clients may take of the heap in all.
	clientHeapFraction = 0.30
	connectionFraction = 0.20
	headFraction       = 0.08
	smallBodyFraction  = 0.08
	largeBodyFraction  = 0.36
	responseFraction   = 0.15
	// responseHeadFraction is for what has arrived of large heads of endpoints' responses that are not complete, and the same of other hosts' responses.
	// Decoded, it takes up to twice the memory.
	responseHeadFraction = 0.03
	// hopBodyFraction is for the bodies of requests that other hosts got, small and large ones each, and hopHeadFraction for their heads.
	hopBodyFraction = 0.05
	hopHeadFraction = 0.02
	// unusedRecordsFraction is for the unconfirmed records of the endpoint topic, and the same for the keys of invalid ones.
	unusedRecordsFraction = 0.02
)

// maxUnusedRecords bounds what unusedRecordsFraction gives on large hosts, in bytes. A state with as much has to fit into maxStateBytes.
const maxUnusedRecords = 4 << 20

// pipelinedPerCore and minPipelined bound the requests that run while an earlier one of their connection is unanswered. Callers that send many without
// reading the responses then get one answered at a time, and leave the endpoints to others.
//
// pipelinedPerCoreS bounds the rate at which requests are read that were sent without waiting for the response before. A host forwards about 1,000 requests a
// second with a core, so it binds only if they are refused at once, which costs callers that don't read nothing and would take all of the
// processor.
const (
	pipelinedPerCore  = 400
	minPipelined      = 64
	pipelinedPerCoreS = 1500
)

// newMemoryBudget returns the budget for what callers of a process with the given memory in MiB may take.
func newMemoryBudget(memoryMB float64) *membudget.Budget {
	part := func(fraction float64) int64 { return int64(memoryMB * fraction * mebibyte) }
	return membudget.New(membudget.Limits{Heap: part(clientHeapFraction), Connections: part(connectionFraction), Heads: part(headFraction),
		SmallBodies: part(smallBodyFraction), LargeBodies: part(largeBodyFraction), Responses: part(responseFraction)})
}

// newHopBudget returns the budget for the requests that other hosts got. Callers that fill their part of the memory leave this to other hosts.
func newHopBudget(memoryMB float64) *membudget.Budget {
	part := func(fraction float64) int64 { return int64(memoryMB * fraction * mebibyte) }
	return membudget.New(membudget.Limits{Heads: part(hopHeadFraction), SmallBodies: part(hopBodyFraction), LargeBodies: part(hopBodyFraction),
		NoShares: true})
}

// maxUnfinishedHeads returns the limit on unfinished heads of responses, in bytes, of a process with the given memory in MiB.
func maxUnfinishedHeads(memoryMB float64) int64 {
	return int64(memoryMB * responseHeadFraction * mebibyte)
}

// maxUnusedBytes returns follow.Config.MaxUnusedBytes of a process with the given memory in MiB.
func maxUnusedBytes(memoryMB float64) int {
	return min(maxUnusedRecords, int(memoryMB*unusedRecordsFraction*mebibyte))
}

// reserveResponse reserves memory for n more bytes of responses that are read before they are passed on. It returns false if there is none left.
func (g *Gateway) reserveResponse(n int64) bool {
	return g.memory.Reserve(membudget.Responses, netip.Addr{}, g.memory.Limit(membudget.Responses), n)
}

// releaseResponse gives back memory that reserveResponse reserved.
func (g *Gateway) releaseResponse(n int64) { g.memory.Release(membudget.Responses, netip.Addr{}, n) }

// NeedsBody implements ingress.BodyFilter. The bodies of requests that are refused in any case are not kept.
func (g *Gateway) NeedsBody(r *ingress.Request) bool {
	table := g.routes.Load()
	if table == nil {
		return false
	}
	route := table.Match(r.Host, r.Path)
	return route != nil && g.identify(table, route, r.Header[g.adapter.Dialect.CustomerKey]).refusal == nil
}

// reportEvicted counts and logs a connection, or a request whose body is being read, that made room for others.
func (g *Gateway) reportEvicted(caller net.Addr, e ingress.Eviction) {
	g.metrics.Add("connections_evicted_"+string(e)+"_total", 1)
	g.log.Info("evicted", "caller", caller.String(), "why", string(e), "connections", g.callers.Connections())
}

// reportClosed counts and logs a connection that was closed although bytes had arrived on it that belong to no answered request.
func (g *Gateway) reportClosed(c ingress.ClosedConn) {
	g.metrics.Add("connections_closed_unanswered_"+string(c.Reason)+"_total", 1)
	g.log.Info("connection_closed", "id", c.Header.Get(g.adapter.Dialect.RequestID), "caller", c.Caller.String(), "why", string(c.Reason),
		"requests", c.Requests, "unread_bytes", c.Unread, "dropped", c.Dropped, "open_ms", ms(c.OpenFor), "idle_ms", ms(c.IdleFor))
}

// registerMemoryGauges registers the metrics of the memory budget.
func (g *Gateway) registerMemoryGauges() {
	for _, k := range membudget.Kinds() {
		g.metrics.Gauge("memory_"+k.String()+"_bytes", func() any { return g.memory.Used(k) })
		g.metrics.Gauge("memory_"+k.String()+"_refused_total", func() any { return g.memory.Refused(k) })
	}
}
