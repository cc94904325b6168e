package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Noise describes random slow episodes, as on a machine that is shared with other tenants.
type Noise struct {
	PerSecond float64 `json:"per_second"` // rate of episodes: the gap between two has a mean of 1/PerSecond seconds; 0 means none
	Factor    float64 `json:"factor"`     // factor on the work time during an episode; values below 1 count as 1
	MS        float64 `json:"ms"`         // length of an episode in milliseconds
}

// Slowness computes when work ends on an endpoint whose speed changes over time. Times are offsets from the start of the sequence
// of episodes, which for an Upstream is the moment at which its faults were set. The random episodes depend only on the seed and
// the Noise, so that a calculation in another process gets the same ones.
type Slowness struct {
	mu             sync.Mutex
	noise          Noise
	rng            *rand.Rand
	episodes       []slowPeriod // random episodes drawn so far, in order of time, not overlapping
	lastEpisodeEnd time.Duration
	slowdown       slowPeriod // period set by Slow
}

// slowPeriod is a period during which work takes factor times longer.
type slowPeriod struct {
	from, to time.Duration
	factor   float64
}

// NewSlowness returns the speed of one endpoint over time. Endpoints with the same seed have the same episodes.
func NewSlowness(seed uint64, noise Noise) *Slowness {
	return &Slowness{noise: noise, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Slow makes work take factor times longer during [from, to). It replaces the period of an earlier call.
func (s *Slowness) Slow(from, to time.Duration, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = slowPeriod{from, to, factor}
}

// End returns the end of work that begins at start and would take the duration work at full speed.
func (s *Slowness) End(start, work time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, left := start, float64(work)
	for {
		factor, change := s.factorAt(now)
		if end := float64(now) + left*factor; end <= float64(change) {
			return time.Duration(end)
		}
		left -= float64(change-now) / factor
		now = change
	}
}

// factorAt returns the factor on the work time at now, and the next time at which it may change.
func (s *Slowness) factorAt(now time.Duration) (float64, time.Duration) {
	s.drawEpisodes(now)
	factor, change := 1.0, time.Duration(math.MaxInt64)
	apply := func(p slowPeriod) {
		switch {
		case now < p.from:
			change = min(change, p.from)
		case now < p.to:
			factor *= p.factor
			change = min(change, p.to)
		}
	}
	apply(s.slowdown)
	for i := len(s.episodes) - 1; i >= 0 && s.episodes[i].to > now; i-- {
		apply(s.episodes[i])
	}
	return factor, change
}

// drawEpisodes draws further random episodes until the last one begins after now.
func (s *Slowness) drawEpisodes(now time.Duration) {
	if s.noise.PerSecond <= 0 || s.noise.MS <= 0 {
		return
	}
	for len(s.episodes) == 0 || s.episodes[len(s.episodes)-1].from <= now {
		gap := time.Duration(s.rng.ExpFloat64() / s.noise.PerSecond * float64(time.Second))
		from := s.lastEpisodeEnd + gap
		s.lastEpisodeEnd = from + time.Duration(s.noise.MS*float64(time.Millisecond))
		s.episodes = append(s.episodes, slowPeriod{from, s.lastEpisodeEnd, max(1, s.noise.Factor)})
	}
}

// WorkTime draws the work time of one request from a log-normal distribution with the given mean. It depends only on the
// seed and the request id, so that a request takes the same time on each endpoint.
func WorkTime(seed uint64, requestID string, mean time.Duration, sigma float64) time.Duration {
	if sigma == 0 {
		return mean
	}
	var h uint64 = 14695981039346656037 // FNV-1a
	for i := range len(requestID) {
		h = (h ^ uint64(requestID[i])) * 1099511628211
	}
	normal := rand.New(rand.NewPCG(seed, h)).NormFloat64()
	return time.Duration(float64(mean) * math.Exp(sigma*normal-sigma*sigma/2))
}
