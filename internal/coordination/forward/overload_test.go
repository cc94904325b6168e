package forward

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// played counts how requests ended.
type played struct {
	inTime, late, refused, sends int // requests, and sends of them
	rejected                     int // sends
	refusalWait                  time.Duration
}

// hosts returns the forwarders of several hosts, which share no knowledge.
func (f *slottedService) hosts(count int) (forwarders []*Forwarder) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	for range count {
		fw := f.fakeService.forwarder(largeBurst)
		fw.cfg.Sender, fw.cfg.Prober, fw.cfg.Random = f, f, draw
		forwarders = append(forwarders, fw)
	}
	return forwarders
}

// play sends requests at an interval for a time through the hosts in turn.
func (f *slottedService) play(t *testing.T, forwarders []*Forwarder, interval, length time.Duration) (p played) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range int(length / interval) {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * interval)
			c := request(true)
			c.Due = c.Arrived.Add(2 * time.Second)
			r := forwarders[n%len(forwarders)].Run(t.Context(), c)
			took := time.Since(c.Arrived)
			mu.Lock()
			defer mu.Unlock()
			p.sends += r.Sends()
			switch {
			case r.Outcome == Answered && took <= c.Route.TargetLatency:
				p.inTime++
			case r.Outcome == Answered:
				p.late++
			default:
				p.refused++
				p.refusalWait += took
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	f.mu.Lock() // a hedge may outlive its request
	p.rejected = f.rejected
	f.mu.Unlock()
	t.Logf("%d in time, %d late, %d refused after %v on average; %d sends, %d rejected", p.inTime, p.late, p.refused,
		p.refusalWait/time.Duration(max(1, p.refused)), p.sends, p.rejected)
	return p
}

// TestOverloadedServiceRefusesAtOnce guards against refusals that come after a wait, slots that stay unused, and answers that come late, while twice as
// many requests arrive as the endpoints can run.
func TestOverloadedServiceRefusesAtOnce(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, length = 10, 4 * time.Second
		f := newSlottedService(count)
		p := f.play(t, f.hosts(1), usualDuration/(2*2*count), length)
		capacity := int(length/usualDuration) * 2 * count
		is.True(p.inTime >= capacity*8/10)
		is.True(p.late <= p.inTime/10)
		is.True(p.refusalWait/time.Duration(p.refused) < 40*time.Millisecond) // a fifth of the target latency
	})
}

// TestFewSendsToColdEndpoints guards against requests that reach cold endpoints which reject them although they have free slots: a third of the
// endpoints accept five requests per second each, from 96 hosts, each of which sends them few, while the others are full.
func TestFewSendsToColdEndpoints(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		const hosts, count, length = 96, 48, 4 * time.Second
		f := newSlottedService(count)
		f.perSecond = map[string]float64{}
		for n := range count / 3 {
			f.perSecond[fmt.Sprint(n)] = 5
		}
		for _, e := range f.list {
			if f.perSecond[e.Name] > 0 {
				e.WarmUpEnd = f.begin.Add(length)
			}
		}
		p := f.play(t, f.hosts(hosts), usualDuration/(2*count), length)
		is.New(t).True(p.rejected*20 < p.sends)
	})
}
