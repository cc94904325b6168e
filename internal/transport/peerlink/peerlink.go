// Package peerlink sends messages between entry hosts over UDP: heartbeats, and updates with what a host has read from the store. Lost
// messages are not retransmitted: the next message replaces a lost one, or the receiver reads the store itself.
package peerlink

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quota"
	"github.com/arbutusspan/arbutusspan/internal/coordination/ratelimit"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Message is the content of one datagram.
type Message struct {
	From   peers.Host     `cbor:"1,keyasint"`
	Status peers.Status   `cbor:"2,keyasint"`
	Update *follow.Update `cbor:"3,keyasint,omitempty"`
	// Hosts lists other hosts that the sender knows.
	Hosts []peers.Host `cbor:"4,keyasint,omitempty"`
	// RequestHosts requests a message with Hosts from the receiver.
	RequestHosts bool `cbor:"5,keyasint,omitempty"`
	// Leaving lists endpoints that have told the sender in their responses that they are leaving, at most MaxLeaving.
	Leaving []endpoints.ID `cbor:"6,keyasint,omitempty"`
	// Forwarded is set if Update is that of another host.
	Forwarded bool `cbor:"7,keyasint,omitempty"`
	// Limits lists what the sender knows of the rate limits of endpoints, at most MaxLimits.
	Limits []ratelimit.Statement `cbor:"8,keyasint,omitempty"`
	// PermitRequest asks for permits for an endpoint with a rate limit, and Grant is the response to such a request.
	PermitRequest *ratelimit.Request `cbor:"9,keyasint,omitempty"`
	Grant         *ratelimit.Grant   `cbor:"10,keyasint,omitempty"`
	// Crashes is an update about requests that end the endpoints which run them.
	Crashes *quarantine.Update `cbor:"11,keyasint,omitempty"`
	// Ways says which services the sender reaches.
	Ways *detour.Report `cbor:"12,keyasint,omitempty"`
	// QuotaRequests asks for permits for the requests of customers, and QuotaGrants are the responses to such requests; at most quota.MaxRequests each.
	QuotaRequests []quota.Request `cbor:"13,keyasint,omitempty"`
	QuotaGrants   []quota.Grant   `cbor:"14,keyasint,omitempty"`
}

// MaxLeaving is the maximum length of Message.Leaving. An endpoint's ID takes about 50 bytes.
const MaxLeaving = 32

// MaxLimits is the maximum length of Message.Limits. A statement takes about 70 bytes.
const MaxLimits = 32

// maxDatagramBytes is the maximum size of a received datagram in bytes.
const maxDatagramBytes = 64 << 10

// Link sends and receives messages.
type Link struct {
	conn *net.UDPConn
}

// Listen opens a UDP socket at the address, which has the form IP:port.
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

// Send sends a message to each address. If one fails, Send continues with the next one and returns all errors at the end. It does not
// retry, because the next heartbeat is sent to all addresses again.
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

// Receive calls f for each message until the link is closed. It calls malformed for each datagram that is not a valid message and for
// each failed read.
func (l *Link) Receive(f func(*Message), malformed func(from netip.AddrPort, err error)) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			malformed(from, err) // for example an ICMP error caused by an earlier send; the socket stays usable
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

// The first byte of a datagram says how the rest is encoded.
const (
	uncompressed = 0
	compressed   = 1
)

const (
	// compressAboveBytes is the size in bytes above which a message is compressed. Below it, compression costs more than it saves.
	compressAboveBytes = 1000
	// maxMessageBytes is the maximum size of a decompressed message in bytes.
	maxMessageBytes = 1 << 20
)

