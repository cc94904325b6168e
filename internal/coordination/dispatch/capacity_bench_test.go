package dispatch

import (
	"fmt"
	"testing"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// staticMembers is a membership whose hosts never change.
type staticMembers []Member

func (s staticMembers) Self() Member             { return s[0] }
func (s staticMembers) Serving() []Member        { return s }
func (s staticMembers) KnownHosts() int          { return len(s) }
func (s staticMembers) Changed() <-chan struct{} { return nil }

// routerOf returns a router with the given number of services in a membership of the given number of hosts.
func routerOf(b *testing.B, services, hosts int) *Router {
	var members staticMembers
	for i := range hosts {
		members = append(members, Member{Host: fmt.Sprint("host-", i)})
	}
	rt := NewRouter(RouterConfig{Membership: members, Endpoints: endpoints.NewTable()})
	b.Cleanup(rt.Close)
	rt.SetLimits(setOfServices(services))
	return rt
}

func setOfServices(n int) limits.Set {
	var all []*limits.ServiceLimits
	for i := range n {
		one := limitsOf("c", unlimited, unlimited, 100, 1, 10)
		one.Name = fmt.Sprint("service-", i)
		all = append(all, one)
	}
	return setOf(all...)
}

// BenchmarkViewWithSameHosts measures a change of the membership view that does not affect dispatch, such as a new configuration
// position of a host.
func BenchmarkViewWithSameHosts(b *testing.B) {
	for _, c := range [][2]int{{271, 15}, {271, 188}, {1900, 188}} {
		b.Run(fmt.Sprintf("services=%d/hosts=%d", c[0], c[1]), func(b *testing.B) {
			rt := routerOf(b, c[0], c[1])
			for b.Loop() {
				rt.applyView()
			}
		})
	}
}

// BenchmarkSetLimits measures a configuration change for different numbers of services.
func BenchmarkSetLimits(b *testing.B) {
	for _, services := range []int{10, 100, 271, 1900} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			rt := routerOf(b, services, 15)
			set := setOfServices(services)
			for b.Loop() {
				rt.SetLimits(set)
			}
		})
	}
}
