package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// TestAddressOrder guards against address responses that list hosts that cannot serve, that do not list the owner first, or that list
// other zones before the zone of the responding host.
func TestAddressOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		v := &membership.View{}
		usable := 0
		for i := range rapid.IntRange(0, 12).Draw(t, "members") {
			m := membership.Member{Host: fmt.Sprintf("host-%02d", i), Incarnation: "0123456789abcdef", IP: netip.MustParseAddr("127.0.0.1"),
				CallerPort: uint16(8000 + i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				State:     rapid.SampledFrom([]membership.State{membership.CatchingUp, membership.Serving, membership.Serving, membership.Leaving}).Draw(t, "state"),
				Suspected: rapid.IntRange(0, 4).Draw(t, "suspected") == 0}
			v.Members = append(v.Members, m)
			if m.State == membership.Serving && !m.Suspected {
				usable++
			}
		}
		owner := rendezvous.First("lotdesk", v.ServingHosts())
		got := addresses(v, "lotdesk", "a", time.Now(), rand.Shuffle)
		is.Equal(len(got), min(maxAddresses, usable))
		ownerUsable := v.Member(owner) != nil && !v.Member(owner).Suspected
		seen, otherZoneSeen := map[string]bool{}, false
		for i, a := range got {
			m := v.Member(a.Host)
			is.True(m.State == membership.Serving && !m.Suspected)
			is.True(!seen[a.Host])
			seen[a.Host] = true
			is.Equal(a.Host == owner, i == 0 && ownerUsable) // the owner is first, if it is usable
			if a.Host == owner {
				continue
			}
			is.True(a.Zone != "a" || !otherZoneSeen) // the zone of the responding host comes before the others
			otherZoneSeen = otherZoneSeen || a.Zone != "a"
		}
	})
}

// TestHostListWait guards against a rate of host list requests that grows with the number of hosts. It also guards against hosts that
// fetch the list less often than each second if there are up to 15 hosts, or less often than each 3 s if there are more, and thus
// learn of new endpoints too late.
func TestHostListWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		known := rapid.IntRange(0, 5000).Draw(t, "known")
		wait := hostListWait(known, rapid.Float64Range(0, 1).Draw(t, "random"))
		is.True(wait >= time.Second)
		is.True(wait <= 3*time.Second)
		is.True(known > 15 || wait == time.Second)
		perSecond := float64(known) / wait.Seconds()
		is.True(known > 45 || perSecond <= 15/(1-0.1)+1e-9)
		is.True(perSecond <= float64(known)/2.7+1e-9 || known <= 45)
	})
}

// TestHostListPolling guards against a host that fetches the host list each second regardless of the wait that each poll returns, and
// against one that stops fetching it after a failure.
func TestHostListPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var starts []time.Time
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		go pollHostList(ctx, func(context.Context) time.Duration {
			starts = append(starts, time.Now())
			time.Sleep(100 * time.Millisecond) // the interval runs from the start of a request, so its duration does not count
			return []time.Duration{time.Second, 3 * time.Second}[min(1, len(starts)/3)]
		})
		time.Sleep(9 * time.Second)
		synctest.Wait()
		cancel()
		var after []float64
		for _, a := range starts {
			after = append(after, a.Sub(began).Seconds())
		}
		is.Equal(after, []float64{0, 1, 2, 5, 8})
	})
}

// TestAddressSpread guards against address responses that all list the same host after the owner.
func TestAddressSpread(t *testing.T) {
	is := is.New(t)
	v := &membership.View{}
	for i := range 6 {
		v.Members = append(v.Members, membership.Member{Host: fmt.Sprintf("host-%d", i), Zone: "a", State: membership.Serving})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	second := map[string]bool{}
	for range 200 {
		second[addresses(v, "lotdesk", "a", time.Now(), rng.Shuffle)[1].Host] = true
	}
	is.Equal(len(second), 5)
}

// TestResponseAsksToClose guards against a connection that stays open after a response that started during a drain, even if its
// request arrived before the drain.
func TestResponseAsksToClose(t *testing.T) {
	is := is.New(t)
	for _, explicit := range []bool{true, false} {
		var active atomic.Bool
		recorder := httptest.NewRecorder()
		w := &closingWriter{ResponseWriter: recorder, active: &active}
		active.Store(true)
		if explicit {
			w.WriteHeader(http.StatusOK)
		}
		w.Write([]byte("x"))
		is.Equal(recorder.Result().Header.Get("Connection"), "close")
	}
}
