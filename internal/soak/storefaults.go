package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

func randomStoreFaults(rng *rand.Rand) platformtest.StoreFaults {
	return []platformtest.StoreFaults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Delay: 300 * time.Millisecond},
		{Delay: 1500 * time.Millisecond}, {LoseEvery: 2}, {HangEvery: 2}, {CutAnswers: true}}[rng.IntN(7)]
}

func (s *soak) failStore(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeStore)()
	f := randomStoreFaults(rng)
	s.setStoreFaults(f)
	pause(ctx, 2*randomDuration(rng))
	s.setStoreFaults(platformtest.StoreFaults{})
}

// failStoreForOneHost injects a fault into the store for one host only.
func (s *soak) failStoreForOneHost(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	h.front.SetFaults(randomStoreFaults(rng))
	pause(ctx, randomDuration(rng))
	h.front.SetFaults(platformtest.StoreFaults{})
}

// truncateStoreLogs deletes the logs of all topics of the store.
func (s *soak) truncateStoreLogs(context.Context, *rand.Rand) { s.store.Forget() }

// writeForeignEntries writes entries that are malformed or name an unknown service or state to the topic of the endpoints' entries.
func (s *soak) writeForeignEntries(ctx context.Context, rng *rand.Rand) {
	for _, text := range []string{"", "\xff\xfe", "null", "[]", "{}", `{"address":7}`,
		`{"address":"127.0.0.1:1","born":1,"info":{"service":"nowhere","zone":"a","maxConcurrency":2},"status":{"state":"ready","sequence":1}}`,
		`{"address":"127.0.0.1:1","born":1,"info":{"service":"desk","zone":"a","maxConcurrency":2},"status":{"state":"resting","sequence":1}}`} {
		s.store.PutForeignEntry(fmt.Sprintf("x-%d", rng.IntN(4)), []byte(text))
		pause(ctx, randomDuration(rng)/20)
	}
}

// writeEntriesOfEndpoints writes entries of another writer under the ids of endpoints: with fields missing or a service that is not configured, and high
// sequence numbers. They must neither end nor hide the endpoints nor move them to another service.
func (s *soak) writeEntriesOfEndpoints(ctx context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(8) {
		e := s.randomEndpoint(rng)
		service := services[rng.IntN(len(services))]
		born := time.Now().UnixMilli()
		text := []string{
			fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"zone":"a","maxConcurrency":2},"status":{"state":"ready","sequence":%d}}`, e.address, born, service, rng.Uint32()),
			fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"nowhere","version":"v1","zone":"a","maxConcurrency":2},"status":{"state":"draining","sequence":%d,"warmupLeftMs":0}}`,
				e.address, born, rng.Uint32()),
			fmt.Sprintf(`{"status":{"state":"draining","sequence":%d}}`, rng.Uint32()), "gone",
		}[rng.IntN(4)]
		s.store.PutForeignEntry(e.ID(), []byte(text))
		pause(ctx, randomDuration(rng)/8)
	}
}

const (
	// recordsPerS is the number of records that an endpoint writes to the store in a second, at least.
	recordsPerS  = 1.6
	maxCopyAge   = 6 * time.Second
	maxStoreAway = time.Second // before the store returns from a copy
	maxReturns   = 2           // returns from copies in quick succession
)

// setStoreFaults injects faults into the store for all hosts.
func (s *soak) setStoreFaults(f platformtest.StoreFaults) {
	for _, h := range s.hosts {
		h.front.SetFaults(f)
	}
}

// fallStore makes the store return from a copy of the given age, or from the copy of the last return or the beginning if that is newer.
// All copies thus hold a configuration.
func (s *soak) fallStore(age time.Duration) {
	s.falling.Lock()
	defer s.falling.Unlock()
	age = min(age, time.Since(s.lastFall))
	s.store.Fall(int(age.Seconds() * recordsPerS * float64(len(s.endpoints))))
	s.lastFall = time.Now()
}

// returnStoreFromCopy makes the store return from a copy that is some seconds old, once or twice in quick succession. The store is away
// before each return. What the copy lacks includes, depending on rng, a change of the configuration and an endpoint that has left. After
// a return the store may refuse all hosts or one host, and a host may be killed.
func (s *soak) returnStoreFromCopy(ctx context.Context, rng *rand.Rand) {
	var beside sync.WaitGroup
	defer beside.Wait()
	age := time.Duration(rng.Float64() * float64(maxCopyAge))
	if rng.IntN(2) == 0 {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 1))
		beside.Go(func() { s.retireEndpoint(ctx, rng) })
	}
	if rng.IntN(2) == 0 {
		s.changeConfig(ctx, rng)
	}
	pause(ctx, age)
	defer s.timeline.begin(scopeStore)()
	for range 1 + rng.IntN(maxReturns) {
		s.setStoreFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
		pause(ctx, time.Duration(rng.Float64()*float64(maxStoreAway)))
		s.fallStore(age)
		s.ledger.Add("returns of the store from a copy", 1)
		s.setStoreFaults(platformtest.StoreFaults{})
		switch rng.IntN(4) {
		case 0:
			s.setStoreFaults(randomStoreFaults(rng))
		case 1:
			s.randomHost(rng).front.SetFaults(randomStoreFaults(rng))
		}
		if rng.IntN(3) == 0 {
			rng, h := rand.New(rand.NewPCG(rng.Uint64(), 1)), s.randomHost(rng)
			beside.Go(func() { s.killHost(ctx, rng, h) })
		}
		if rng.IntN(2) == 0 {
			s.store.RestoreConfig()
		}
		pause(ctx, randomDuration(rng))
	}
	s.setStoreFaults(platformtest.StoreFaults{})
	s.store.RestoreConfig()
}
