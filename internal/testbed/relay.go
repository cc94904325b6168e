package testbed

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Mode selects how a Relay handles traffic.
type Mode int

// Modes of a Relay.
const (
	Pass        Mode = iota // traffic is forwarded
	Cut                     // open and new connections are closed, and datagrams are dropped
	Stall                   // connections stay open, and traffic is held until the mode changes
	MuteForward             // traffic to the target is dropped; traffic from the target is forwarded
	MuteReturn              // traffic from the target is dropped; traffic to the target is forwarded
	CutAnswers              // every third TCP chunk from the target is forwarded in part, and its connection is closed
	RefuseNew               // new connections are closed; open ones and datagrams are forwarded
)

// cutInterval is the number of chunks of which CutAnswers truncates one. The others are forwarded whole, so that retries can succeed.
const cutInterval = 3

const (
	maxChunkBytes   = 32 << 10 // maximum bytes of a chunk or datagram
	maxQueuedChunks = 1024     // maximum number of chunks that are delayed or stalled in one direction of a connection
)

// Relay forwards TCP and UDP traffic from a port to the target, a port of an entry host. It adds a one-way delay in each direction
// and simulates network failures, as selected by its Mode. Once bytes of a TCP connection are dropped in one direction, all later
// bytes of that direction are dropped too, because real networks never deliver a TCP stream with a gap. A reset of a TCP connection
// discards the bytes of its direction that are still delayed, because a receiver may discard what it has not read when a reset arrives
// (RFC 9112 section 9.6).
type Relay struct {
	target netip.AddrPort
	delay  func(source netip.Addr) time.Duration
	tcp    net.Listener
	udp    *net.UDPConn
	done   chan struct{}
	wg     sync.WaitGroup

	toTarget, fromTarget bandwidth

	mu           sync.Mutex
	mode         Mode
	sourceModes  map[netip.Addr]Mode             // modes of the TCP connections from some sources, in place of mode
	changed      chan struct{}                   // closed and replaced when the mode changes
	openConns    map[net.Conn]netip.Addr         // open connections, by their source
	silenceCh    chan struct{}                   // closed and replaced by Silence
	sockets      map[netip.AddrPort]*net.UDPConn // source -> socket connected to the target
	dropped      int
	bytes        int64
	returnChunks int // chunks from the target in mode CutAnswers
	cuts         int // chunks truncated in mode CutAnswers
}

// NewRelay listens on the address for TCP and UDP. delay returns the one-way delay for the traffic of a source address, which is
// applied in both directions.
func NewRelay(listen, target netip.AddrPort, delay func(netip.Addr) time.Duration) (*Relay, error) {
	tcp, udp, err := listenBoth(listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, delay: delay, tcp: tcp, udp: udp, done: make(chan struct{}), changed: make(chan struct{}),
		openConns: map[net.Conn]netip.Addr{}, sourceModes: map[netip.Addr]Mode{}, silenceCh: make(chan struct{}), sockets: map[netip.AddrPort]*net.UDPConn{}}
	r.wg.Go(r.acceptConns)
	r.wg.Go(r.forwardDatagrams)
	return r, nil
}

// portAttempts limits how many ports listenBoth tries, because a port that is free for TCP can be in use for UDP.
const portAttempts = 20

// listenBoth listens for TCP and UDP on the same port. Port 0 selects a port that is free for both.
func listenBoth(listen netip.AddrPort) (tcp net.Listener, udp *net.UDPConn, err error) {
	for range portAttempts {
		if tcp, err = net.Listen("tcp", listen.String()); err != nil {
			return nil, nil, err
		}
		bound := tcp.Addr().(*net.TCPAddr).AddrPort()
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(bound)); err == nil {
			return tcp, udp, nil
		}
		tcp.Close()
		if listen.Port() != 0 {
			break
		}
	}
	return nil, nil, err
}

