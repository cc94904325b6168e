package limits

import "time"

// Bucket is a token bucket. The zero value is empty and stays empty until Set is called. A Bucket is not safe for concurrent use:
// its owner must hold a lock. The caller passes in the time, so a bucket works with any clock.
type Bucket struct {
	rate   float64 // tokens per second
	depth  float64 // tokens
	tokens float64
	last   time.Time // of the last refill
}

// Set changes the rate and the depth and keeps the available tokens, up to the new depth. The bucket is empty after the first
// Set, so that a restarted process cannot spend again the tokens that it spent before the restart.
func (b *Bucket) Set(now time.Time, rate, depth float64) {
	b.refill(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

// Take removes n tokens and returns true, or returns false if fewer are available.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Add adds n tokens, up to the depth.
func (b *Bucket) Add(n float64) { b.tokens = min(b.depth, b.tokens+n) }

// Tokens returns the number of available tokens.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Full reports whether the bucket holds as many tokens as its depth allows.
func (b *Bucket) Full(now time.Time) bool { return b.Tokens(now) >= b.depth }

// TimeUntil returns the time until n tokens are available. If the rate is 0 it returns an hour.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	b.refill(now)
	missing := n - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// refill adds the tokens for the time since the last refill. It adds none if the clock went back.
func (b *Bucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.depth, b.tokens+b.rate*elapsed.Seconds())
		b.last = now
	}
}
