package sockbuf

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// clockTick is the longest interval at which Linux kernels set the clock that dates arriving bytes. A difference of two readings is at most this much too long.
const clockTick = 10 * time.Millisecond

// Dated may be implemented by connections that are none of the operating system's and know when bytes have arrived.
type Dated interface{ SinceArrival() time.Duration }

// SinceArrival returns for how long the latest bytes that a connection got from its peer have been here, whether they are read or not: at least the result, which
// is up to two clockTicks too short, and 0 if the connection does not tell. It costs one system call.
func SinceArrival(c net.Conn) (d time.Duration) {
	if dated, ok := c.(Dated); ok {
		return dated.SinceArrival()
	}
	control(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = max(0, time.Duration(info.Last_data_recv)*time.Millisecond-clockTick)
		}
	})
	return d
}