// Address returns the address on which the relay listens for TCP and UDP.
func (r *Relay) Address() netip.AddrPort { return r.tcp.Addr().(*net.TCPAddr).AddrPort() }

// SetMode changes the mode. The new mode also applies to traffic that is delayed or stalled.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	r.applyModes()
}

// SetModeFor changes the mode for the TCP connections from a source address. Pass has them follow the mode of the relay again. Cut and RefuseNew
// reset connections, so that the source sees no orderly end.
func (r *Relay) SetModeFor(source netip.Addr, m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceModes[source] = m
	if m == Pass {
		delete(r.sourceModes, source)
	}
	r.applyModes()
}

// applyModes lets traffic that is delayed or stalled follow changed modes. r.mu must be held.
func (r *Relay) applyModes() {
	close(r.changed)
	r.changed = make(chan struct{})
	for c, source := range r.openConns {
		if r.modeOf(source) == Cut {
			r.refuse(c, source)
		}
	}
}

// refuse closes a connection, with a reset if its source has a mode of its own. r.mu must be held.
func (r *Relay) refuse(c net.Conn, source netip.Addr) {
	if _, ok := r.sourceModes[source]; ok {
		resetConn(c)
		return
	}
	c.Close()
}

// modeOf returns the mode for the connections from a source. The zero address stands for datagrams. r.mu must be held.
func (r *Relay) modeOf(source netip.Addr) Mode {
	if m, ok := r.sourceModes[source]; ok {
		return m
	}
	return r.mode
}

// Silence permanently drops all further traffic of the TCP connections that are open now, in both directions, and keeps them open.
// Connections that are opened later work normally.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenceCh)
	r.silenceCh = make(chan struct{})
}

// nextSilence returns the channel that the next call of Silence closes.
func (r *Relay) nextSilence() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silenceCh
}

// Dropped returns the number of chunks and datagrams that were dropped because of the mode.
func (r *Relay) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Bytes returns the payload bytes that the mode let through, in both directions.
func (r *Relay) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Cuts returns the number of chunks that mode CutAnswers truncated.
func (r *Relay) Cuts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}

// forwardedSize returns how many bytes of a chunk are forwarded. In mode CutAnswers it truncates every third chunk from the target,
// alternately near the end and in the middle, so that both the bodies and the headers of responses are truncated.
func (r *Relay) forwardedSize(forward bool, size int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode != CutAnswers || forward {
		return size
	}
	if r.returnChunks++; r.returnChunks%cutInterval != 0 {
		return size
	}
	r.cuts++
	if r.cuts%2 == 0 {
		return size / 2
	}
	return max(0, size-1-r.cuts%16)
}

// Close closes the listeners and all connections, and waits until all goroutines of the relay have ended.
func (r *Relay) Close() {
	close(r.done)
	r.tcp.Close()
	r.udp.Close()
	r.mu.Lock()
	for c := range r.openConns {
		c.Close()
	}
	for _, c := range r.sockets {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// admit reports whether a chunk from a source, or a datagram, is forwarded in the current mode, and counts it. It blocks in mode Stall.
func (r *Relay) admit(source netip.Addr, forward bool, size int) bool {
	for {
		r.mu.Lock()
		mode, changed := r.modeOf(source), r.changed
		blocked := mode == Cut || mode == MuteForward && forward || mode == MuteReturn && !forward
		switch {
		case blocked:
			r.dropped++
		case mode != Stall:
			r.bytes += int64(size)
		}
		r.mu.Unlock()
		if mode != Stall {
			return !blocked
		}
		select {
		case <-changed:
		case <-r.done:
			return false
		}
	}
}

// track registers a connection and returns true. In mode Cut, in mode RefuseNew or after Close it closes the connection and returns false.
func (r *Relay) track(c net.Conn, source netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
	default:
		if m := r.modeOf(source); m != Cut && m != RefuseNew {
			r.openConns[c] = source
			return true
		}
	}
	r.refuse(c, source)
	return false
}

func (r *Relay) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openConns, c)
}

