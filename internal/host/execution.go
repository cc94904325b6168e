package host

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/keys"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerrpc"
)

// newExecutor returns the executor of callers' requests. If relay is nil, requests whose idempotency key belongs to another host are
// refused.
func (h *Host) newExecutor(granter dispatch.Granter, relay executor.Relayer) *executor.Executor {
	h.keys = keys.NewTable(keys.Config{Host: h.settings.Host, Incarnation: h.Incarnation(), Origin: h.member.started})
	x := executor.New(executor.Config{Granter: granter, Sender: h.pool, Leaving: h.table, Keys: h.keys, Relay: relay,
		Hedge: h.settings.Hedge, Metrics: h.metrics})
	h.relayServer = &wire.RelayServer{Executor: x, Resolve: h.resolve, MayBeCut: h.mayBeCut}
	return x
}

// resolve finds the operation of a relayed request in the contracts in force.
func (h *Host) resolve(customer, service, operation string) (*contract.Operation, *limits.ServiceLimits) {
	inForce := h.customers.Load().ByName[customer]
	if inForce == nil {
		return nil, nil
	}
	contracted := inForce.Contract.Service(service)
	if contracted == nil {
		return nil, nil
	}
	i := slices.IndexFunc(contracted.Operations, func(op contract.Operation) bool { return op.Name == operation })
	if i < 0 {
		return nil, nil
	}
	return &contracted.Operations[i], inForce.Limits[limits.Key{Customer: customer, Service: service}]
}

const sweepInterval = 5 * time.Second

// sweep periodically closes idle upstream connections and removes expired idempotency keys, until the context ends.
func (h *Host) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			h.keys.Sweep(now)
			h.pool.CloseIdle(now)
		}
	}
}

// relayCaller implements wire.RelayCaller with the peer connections. It returns a wire.RelayNotSentError if the call certainly did not
// reach the other host.
type relayCaller struct{ peers *peerrpc.Peers }

// Call implements wire.RelayCaller.
func (c relayCaller) Call(ctx context.Context, host, method string, in, out any) error {
	err := c.peers.Call(ctx, host, method, in, out)
	if err != nil && !peerrpc.MayHaveReached(err) {
		return &wire.RelayNotSentError{Err: err}
	}
	return err
}
