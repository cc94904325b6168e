package gateway

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/errtext"
)

// hostListHandler implements follow.Handler for the host topic, which holds a list of hosts for each availability zone. It adds the hosts
// to the known peers.
type hostListHandler struct{ g *Gateway }

// Apply adds the hosts of one zone's list. The list of this host's own zone is also kept, to notice when it has to be written again, unless
// it is of an earlier epoch of the store.
func (h hostListHandler) Apply(r follow.Record, _ bool, now time.Time) bool {
	if r.Value == nil {
		return false
	}
	if h.g.applyStoredQuarantine(r, now) {
		return true
	}
	hosts, err := decodeHostList(r.Value)
	if err != nil {
		return false // validate has reported it
	}
	if r.Key == h.g.settings.Zone && r.Offset >= 0 {
		h.g.storedHosts.set(hosts)
	}
	for _, host := range hosts {
		if err := host.Check(); err != nil {
			h.g.log.Warn("hosts_unreadable", "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		h.g.addHost(host, "store", now)
	}
	return true
}

// maxPlainHostRecord is the size in bytes up to which a record of the host topic is not decoded before it is kept. Hosts write smaller ones.
const maxPlainHostRecord = 16 << 10

// validate implements follow.Feed.Validate: programs other than hosts may write to the topic.
func (h hostListHandler) validate(r follow.Record) follow.Validity {
	var err error
	if strings.HasPrefix(r.Key, quarantineKey) {
		_, err = decodeVerdicts(r.Value)
	} else {
		_, err = decodeHostList(r.Value)
	}
	if err != nil {
		h.g.invalidEntries.report(h.g, r, trace.BadParameter("record %.80q of the hosts' topic: %v", r.Key, errtext.Bound(err)))
		return follow.Invalid
	}
	return follow.Valid
}

// reduce implements follow.Feed.Reduce.
func (h hostListHandler) reduce(r follow.Record) (follow.Record, bool) {
	return r, len(r.Value) <= maxPlainHostRecord || h.validate(r) == follow.Valid
}

func decodeHostList(value []byte) (hosts []peers.Host, err error) {
	err = cbor.Unmarshal(value, &hosts)
	return hosts, err
}

// RetainKeys does nothing: a host is not removed because the list of its zone is missing.
func (h hostListHandler) RetainKeys(map[string]bool, bool, time.Time) {}

// Compare returns 0: the lists have no order. The first host of a zone writes the zone's list again if another one is in the store.
func (h hostListHandler) Compare(follow.Record, follow.Record) (order int, renewal bool) {
	return 0, false
}

// addHost adds a host that the store or another host has named. source is "store" or the name of that host.
func (g *Gateway) addHost(h peers.Host, source string, now time.Time) {
	if g.peers.Add(h, now) {
		g.log.Info("host", "name", h.Name, "zone", h.Zone, "callers", h.CallerAddress, "source", source)
	}
}