func (r *Relay) acceptConns() {
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		if r.track(in, source) {
			r.wg.Go(func() { r.forwardConn(in, source) })
		}
	}
}

// forwardConn opens a connection to the target and forwards traffic between the two connections until both directions have ended.
func (r *Relay) forwardConn(in net.Conn, source netip.Addr) {
	defer r.untrack(in)
	silenced := r.nextSilence()
	out, err := net.Dial("tcp", r.target.String())
	if err != nil || !r.track(out, source) {
		return
	}
	defer r.untrack(out)
	delay := r.delay(source)
	var both sync.WaitGroup
	both.Go(func() { r.forwardStream(out, in, source, delay, true, silenced) })
	both.Go(func() { r.forwardStream(in, out, source, delay, false, silenced) })
	both.Wait()
}

// chunk is the result of one read from a TCP connection.
type chunk struct {
	due  time.Time // when it is forwarded
	data []byte
}

// forwardStream forwards one direction of a connection with the delay. At the end of the stream it closes the write side of the
// connection to, or resets it if the stream ended with a reset, unless traffic of that direction was dropped.
func (r *Relay) forwardStream(to, from net.Conn, source netip.Addr, delay time.Duration, forward bool, silenced <-chan struct{}) {
	queue := make(chan chunk, maxQueuedChunks)
	var reset atomic.Bool
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, maxChunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{time.Now().Add(delay), buf[:n]}
			}
			if err != nil {
				reset.Store(errors.Is(err, syscall.ECONNRESET))
				return
			}
		}
	}()
	silent := false
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if !silent {
			time.Sleep(time.Until(r.transferred(forward, len(c.data))))
		}
		silent = !r.admit(source, forward, len(c.data)) || silent || isClosed(silenced)
		if silent || reset.Load() {
			continue
		}
		size := r.forwardedSize(forward, len(c.data))
		_, err := to.Write(c.data[:size])
		if size < len(c.data) {
			to.Close()
		}
		if err != nil || size < len(c.data) {
			from.Close()
			silent = true
		}
	}
	if silent {
		return
	}
	if reset.Load() {
		if r.admit(source, forward, 0) && !isClosed(silenced) {
			resetConn(to)
		}
		return
	}
	if writeCloser, ok := to.(interface{ CloseWrite() error }); ok {
		writeCloser.CloseWrite()
	}
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// forwardDatagrams forwards datagrams to the target. Each source has its own socket, on which the target's replies are received.
func (r *Relay) forwardDatagrams() {
	buf := make([]byte, maxChunkBytes)
	for {
		n, source, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		socket, err := r.socketFor(source)
		if err != nil {
			continue
		}
		data := append([]byte{}, buf[:n]...)
		r.afterDelay(source, true, len(data), func() { socket.Write(data) })
	}
}

// afterDelay calls send after the delay for the source and the time of the transfer, unless the mode at that time drops the datagram.
func (r *Relay) afterDelay(source netip.AddrPort, forward bool, size int, send func()) {
	time.AfterFunc(r.delay(source.Addr())+time.Until(r.transferred(forward, size)), func() {
		if r.admit(netip.Addr{}, forward, size) {
			send()
		}
	})
}

// socketFor returns the socket of the source. If there is none, it opens one and starts to forward the target's replies.
func (r *Relay) socketFor(source netip.AddrPort) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return nil, net.ErrClosed // Close has already closed the sockets of all sources
	default:
	}
	if c := r.sockets[source]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil, err
	}
	r.sockets[source] = c
	r.wg.Go(func() {
		buf := make([]byte, maxChunkBytes)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // the target isn't listening at the moment
			}
			data := append([]byte{}, buf[:n]...)
			r.afterDelay(source, false, len(data), func() { r.udp.WriteToUDPAddrPort(data, source) })
		}
	})
	return c, nil
}
