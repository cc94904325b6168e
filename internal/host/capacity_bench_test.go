package host

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
)

// BenchmarkAddresses measures the selection of addresses for one response, for several numbers of entry hosts.
func BenchmarkAddresses(b *testing.B) {
	for _, hosts := range []int{15, 64, 188, 512} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v := &membership.View{}
			for i := range hosts {
				v.Members = append(v.Members, membership.Member{Host: fmt.Sprintf("host-%04d", i), Incarnation: "0123456789abcdef",
					IP: netip.MustParseAddr("10.0.0.1"), CallerPort: 7080, Zone: fmt.Sprint("zone-", i%3), State: membership.Serving})
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				addresses(v, "lotdesk", "zone-1", now, rand.Shuffle)
			}
		})
	}
}
