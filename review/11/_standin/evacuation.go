package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["evacuated-after-return"] = evacuatedAfterReturn }

// storeGate is the store as the hosts see it. It gives no answers while it is away.
type storeGate struct {
	inner http.Handler
	away  atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.away.Load() {
		<-r.Context().Done()
		return
	}
	g.inner.ServeHTTP(w, r)
	if g.away.Load() {
		panic(http.ErrAbortHandler)
	}
}

// records returns the number of records that the store has in all topics together.
func (r *rig) records() (sum int) {
	for _, topic := range []string{"keyed.op", endpointTopic, "keyed.hosts"} {
		rec := httptest.NewRecorder()
		query := url.Values{"topic": {topic}, "part": {"0"}, "from": {"0"}}
		r.store.Front().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/log-read?"+query.Encode(), nil))
		if data := rec.Body.Bytes(); len(data) >= 8 {
			sum += int(binary.BigEndian.Uint64(data))
		}
	}
	return sum
}

func milliseconds(name string, usual time.Duration) time.Duration {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return time.Duration(n) * time.Millisecond
	}
	return usual
}

// evacuatedAfterReturn has the operator evacuate a zone for the second time when the store has just returned from a copy that is older than the first time.
func evacuatedAfterReturn(ctx context.Context, r *rig) (int, error) {
	const (
		evacBound = 5 * time.Second // evacMs
		stretch   = 5 * time.Second // maxStretchMs
		observe   = 10 * time.Second
	)
	gate := &storeGate{inner: r.store.Front()}
	r.storeHandler = gate
	if err := r.deploy([]string{"a", "b", "c"}, 3, 6); err != nil {
		return exitNotRun, err
	}
	c := &clients{rig: r}
	load, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(load, r.hosts, 40*time.Millisecond, "c")
	time.Sleep(3 * time.Second)
	copied := r.records()
	copiedAt := time.Now()
	r.note("the copy has the %d records until now", copied)
	time.Sleep(milliseconds("BEFOREMS", 500*time.Millisecond))
	r.store.Evacuate("b", true)
	first := time.Now()
	r.note("the store acknowledges the evacuation of zone b")
	time.Sleep(milliseconds("EVACMS", 3*time.Second))
	back := time.Now()
	r.store.Evacuate("b", false)
	r.note("the store acknowledges that zone b is taken back")
	time.Sleep(time.Second)
	if trouble() {
		gate.away.Store(true)
		r.note("the store is away")
		time.Sleep(milliseconds("AWAYMS", 2*time.Second))
		lost := r.records() - copied
		r.store.Fall(lost)
		r.store.RestoreConfig()
		gate.away.Store(false)
		r.note("the store is back, from a copy that is %v old; %d records are lost", time.Since(copiedAt).Round(time.Millisecond), lost)
		time.Sleep(milliseconds("AFTERMS", 100*time.Millisecond))
	}
	r.store.Evacuate("b", true)
	second := time.Now()
	r.note("the store acknowledges the evacuation of zone b")
	late := second.Add(evacBound + stretch)
	time.Sleep(time.Until(late) + observe)
	stop()
	time.Sleep(attemptTime + time.Second)
	inZone := func(from, to time.Time) (n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, a := range r.arrivals {
			if r.zoneOf[a.Endpoint] == "b" && a.At.After(from) && a.At.Before(to) {
				n++
			}
		}
		return n
	}
	used, kept, tooLate := inZone(time.Time{}, first), inZone(back.Add(-time.Second), back), inZone(late, late.Add(observe))
	text := fmt.Sprintf("requests at the endpoints of zone b: %d before; in the last second of the first evacuation: %d; later than %v after the second: %d", used, kept, evacBound+stretch, tooLate)
	r.note("%s", text)
	if used == 0 || kept > 0 {
		return exitNotRun, fmt.Errorf("%s", text)
	}
	if tooLate > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
