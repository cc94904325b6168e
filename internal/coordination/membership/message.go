package membership

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// State is the state that a member reports of itself, or Dead, which other members declare.
type State uint8

// States of a member.
const (
	CatchingUp State = iota + 1 // reads the contracts and the host list, and does not serve callers yet
	Serving
	Leaving // planned stop
	Dead
)

func (s State) String() string {
	switch s {
	case CatchingUp:
		return "catching_up"
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Incarnation identifies one process start of a host. A later start has a higher value.
type Incarnation uint64

// incarnationRandomBits is the number of low bits of an Incarnation that are random.
const incarnationRandomBits = 16

// NewIncarnation combines the start time in milliseconds with 16 random bits. A later start of a host supersedes an earlier one,
// and the random bits distinguish two starts in the same millisecond.
func NewIncarnation(start time.Time, random uint16) Incarnation {
	return Incarnation(uint64(start.UnixMilli())<<incarnationRandomBits | uint64(random))
}

// String returns 16 hex digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// Record describes one member in the messages between members.
type Record struct {
	Host         string
	Incarnation  Incarnation
	IP           netip.Addr
	CallerPort   uint16
	PeerPort     uint16
	Zone         string
	State        State
	Suspected    bool
	Counter      uint32 // incremented only by the member itself: at each change of its state, and to refute a suspicion
	Position     int64  // next offset of the configuration stream that the member reads
	UptimeTenths uint32 // age of the member's process when the record was sent, in tenths of a second
}

// LeavingMark states that an incarnation of an upstream is leaving. It is the encoded form of endpoints.LeavingMark.
type LeavingMark struct {
	_                   struct{} `cbor:",toarray"`
	Address             string
	Incarnation         string
	LearnedSecondsAgo   uint32 // seconds since the first host learned that the upstream is leaving
	LastNamedSecondsAgo uint32 // seconds since a host list or the upstream itself last mentioned the incarnation
}

func (m LeavingMark) id() endpoints.ID {
	return endpoints.ID{Address: m.Address, Incarnation: m.Incarnation}
}

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	Ping        Kind = iota + 1 // checks whether the receiver is alive
	Ack                         // reply to Ping, with the same nonce
	PingRequest                 // asks the receiver to ping Target and to relay the ack of Target
	SyncRequest                 // starts a full exchange: asks for all members and marks
	Push                        // carries members and marks; it gets no reply
	kindLimit                   // one more than the last kind
)

// Message is one datagram before encoding.
type Message struct {
	Kind               Kind
	Nonce              uint64
	From               string
	Incarnation        Incarnation
	Seq                uint64         // sequence number of the datagram, by which receivers reject replays
	State              State          // of the sender
	Counter            uint32         // of the sender, as in Record
	Position           int64          // of the sender, as in Record
	MarksDigest        uint32         // digest of the sender's recent marks
	Target             netip.AddrPort // PingRequest: the address to ping
	WantRecord         bool           // Ping: the ack must carry the full record of its sender
	MaxPositionHost    string         // the member with the highest configuration position that the sender knows, if it is not the sender
	MaxPosition        int64          // position of MaxPositionHost
	MaxPositionCounter uint32         // counter of MaxPositionHost
	SyncComplete       bool           // Push: the last datagram of the reply to a SyncRequest
	TableDigest        uint64         // SyncRequest: TableDigest of the sender's records; 0 asks for all records
	Updates            []Record
	Marks              []LeavingMark
}

// Maximum lengths of the strings in a message, in bytes.
const (
	MaxHostBytes      = 63
	MaxZoneBytes      = 64
	MaxMarkFieldBytes = 64 // of the address and of the incarnation of a mark, each
)

// Validate returns an error if a field has a value that no member sends.
func (m *Message) Validate() error {
	ok := m.Kind >= Ping && m.Kind < kindLimit && validHost(m.From) && m.Incarnation != 0 &&
		m.State >= CatchingUp && m.State <= Leaving && m.Position >= 0 && m.MaxPosition >= 0 && len(m.MaxPositionHost) <= MaxHostBytes &&
		m.Counter < maxCounter && (m.Kind != PingRequest || m.Target.IsValid())
	for _, r := range m.Updates {
		ok = ok && validHost(r.Host) && r.Incarnation != 0 && r.IP.IsValid() && r.IP.Zone() == "" && r.PeerPort > 0 &&
			len(r.Zone) <= MaxZoneBytes && r.State >= CatchingUp && r.State <= Dead && r.Counter < maxCounter && r.Position >= 0
	}
	for _, mark := range m.Marks {
		ok = ok && mark.Address != "" && len(mark.Address) <= MaxMarkFieldBytes && len(mark.Incarnation) <= MaxMarkFieldBytes
	}
	if !ok {
		return fmt.Errorf("message of kind %d from %.63q has a field out of range", m.Kind, m.From)
	}
	return nil
}

// maxCounter bounds the counters in received messages. It is far below the maximum of uint32, so that the counter cannot
// overflow when a member increments it to refute a suspicion.
const maxCounter = 1 << 30

func validHost(s string) bool { return s != "" && len(s) <= MaxHostBytes }

// Packet is a message and its destination address.
type Packet struct {
	To      netip.AddrPort
	Message *Message
}

// Upper bounds of encoded sizes, in bytes. The encoding in package wire stays below them, so that a message that is filled
// according to them always fits into MaxDatagramBytes.
const (
	MaxDatagramBytes = 1200
	HeaderBytes      = 280 // authentication code and all fields except Updates and Marks
	RecordFixedBytes = 64  // a record without its Host and Zone strings
	markFixedBytes   = 16  // a mark without its Address and Incarnation strings
)

func recordBytes(r *Record) int { return RecordFixedBytes + len(r.Host) + len(r.Zone) }

func markBytes(id endpoints.ID) int { return markFixedBytes + len(id.Address) + len(id.Incarnation) }