// encode returns the datagram for a message.
func encode(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(data) <= compressAboveBytes {
		return append([]byte{uncompressed}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(compressed)
	zw := compressors.Get().(*flate.Writer)
	defer compressors.Put(zw)
	zw.Reset(&out)
	if _, err := zw.Write(data); err != nil {
		return nil, err
	}
	err = zw.Close()
	return out.Bytes(), err
}

// Compressors and decompressors are reused: a new one takes several hundred kilobytes of memory.
var (
	compressors = sync.Pool{New: func() any {
		zw, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a valid constant
		}
		return zw
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

var errNotMessage = trace.BadParameter("the datagram is not a message of an entry host")

// decode decodes the message of a datagram into m.
func decode(data []byte, m *Message) error {
	if len(data) == 0 {
		return errNotMessage
	}
	body := data[1:]
	switch data[0] {
	case uncompressed:
	case compressed:
		zr := decompressors.Get().(io.ReadCloser)
		defer decompressors.Put(zr)
		err := zr.(flate.Resetter).Reset(bytes.NewReader(body), nil)
		if err != nil {
			return err
		}
		if body, err = io.ReadAll(io.LimitReader(zr, maxMessageBytes)); err != nil {
			return err
		}
	default:
		return errNotMessage
	}
	if err := cbor.Unmarshal(body, m); err != nil {
		return err
	}
	return m.check()
}

// maxUpdateAgeMS bounds the age of an update in milliseconds. Updates are sent right after a read of the store.
const maxUpdateAgeMS = 3_600_000

// maxEpochAgeMS bounds the age of an epoch in milliseconds. No process has known one for longer than ten years.
const maxEpochAgeMS = 10 * 365 * 24 * 3_600_000

// check returns an error if the message states figures that no host has. A negative age would make this host's copy of the store look fresh
// for as long, so that the host would not read the store.
func (m *Message) check() error {
	if u := m.Update; u != nil && (u.AgeMS < 0 || u.AgeMS > maxUpdateAgeMS) {
		return trace.BadParameter("the update is %d ms old: not 0 to %d", u.AgeMS, maxUpdateAgeMS)
	}
	if u := m.Update; u != nil && (u.EpochAgeMS < 0 || u.EpochAgeMS > maxEpochAgeMS) {
		return trace.BadParameter("the store's epoch is %d ms old: not 0 to %d", u.EpochAgeMS, maxEpochAgeMS)
	}
	if err := m.checkLimits(); err != nil {
		return err
	}
	if err := m.Crashes.Check(); err != nil {
		return err
	}
	if err := m.Ways.Check(); err != nil {
		return err
	}
	if err := m.checkQuotas(); err != nil {
		return err
	}
	if m.Status.Rate < 0 {
		return trace.BadParameter("the rate is %d: negative", m.Status.Rate)
	}
	if !m.From.SizeIsPossible() || slices.ContainsFunc(m.Hosts, func(h peers.Host) bool { return !h.SizeIsPossible() }) {
		return trace.BadParameter("the cores or the bandwidth of a host is negative or not a finite number")
	}
	return nil
}

// checkLimits returns an error if the message states limits, or permits, that no host sends.
func (m *Message) checkLimits() error {
	for i := range m.Limits {
		if err := m.Limits[i].Check(); err != nil {
			return err
		}
	}
	if m.PermitRequest != nil {
		if err := m.PermitRequest.Check(); err != nil {
			return err
		}
	}
	if m.Grant != nil {
		return m.Grant.Check()
	}
	return nil
}

// checkQuotas returns an error if the message states requests for permits, or grants, that no host sends.
func (m *Message) checkQuotas() error {
	if len(m.QuotaRequests) > quota.MaxRequests || len(m.QuotaGrants) > quota.MaxRequests {
		return trace.BadParameter("the message has %d requests for permits and %d grants: not 0 to %d", len(m.QuotaRequests), len(m.QuotaGrants), quota.MaxRequests)
	}
	for i := range m.QuotaRequests {
		if err := m.QuotaRequests[i].Check(); err != nil {
			return err
		}
	}
	for i := range m.QuotaGrants {
		if err := m.QuotaGrants[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the socket, which makes Receive return.
func (l *Link) Close() error { return l.conn.Close() }
