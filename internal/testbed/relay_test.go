package testbed

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// startEchoServer starts an echo server on one port for TCP and UDP, and returns its address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, u, err := listenBoth(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); u.Close() })
	address := l.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	go func() {
		buf := make([]byte, 1500)
		for {
			n, from, err := u.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			u.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	return address
}

// TestRelay guards against a relay that does not delay traffic, loses traffic in mode Stall, or forwards traffic that its mode drops.
func TestRelay(t *testing.T) {
	const delay = 5 * time.Millisecond
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			is := is.New(t)
			r, err := NewRelay(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t), func(netip.Addr) time.Duration { return delay })
			is.NoErr(err)
			defer r.Close()
			c, err := net.Dial(network, r.Address().String())
			is.NoErr(err)
			defer c.Close()
			lines := bufio.NewReader(c)
			send := func(text string) { _, err := io.WriteString(c, text+"\n"); is.NoErr(err) }
			receive := func() string { text, err := lines.ReadString('\n'); is.NoErr(err); return text }

			began := time.Now()
			send("one")
			is.Equal(receive(), "one\n")
			is.True(time.Since(began) >= 2*delay)

			r.SetMode(Stall)
			send("two")
			r.SetMode(Pass)
			is.Equal(receive(), "two\n")

			r.SetMode(MuteForward)
			send("lost")
			for r.Dropped() == 0 {
				time.Sleep(time.Millisecond)
			}
			r.SetMode(Pass)
			if network == "udp" {
				send("three")
				is.Equal(receive(), "three\n")
				return
			}
			r.SetMode(Cut)
			_, err = lines.ReadString('\n')
			is.True(err != nil)
		})
	}
}

// TestSilence guards against a Silence that closes the connections, which both ends would detect, or that also affects connections
// that are opened later.
func TestSilence(t *testing.T) {
	is := is.New(t)
	r, err := NewRelay(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t), func(netip.Addr) time.Duration { return 0 })
	is.NoErr(err)
	defer r.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", r.Address().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	echo := func(c net.Conn, lines *bufio.Reader) {
		t.Helper()
		_, err := io.WriteString(c, "x\n")
		is.NoErr(err)
		text, err := lines.ReadString('\n')
		is.NoErr(err)
		is.Equal(text, "x\n")
	}
	c, lines := dial()
	echo(c, lines)
	r.Silence()
	_, err = io.WriteString(c, "lost\n")
	is.NoErr(err)
	later, laterLines := dial()
	echo(later, laterLines)
	is.NoErr(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = lines.ReadString('\n')
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestCutAnswers guards against responses that are forwarded whole although they should be truncated, and against truncated ones
// whose connection stays open.
func TestCutAnswers(t *testing.T) {
	is := is.New(t)
	r, err := NewRelay(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t), func(netip.Addr) time.Duration { return 0 })
	is.NoErr(err)
	defer r.Close()
	r.SetMode(CutAnswers)
	const text = "an answer that is long enough to be cut\n"
	for earlierCuts := range 4 {
		c, err := net.Dial("tcp", r.Address().String())
		is.NoErr(err)
		lines := bufio.NewReader(c)
		for i := range cutInterval {
			_, err := io.WriteString(c, text)
			is.NoErr(err)
			got, err := lines.ReadString('\n')
			is.Equal(err == nil, i < cutInterval-1)
			is.Equal(got == text, err == nil)
		}
		c.Close()
		is.Equal(r.Cuts(), earlierCuts+1)
	}
}

// TestListenBoth guards against a relay that fails to start because the port chosen for TCP is already in use for UDP.
func TestListenBoth(t *testing.T) {
	is := is.New(t)
	usedPorts := map[uint16]bool{}
	for range 200 {
		tcp, udp, err := listenBoth(netip.MustParseAddrPort("127.0.0.1:0"))
		is.NoErr(err)
		tcp.Close()
		defer udp.Close() // until then the port is in use for UDP but free for TCP
		usedPorts[udp.LocalAddr().(*net.UDPAddr).AddrPort().Port()] = true
	}
	is.Equal(len(usedPorts), 200)
	for port := range usedPorts {
		_, _, err := listenBoth(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port))
		is.True(err != nil) // a specific port is not replaced by another one
	}
}

