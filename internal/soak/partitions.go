package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

const (
	// longPartition is a time of a partition in which hosts have to serve as others do. It is longer than stabilityTime.
	longPartition = 5500 * time.Millisecond
	// flapTime is the mean time after which a way that comes and goes changes.
	flapTime = 300 * time.Millisecond
	// Requests of partitioned hosts have to be served two thirds as often as those of the others, unless at most maxUnserved and one in unservedShare of all
	// are not served.
	maxUnserved   = 10
	unservedShare = 50
	// minPartitionRequests is the number of requests on each side from which the two are compared.
	minPartitionRequests = 20
)

// partition is a time in which some hosts reached no endpoint of any service, while callers, peers and the store reached them.
type partition struct {
	hosts    map[*host]bool
	from, to time.Time
}

// partitionModes are the ways in which hosts lose their connections to endpoints.
var partitionModes = []testbed.Mode{testbed.Stall, testbed.Cut, testbed.MuteForward, testbed.MuteReturn, testbed.RefuseNew}

// partitionHosts cuts some hosts, or all of a zone, off from the endpoints of one service or of all, for a short or a long time or again and again.
func (s *soak) partitionHosts(ctx context.Context, rng *rand.Rand) {
	s.partitioning.Lock() // a mode is that of one partition
	defer s.partitioning.Unlock()
	hosts, scopes := s.partitionedHosts(rng), []string{scopeEndpoints, scopeLinks}
	for _, h := range hosts {
		scopes = append(scopes, h.detours())
	}
	defer s.timeline.begin(scopes...)()
	service := ""
	if rng.IntN(3) == 0 {
		service = services[rng.IntN(len(services))]
	}
	mode := partitionModes[rng.IntN(len(partitionModes))]
	from := time.Now()
	switch rng.IntN(3) {
	case 0:
		for end := from.Add(longPartition); time.Now().Before(end) && ctx.Err() == nil; {
			s.setPartition(hosts, service, mode)
			pause(ctx, time.Duration(rng.Float64()*2*float64(flapTime)))
			s.setPartition(hosts, service, testbed.Pass)
			pause(ctx, time.Duration(rng.Float64()*2*float64(flapTime)))
		}
	case 1:
		s.setPartition(hosts, service, mode)
		pause(ctx, randomDuration(rng))
	default:
		s.setPartition(hosts, service, mode)
		pause(ctx, longPartition)
		if service == "" {
			s.addPartition(hosts, from)
		}
	}
	s.setPartition(hosts, service, testbed.Pass)
}

// partitionedHosts returns all hosts of a zone, or random ones, but not all hosts.
func (s *soak) partitionedHosts(rng *rand.Rand) (list []*host) {
	zone, whole := rng.IntN(zoneCount), rng.IntN(3) == 0
	for i, h := range s.hosts {
		if whole && i%zoneCount == zone || !whole && rng.IntN(2) == 0 {
			list = append(list, h)
		}
	}
	return list[:min(len(list), len(s.hosts)-1)]
}

// setPartition sets how the relays of a service's endpoints, or of all, treat the connections of hosts.
func (s *soak) setPartition(hosts []*host, service string, mode testbed.Mode) {
	for _, e := range s.endpoints {
		if service != "" && e.service != service {
			continue
		}
		for _, h := range hosts {
			e.relay.SetModeFor(s.hostIP(h.index), mode)
		}
	}
}

// addPartition records a partition from all services that ends now.
func (s *soak) addPartition(hosts []*host, from time.Time) {
	p := partition{hosts: map[*host]bool{}, from: from, to: time.Now()}
	for _, h := range hosts {
		p.hosts[h] = true
	}
	s.partitionsMu.Lock()
	defer s.partitionsMu.Unlock()
	s.partitions = append(s.partitions, p)
}

// auditPartitions checks that callers of partitioned hosts are served as those of the others.
func (s *soak) auditPartitions() {
	for _, p := range s.partitions {
		var cut, cutServed, calm, calmServed int
		for _, r := range s.requests.list {
			if r.sent.Before(p.from.Add(stabilityTime)) || r.ended.After(p.to) || r.outcome == cancelled || r.unread || r.ahead > 0 || crashes(r.target) ||
				!s.timeline.undisturbed(r.host.scope(), r.sent, r.ended) {
				continue
			}
			served := 0
			if r.served() {
				served = 1
			}
			if p.hosts[r.host] {
				cut, cutServed = cut+1, cutServed+served
			} else {
				calm, calmServed = calm+1, calmServed+served
			}
		}
		if cut < minPartitionRequests || calm < minPartitionRequests {
			continue
		}
		few := cut-cutServed <= maxUnserved+(cut+calm)/unservedShare
		s.ledger.Check(partitionedServe, few || 3*cutServed*calm >= 2*calmServed*cut, "%d hosts without a way to endpoints from %.2f s to %.2f s served %d of %d requests, the others %d of %d",
			len(p.hosts), p.from.Sub(s.startTime).Seconds(), p.to.Sub(s.startTime).Seconds(), cutServed, cut, calmServed, calm)
	}
}
