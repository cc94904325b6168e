package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// contactInterval is the interval between checks for datagrams from other hosts. It is short compared with the 5 s without contact
// after which a host is isolated.
const contactInterval = 250 * time.Millisecond

// reportContact tells the configuration follower when valid datagrams from other hosts have arrived.
func (h *Host) reportContact(ctx context.Context) {
	tick := time.NewTicker(contactInterval)
	defer tick.Stop()
	stats := h.member.node.Stats()
	var lastAccepted int64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if accepted := stats.Received.Load() - stats.Rejected.Load(); accepted != lastAccepted {
				lastAccepted = accepted
				h.follower.RecordContact(now)
			}
		}
	}
}

// retryAfterDelay is the delay after which a caller may send a refused request to this host again. It may send it to another host at once.
const retryAfterDelay = time.Second

// admit returns the refusal for new requests if this host cannot accept any at present, otherwise nil.
func (h *Host) admit() *refusals.Refusal {
	switch h.lifecycle.Current() {
	case StateStarting, StateCatchingUp:
		return &refusals.Refusal{Reason: refusals.HostCatchingUp, Ran: refusals.RanNo, RetryAfter: retryAfterDelay,
			Detail: "the host has started and does not know the contracts in force yet", Remedy: "use another address, or come back after the stated delay"}
	case StateStopped:
		return &refusals.Refusal{Reason: refusals.HostDraining, Ran: refusals.RanNo, RetryAfter: retryAfterDelay,
			Detail: "the host has ended its planned stop", Remedy: "ask for addresses and use another one"}
	}
	// Without other entry hosts, this host cannot miss a contract change that another one accepted.
	if h.member.otherHosts.Load() && h.follower.Isolated(time.Now()) {
		return &refusals.Refusal{Reason: refusals.HostIsolated, Ran: refusals.RanNo, RetryAfter: retryAfterDelay,
			Detail: "the host reaches neither the log nor another entry host, so it cannot know which contracts are in force",
			Remedy: "use another address, or come back after the stated delay"}
	}
	return nil
}

// LogState writes the state dump as one line to the process log.
func (h *Host) LogState() {
	if !h.hasJoined() {
		h.log.Info("state_dump", "state", "the host has not joined yet")
		return
	}
	data, err := json.Marshal(h.dump())
	if err != nil {
		h.log.Error("state_dump", "error", err)
		return
	}
	h.log.Info("state_dump", "state", string(data))
}
