package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// unread knows how many bytes lie unread in the receive buffers of connections, by their local address, as /proc/net/tcp tells.
type unread struct {
	mu  sync.Mutex
	sum map[string]int64
}

func newUnread() *unread { return &unread{sum: map[string]int64{}} }

// watch reads the figures until the context ends.
func (u *unread) watch(ctx context.Context) {
	for ctx.Err() == nil {
		sum := map[string]int64{}
		data, err := os.ReadFile("/proc/net/tcp")
		if err == nil {
			for line := range strings.SplitSeq(string(data), "\n") {
				f := strings.Fields(line)
				if len(f) < 5 || f[3] != "01" && f[3] != "08" { // established, or closed by the client
					continue
				}
				_, rx, _ := strings.Cut(f[4], ":")
				var n int64
				fmt.Sscanf(rx, "%X", &n)
				sum[f[1]] += n
			}
			u.mu.Lock()
			u.sum = sum
			u.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// of returns the unread bytes of the connections that were accepted at an address.
func (u *unread) of(address string) int64 {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return 0
	}
	ip := a.IP.To4()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sum[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)]
}

// tcpEstablished is the state of a connection that neither side has closed.
const tcpEstablished = 1

// established reports whether neither side has ended a connection.
func established(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	state := byte(0)
	_ = raw.Control(func(fd uintptr) {
		var info [8]byte // the first byte of struct tcp_info is the state
		size := uint32(len(info))
		if _, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO, uintptr(unsafe.Pointer(&info[0])),
			uintptr(unsafe.Pointer(&size)), 0); errno == 0 {
			state = info[0]
		}
	})
	return state == tcpEstablished
}

func sortedAttempts(list []attempt) []attempt {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b attempt) int { return a.sentAt.Compare(b.sentAt) })
	return list
}
