package quarantine

import (
	"slices"
	"time"
)

// change is a changed verdict and the number of endpoints that ended under its requests.
type change struct {
	Verdict
	evidence int
}

func (g *Guard) report(changes []change, source string) {
	for _, c := range changes {
		g.cfg.OnVerdict(c.Verdict, c.evidence, source)
	}
}

// decide quarantines the requests that the evidence condemns, and reverses young verdicts that it no longer supports. g.mu must be held.
func (g *Guard) decide(now time.Time) (changes []change) {
	condemned := g.culprits(now)
	for f, evidence := range condemned {
		if e := g.verdicts[f]; e == nil || !now.Before(e.Until) {
			g.dropOldestVerdict()
			g.verdicts[f] = &entry{Verdict: Verdict{Pattern: f, DecidedAt: now, Until: now.Add(quarantineTime)}, derived: true}
			changes = append(changes, change{g.verdicts[f].Verdict, evidence})
		}
	}
	for f, e := range g.verdicts {
		if _, still := condemned[f]; e.derived && !still && now.Sub(e.DecidedAt) < firmTime {
			delete(g.verdicts, f)
			changes = append(changes, change{Verdict{Pattern: f, DecidedAt: e.DecidedAt}, 0})
		}
	}
	return changes
}

// dropOldestVerdict makes room for one more verdict. g.mu must be held.
func (g *Guard) dropOldestVerdict() {
	if len(g.verdicts) < maxVerdicts {
		return
	}
	var oldest *entry
	for _, e := range g.verdicts {
		if oldest == nil || e.Until.Before(oldest.Until) {
			oldest = e
		}
	}
	delete(g.verdicts, oldest.Pattern)
}

// addAnswered records that an endpoint answered a request at a time. It returns whether that changes what counts against the request.
func (g *Guard) addAnswered(f Fingerprint, at time.Time, source string) (isNew bool) {
	g.mu.Lock()
	var changes []change
	for _, pattern := range f.patterns() {
		if !at.After(g.answered[pattern]) || !g.suspected(pattern, at) {
			continue
		}
		isNew = true
		g.dropOldestAnswered()
		g.answered[pattern] = at
	}
	if isNew {
		condemned := g.culprits(time.Now())
		for _, pattern := range f.patterns() {
			e := g.verdicts[pattern]
			if _, still := condemned[pattern]; e != nil && (at.After(e.DecidedAt) || e.derived && !still) {
				delete(g.verdicts, pattern)
				changes = append(changes, change{Verdict{Pattern: pattern, DecidedAt: e.DecidedAt}, 0})
			}
		}
	}
	g.mu.Unlock()
	g.report(changes, source)
	return isNew
}

// suspected reports whether something that an answer at a time refutes counts against the requests that match a pattern. g.mu must be held.
func (g *Guard) suspected(pattern Fingerprint, at time.Time) bool {
	if e := g.verdicts[pattern]; e != nil && at.After(e.DecidedAt) {
		return true
	}
	for _, c := range g.crashes {
		if !c.At.After(g.answered[pattern]) || c.At.After(at) {
			continue
		}
		if slices.ContainsFunc(c.Requests, pattern.matches) {
			return true
		}
	}
	for _, h := range g.held {
		if h.at.After(g.answered[pattern]) && !h.at.After(at) && slices.ContainsFunc(h.requests, pattern.matches) {
			return true
		}
	}
	return false
}

// dropOldestAnswered makes room for one more answered request. g.mu must be held.
func (g *Guard) dropOldestAnswered() {
	if len(g.answered) < maxVerdicts {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, t := range g.answered {
		if at.IsZero() || t.Before(at) {
			oldest, at = f, t
		}
	}
	delete(g.answered, oldest)
}

// addVerdict records a verdict of another host or of the store. It returns whether the verdict is new.
func (g *Guard) addVerdict(v Verdict, source string, now time.Time) (isNew bool) {
	g.mu.Lock()
	known := g.verdicts[v.Pattern]
	valid := now.Before(v.Until) && v.DecidedAt.After(g.answered[v.Pattern])
	if isNew = valid && (known == nil || !now.Before(known.Until) || v.Until.Sub(known.Until) > quarantineTime/4); isNew {
		g.dropOldestVerdict()
		g.verdicts[v.Pattern] = &entry{Verdict: v, fromStore: source == SourceStore && (known == nil || known.fromStore)}
	} else if known != nil && source != SourceStore {
		known.fromStore = false
	}
	g.updateActive()
	g.mu.Unlock()
	if isNew {
		g.cfg.OnVerdict(v, 0, source)
	}
	return isNew
}

// Firm returns the verdicts in force, without those that may still be reversed, in the order of their patterns.
func (g *Guard) Firm(now time.Time) []Verdict {
	if !g.Active() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Verdict
	for _, e := range g.verdicts {
		if now.Before(e.Until) && (!e.derived || now.Sub(e.DecidedAt) >= firmTime) {
			list = append(list, e.Verdict)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return a.Pattern.compare(b.Pattern) })
	return list
}

// maxStoredLists bounds the lists of the store that are remembered. Each availability zone writes one.
const maxStoredLists = 256

// Restore records a list of verdicts that the store holds under a key. A verdict that this host has from the store only ends when no list has it any more.
func (g *Guard) Restore(key string, list []Verdict, now time.Time) {
	list = list[:min(maxVerdicts, len(list))]
	patterns := make(map[Fingerprint]bool, len(list))
	for _, v := range list {
		patterns[v.Pattern] = true
	}
	g.report(g.replaceStored(key, patterns), SourceStore)
	for _, v := range list {
		if latest := now.Add(quarantineTime); v.Until.After(latest) {
			v.Until = latest
		}
		if v.DecidedAt.IsZero() || v.DecidedAt.After(now) {
			v.DecidedAt = now
		}
		g.addVerdict(v, SourceStore, now)
	}
}

// replaceStored replaces the patterns that a list of the store has, and releases those that no list has any more and of which no host has told.
func (g *Guard) replaceStored(key string, patterns map[Fingerprint]bool) (changes []change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.stored[key]
	if delete(g.stored, key); len(patterns) > 0 && len(g.stored) < maxStoredLists {
		g.stored[key] = patterns
	}
	for f := range before {
		listed := false
		for _, other := range g.stored {
			listed = listed || other[f]
		}
		if e := g.verdicts[f]; e != nil && e.fromStore && !listed {
			delete(g.verdicts, f)
			changes = append(changes, change{Verdict{Pattern: f, DecidedAt: e.DecidedAt}, 0})
		}
	}
	g.updateActive()
	return changes
}
