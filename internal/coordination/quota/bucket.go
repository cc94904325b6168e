package quota

import "time"

const (
	// slotTime is the resolution at which a bucket remembers what was granted, and slotCount the number of slots that it remembers: longer than
	// a request waits before it is refused as not run.
	slotTime  = 25 * time.Millisecond
	slotCount = 320
)

// bucket is the token bucket of a customer. It remembers when permits were granted, and computes its tokens from that: a permit that is given
// back counts as if it had never been granted, also if the bucket has been full since. Adding it to the tokens instead would let a customer whose
// waiting requests are refused exceed its limit.
type bucket struct {
	terms
	origin time.Time // slots are counted from here
	latest time.Time // of the calls
	first  int64     // oldest slot that is remembered
	base   float64   // tokens at the start of slot first
	early  float64   // permits that may be granted although there are fewer tokens
	// completeAt is from when on the bucket accounts for all that was granted lately, by its host or those that coordinated before.
	completeAt time.Time
	granted    [slotCount]float64
}

func newBucket(t terms, tokens float64, now time.Time) *bucket {
	return &bucket{terms: t, origin: now, latest: now, base: min(tokens, t.depth)}
}

// isProvisional reports whether another host may have granted permits lately that the bucket does not account for.
func (b *bucket) isProvisional(now time.Time) bool { return now.Before(b.completeAt) }

// total returns the number of permits that were granted in the slots that are remembered.
func (b *bucket) total() (n float64) {
	for _, g := range b.granted {
		n += g
	}
	return n
}

// shift adds tokens, or takes them away. They may become negative.
func (b *bucket) shift(tokens float64) {
	b.base, b.early = min(b.depth, b.base+tokens), 0
}

func (b *bucket) slot(at time.Time) int64 { return int64(at.Sub(b.origin) / slotTime) }

// clamp returns the time at which a call counts that was made at the given one: no earlier than the calls before. A caller that has waited for the lock
// would not count what was granted meanwhile, or be before the origin of new terms.
func (b *bucket) clamp(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// advance drops slots that are too old to be remembered. now must be clamped.
func (b *bucket) advance(now time.Time) {
	last := b.slot(now)
	oldest := last - slotCount + 1
	for n := min(slotCount, oldest-b.first); n > 0; n-- {
		g := &b.granted[b.first%slotCount]
		b.base = min(b.depth, b.base+b.rate*slotTime.Seconds()) - *g
		*g = 0
		b.first++
	}
	if unused := oldest - b.first; unused > 0 {
		b.base, b.first = min(b.depth, b.base+b.rate*float64(unused)*slotTime.Seconds()), oldest
	}
}

// tokens returns the number of permits that may be granted now. What was granted in a slot counts from the end of the slot, so that the depth is
// never exceeded.
func (b *bucket) tokens(now time.Time) float64 {
	now = b.clamp(now)
	b.advance(now)
	last := b.slot(now)
	t, perSlot := b.base, b.rate*slotTime.Seconds()
	for s := b.first; s < last; s++ {
		t = min(b.depth, t+perSlot) - b.granted[s%slotCount]
	}
	elapsed := now.Sub(b.origin) - time.Duration(last)*slotTime
	return min(b.depth, t+b.rate*elapsed.Seconds()) - b.granted[last%slotCount]
}

// grant takes up to n permits and returns their number.
func (b *bucket) grant(n int, now time.Time) int {
	n = int(max(0, min(float64(n), max(b.early, b.tokens(now))))) // tokens may exceed any integer
	b.early = max(0, b.early-float64(n))
	b.granted[b.slot(b.clamp(now))%slotCount] += float64(n)
	return n
}

// maxGrantDelaySlots is the number of slots in which a request reaches the coordinator.
const maxGrantDelaySlots = 8

// giveBack takes back permits that were requested some time ago, granted soon after that, and not used. It ignores those of which it remembers no
// grant.
func (b *bucket) giveBack(n float64, age time.Duration, now time.Time) {
	requested := now.Add(-max(0, age))
	now = b.clamp(now)
	b.advance(now)
	if requested.Before(b.origin) {
		return
	}
	first := b.slot(requested)
	for s := max(first, b.first); s <= min(first+maxGrantDelaySlots, b.slot(now)) && n > 0; s++ {
		g := &b.granted[s%slotCount]
		taken := min(*g, n)
		*g -= taken
		n -= taken
	}
}

// setTerms changes the terms from now on. The tokens are kept, up to the new depth. Permits granted before are not taken back any more.
func (b *bucket) setTerms(t terms, now time.Time) {
	now = b.clamp(now)
	tokens := min(t.depth, b.tokens(now))
	*b = bucket{terms: t, origin: now, latest: now, base: tokens, early: min(t.depth, b.early), completeAt: b.completeAt}
}