// TestBandwidth guards against a limit that each connection has for itself, that the echo in the other direction shares, or that lasts
// after it was lifted.
func TestBandwidth(t *testing.T) {
	const size, bitsPerSecond, connections = 50_000, 4e6, 2
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Relay{done: make(chan struct{}), openConns: map[net.Conn]netip.Addr{}, silenceCh: make(chan struct{})}
		transfer := func() time.Duration {
			begin := time.Now()
			var all sync.WaitGroup
			for range connections {
				c, in := net.Pipe()
				out, target := net.Pipe()
				go r.forwardStream(out, in, netip.Addr{}, 0, true, r.nextSilence())
				go r.forwardStream(in, out, netip.Addr{}, 0, false, r.nextSilence())
				go func() { io.Copy(target, target) }()
				go c.Write(make([]byte, size))
				all.Go(func() {
					_, err := io.ReadFull(c, make([]byte, size))
					is.NoErr(err)
					c.Close()
					target.Close()
				})
			}
			all.Wait()
			return time.Since(begin)
		}
		least := time.Duration(connections * size * bitsPerByte / bitsPerSecond * float64(time.Second))
		r.SetBandwidth(bitsPerSecond)
		limited := transfer()
		is.True(limited >= least)
		is.True(limited < 2*least) // the directions do not share a limit
		r.SetBandwidth(0)
		is.Equal(transfer(), time.Duration(0))
	})
}

// TestReset guards against a relay that turns the reset of a connection into its end, or delivers bytes that were still delayed when the
// connection was reset.
func TestReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 1)
		c.Read(buf)
		c.Write(buf)
		c.Read(buf) // the caller has received the first byte
		c.Write([]byte("discarded"))
		resetConn(c)
	}()
	r, err := NewRelay(netip.MustParseAddrPort("127.0.0.1:0"), l.Addr().(*net.TCPAddr).AddrPort(), func(netip.Addr) time.Duration { return 50 * time.Millisecond })
	is.NoErr(err)
	defer r.Close()
	c, err := net.Dial("tcp", r.Address().String())
	is.NoErr(err)
	defer c.Close()
	buf := make([]byte, 20)
	for range 2 {
		_, err = c.Write([]byte("x"))
		is.NoErr(err)
		if err != nil {
			return
		}
		var n int
		if n, err = c.Read(buf); err == nil {
			is.Equal(string(buf[:n]), "x")
		}
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestModeForSource guards against a mode for one source that acts on the connections of others, closes what it has to leave open, or lasts after it
// was lifted.
func TestModeForSource(t *testing.T) {
	is := is.New(t)
	r, err := NewRelay(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t), func(netip.Addr) time.Duration { return 0 })
	is.NoErr(err)
	defer r.Close()
	dial := func(source string) net.Conn {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}).Dial("tcp", r.Address().String())
		is.NoErr(err)
		return c
	}
	echo := func(c net.Conn) error {
		is.NoErr(c.SetDeadline(time.Now().Add(200 * time.Millisecond)))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	const cut, other = "127.0.0.2", "127.0.0.3"
	refused := func() bool { // the reset may arrive before the dial returns
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(cut)}}).Dial("tcp", r.Address().String())
		return err != nil || echo(c) != nil
	}
	source := netip.MustParseAddr(cut)
	for _, c := range []struct {
		mode      Mode
		openLives bool
	}{{Cut, false}, {Stall, false}, {MuteReturn, false}, {MuteForward, false}, {RefuseNew, true}} {
		open, calm := dial(cut), dial(other)
		is.NoErr(echo(open))
		is.NoErr(echo(calm))
		r.SetModeFor(source, c.mode)
		is.Equal(echo(open) == nil, c.openLives)
		is.NoErr(echo(calm))
		is.NoErr(echo(dial(other)))
		is.True(refused())
		r.SetModeFor(source, Pass)
		is.NoErr(echo(dial(cut)))
		open.Close()
		calm.Close()
	}
}
