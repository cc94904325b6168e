// Package peerlink carries messages between entry hosts over UDP: heartbeats, and what a host has read from the store. A lost message is
// not sent again: the next message replaces it, or the receiver reads the store itself.
package peerlink

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// Message is one datagram.
type Message struct {
	From   peers.Host     `cbor:"1,keyasint"`
	Status peers.Status   `cbor:"2,keyasint"`
	Update *follow.Update `cbor:"3,keyasint,omitempty"`
	// Hosts describes other hosts that the sender knows.
	Hosts []peers.Host `cbor:"4,keyasint,omitempty"`
	// RequestHosts asks the receiver for a message with Hosts.
	RequestHosts bool `cbor:"5,keyasint,omitempty"`
}

// maxDatagram bounds what is read.
const maxDatagram = 64 << 10

// Link sends and receives messages.
type Link struct {
	conn *net.UDPConn
}

// Listen opens the socket.
func Listen(address string) (*Link, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("peer address %q: use IP:port", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s; stop the process that uses it or change the settings", address)
	}
	return &Link{conn: conn}, nil
}

// Send sends a message to each address. It skips an address that cannot be parsed or reached: the next heartbeat is sent to it again.
func (l *Link) Send(m *Message, to []string) error {
	data, err := encode(m)
	if err != nil {
		return trace.Wrap(err, "encode a message")
	}
	var errs []error
	for _, address := range to {
		ap, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = l.conn.WriteToUDPAddrPort(data, ap)
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}

// Receive calls f for each message until the link is closed. malformed is called for datagrams that are no message.
func (l *Link) Receive(f func(*Message), malformed func(from netip.AddrPort, err error)) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			malformed(from, err) // an ICMP error of an earlier send; the socket stays usable
			continue
		}
		var m Message
		if err := decode(buf[:n], &m); err != nil {
			malformed(from, err)
			continue
		}
		f(&m)
	}
}

// First byte of a datagram.
const (
	plain      = 0
	compressed = 1
)

const (
	// compressAbove is the size in bytes from which compression saves more than it costs.
	compressAbove = 1000
	// maxMessage bounds a message after decompression.
	maxMessage = 1 << 20
)

func encode(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(data) <= compressAbove {
		return append([]byte{plain}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(compressed)
	zw, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := zw.Write(data); err != nil {
		return nil, err
	}
	err = zw.Close()
	return out.Bytes(), err
}

var errForeign = trace.BadParameter("the datagram is no message of an entry host")

func decode(data []byte, m *Message) error {
	if len(data) == 0 {
		return errForeign
	}
	body := data[1:]
	switch data[0] {
	case plain:
	case compressed:
		var err error
		if body, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxMessage)); err != nil {
			return err
		}
	default:
		return errForeign
	}
	return cbor.Unmarshal(body, m)
}

// Close ends Receive.
func (l *Link) Close() error { return l.conn.Close() }
