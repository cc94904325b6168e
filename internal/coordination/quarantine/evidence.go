package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// minEvidence is the number of endpoints that have to end under a request before it is quarantined. Several requests that explain the same ends
	// need minSharedEvidence, since some of them may only have run beside the others, and so do requests that differ in their caller or query, and one
	// request that explains no more ends than lie within unrelatedWindow for other reasons: three ends in a row may be chance then for a proper request that
	// is tried again after each.
	minEvidence       = 3
	minSharedEvidence = 5
	unrelatedWindow   = 10 * time.Second
	// minSuspectEnds is the number of ends under a request from which it may be their cause, so that they are not unrelated to each other.
	minSuspectEnds = 2
)

// endsByPattern holds the endpoints that ended under the requests that match a pattern.
type endsByPattern map[Fingerprint][]endpoints.ID

// culprits returns the patterns of the requests that the evidence condemns, with the number of endpoints that ended under each: repeatedly the content
// of request under which most of the endpoints ended whose end no other content explains yet. g.mu must be held.
func (g *Guard) culprits(now time.Time) map[Fingerprint]int {
	ends := g.countedEnds(now)
	condemned := map[Fingerprint]int{}
	explained := map[endpoints.ID]bool{}
	for {
		first, count := ends.most()
		if count < minEvidence {
			return condemned
		}
		alike := ends.alike(first)
		alone := len(alike) == 1 && count > g.unrelated(ends, first, explained)
		for _, f := range alike {
			for _, id := range ends[f] {
				explained[id] = true
			}
			if alone || count >= minSharedEvidence {
				ends.condemn(f, condemned)
			}
		}
		for f, list := range ends {
			if ends[f] = slices.DeleteFunc(list, func(id endpoints.ID) bool { return explained[id] }); len(ends[f]) == 0 {
				delete(ends, f)
			}
		}
	}
}

// unrelated returns the number of ends within unrelatedWindow up to the last one under a pattern, without those under requests that match it, that another
// suspect explains or that are explained already. Later ends change nothing about a decision. g.mu must be held.
func (g *Guard) unrelated(ends endsByPattern, pattern Fingerprint, explained map[endpoints.ID]bool) (n int) {
	explained = maps.Clone(explained)
	for _, list := range ends {
		if len(list) >= minSuspectEnds {
			for _, id := range list {
				explained[id] = true
			}
		}
	}
	var last time.Time
	for _, id := range ends[pattern] {
		if at := g.crashes[id].At; at.After(last) {
			last = at
		}
	}
	for id, c := range g.crashes {
		recent := !c.At.After(last) && last.Sub(c.At) < unrelatedWindow
		if recent && !c.Alive && !explained[id] && !slices.ContainsFunc(c.Requests, pattern.matches) {
			n++
		}
	}
	return n
}

// countedEnds returns the ends that count against each pattern: those after an endpoint has last answered a request that matches it. g.mu must be held.
func (g *Guard) countedEnds(now time.Time) endsByPattern {
	ends := endsByPattern{}
	for id, c := range g.crashes {
		if c.Alive || now.Sub(c.At) > evidenceLifetime {
			continue
		}
		for _, f := range c.Requests {
			for _, pattern := range f.patterns() {
				if c.At.After(g.answered[pattern]) && !slices.Contains(ends[pattern], id) {
					ends[pattern] = append(ends[pattern], id)
				}
			}
		}
	}
	return ends
}

// most returns the pattern of any caller and query with the most ends, of several the first in order, so that all hosts decide alike. If the content
// was answered to some callers, the widest pattern that has ends stands for it.
func (e endsByPattern) most() (first Fingerprint, count int) {
	for f, list := range e {
		if len(list) > count || len(list) == count && count > 0 && (f.breadth() > first.breadth() || f.breadth() == first.breadth() && f.compare(first) < 0) {
			first, count = f, len(list)
		}
	}
	return first, count
}

// alike returns the first pattern and those of other contents with as many ends, but too few that the first does not explain.
func (e endsByPattern) alike(first Fingerprint) []Fingerprint {
	list := []Fingerprint{first}
	for f, ends := range e {
		if f.Content == first.Content || len(ends) < len(e[first]) || slices.ContainsFunc(list, func(other Fingerprint) bool { return other.Content == f.Content }) {
			continue
		}
		if len(without(ends, e[first])) < minEvidence {
			list = append(list, f)
		}
	}
	return list
}

// maxOtherEnds is the number of ends under a content that may be unexplained by the caller and the query that are condemned with it. With more, the
// culprit changes them.
const maxOtherEnds = 1

// condemn adds the narrowest pattern of a content that explains its ends to condemned: proper requests may differ from the culprit in their caller or
// query only.
func (e endsByPattern) condemn(widest Fingerprint, condemned map[Fingerprint]int) {
	narrowest := widest
	for f, list := range e {
		if f.Content == widest.Content && len(list) >= minEvidence && len(without(e[widest], list)) <= maxOtherEnds && f.compare(narrowest) < 0 {
			narrowest = f
		}
	}
	if count := len(e[narrowest]); narrowest.breadth() == 0 || count >= minSharedEvidence {
		condemned[narrowest] = count
	}
}

// without returns the ids of a list that another list does not have.
func without(list, other []endpoints.ID) []endpoints.ID {
	var rest []endpoints.ID
	for _, id := range list {
		if !slices.Contains(other, id) {
			rest = append(rest, id)
		}
	}
	return rest
}
