package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"reflect"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
)

// Sizes in a datagram of the membership protocol, in bytes.
const (
	MaxDatagramBytes = membership.MaxDatagramBytes
	// gossipMACBytes is the truncated length of HMAC-SHA-256 (RFC 2104, section 5; RFC 4868, section 2.3), which saves 16 bytes in each datagram.
	gossipMACBytes = 16
)

// gossipContext is the input from which the datagram key is derived, so that the key differs from those of other uses of the
// cluster secret. Its number changes with the datagram format, so that datagrams in another format fail authentication.
const gossipContext = "arbutusspan membership 2"

// gossipHead is part of every datagram. It is encoded as an array, which is 8 bytes shorter than a map with keys; an entry host
// sends and receives some 20 datagrams a second.
type gossipHead struct {
	_           struct{} `cbor:",toarray"`
	Type        uint8    // kind and state, as encoded by gossipType
	Nonce       uint64
	From        string
	Incarnation membership.Incarnation
	Seq         uint64
	Counter     uint32
	Position    int64
}

// gossipOptional contains the fields that are empty in most datagrams. It follows the head if any of them is set.
type gossipOptional struct {
	MarksDigest        uint32                   `cbor:"1,keyasint,omitempty"`
	Target             netip.AddrPort           `cbor:"2,keyasint,omitzero"`
	WantRecord         bool                     `cbor:"3,keyasint,omitempty"`
	MaxPositionHost    string                   `cbor:"4,keyasint,omitempty"`
	MaxPosition        int64                    `cbor:"5,keyasint,omitempty"`
	MaxPositionCounter uint32                   `cbor:"6,keyasint,omitempty"`
	SyncComplete       bool                     `cbor:"7,keyasint,omitempty"`
	Zones              []string                 `cbor:"8,keyasint,omitempty"` // zone names that Updates refer to
	Updates            []gossipRecord           `cbor:"9,keyasint,omitempty"`
	Marks              []membership.LeavingMark `cbor:"10,keyasint,omitempty"`
	TableDigest        uint64                   `cbor:"11,keyasint,omitempty"`
}

// gossipRecord is a membership.Record that refers to its zone by index, so that a datagram contains each zone name only once.
type gossipRecord struct {
	_            struct{} `cbor:",toarray"`
	Host         string
	Incarnation  membership.Incarnation
	IP           netip.Addr
	CallerPort   uint16
	PeerPort     uint16
	Zone         uint8 // index in Zones
	State        membership.State
	Suspected    bool
	Counter      uint32
	Position     int64
	UptimeTenths uint32
}

// gossipTypeKinds is the number of kinds for which gossipType has room. CBOR encodes its results, up to 23, in one byte.
const gossipTypeKinds = 8

// gossipType encodes a kind and a state as one number.
func gossipType(k membership.Kind, s membership.State) uint8 {
	return uint8(k) - 1 + gossipTypeKinds*(uint8(s)-1)
}

// GossipCodec encodes and decodes datagrams of the membership protocol. It is safe for concurrent use.
type GossipCodec struct {
	key []byte
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewGossipCodec derives the datagram key from the cluster secret.
func NewGossipCodec(secret string) *GossipCodec {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(gossipContext))
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // constant options
	}
	dec, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: 256, MaxMapPairs: 32,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return &GossipCodec{key: mac.Sum(nil), enc: enc, dec: dec}
}

// Encode returns the datagram of a message: the truncated HMAC, then one or two CBOR items.
func (c *GossipCodec) Encode(m *membership.Message) ([]byte, error) {
	body, err := c.enc.Marshal(gossipHead{Type: gossipType(m.Kind, m.State), Nonce: m.Nonce, From: m.From, Incarnation: m.Incarnation,
		Seq: m.Seq, Counter: m.Counter, Position: m.Position})
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	if rest := optionalFields(m); !reflect.ValueOf(rest).IsZero() {
		more, err := c.enc.Marshal(rest)
		if err != nil {
			return nil, fmt.Errorf("encode datagram: %w", err)
		}
		body = append(body, more...)
	}
	if len(body)+gossipMACBytes > MaxDatagramBytes {
		return nil, fmt.Errorf("datagram has %d bytes, more than %d", len(body)+gossipMACBytes, MaxDatagramBytes)
	}
	return append(c.truncatedMAC(body), body...), nil
}

func optionalFields(m *membership.Message) gossipOptional {
	rest := gossipOptional{MarksDigest: m.MarksDigest, Target: m.Target, WantRecord: m.WantRecord, MaxPositionHost: m.MaxPositionHost, MaxPosition: m.MaxPosition, MaxPositionCounter: m.MaxPositionCounter,
		SyncComplete: m.SyncComplete, TableDigest: m.TableDigest, Marks: m.Marks}
	for i := range m.Updates {
		r := &m.Updates[i]
		zone := slices.Index(rest.Zones, r.Zone)
		if zone < 0 {
			zone = len(rest.Zones)
			rest.Zones = append(rest.Zones, r.Zone)
		}
		rest.Updates = append(rest.Updates, gossipRecord{Host: r.Host, Incarnation: r.Incarnation, IP: r.IP, CallerPort: r.CallerPort, PeerPort: r.PeerPort,
			Zone: uint8(zone), State: r.State, Suspected: r.Suspected, Counter: r.Counter, Position: r.Position, UptimeTenths: r.UptimeTenths})
	}
	return rest
}

// Decode authenticates a datagram before it parses it, and validates the message.
func (c *GossipCodec) Decode(datagram []byte) (*membership.Message, error) {
	if len(datagram) <= gossipMACBytes || len(datagram) > MaxDatagramBytes {
		return nil, fmt.Errorf("datagram has %d bytes, which is out of range", len(datagram))
	}
	body := datagram[gossipMACBytes:]
	if !hmac.Equal(c.truncatedMAC(body), datagram[:gossipMACBytes]) {
		return nil, fmt.Errorf("datagram is not authentic; check that all hosts have the same cluster_secret")
	}
	return c.decodeBody(body)
}

func (c *GossipCodec) decodeBody(body []byte) (*membership.Message, error) {
	var head gossipHead
	var rest gossipOptional
	more, err := c.dec.UnmarshalFirst(body, &head)
	if err == nil && len(more) > 0 {
		err = c.dec.Unmarshal(more, &rest)
	}
	if err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	m := &membership.Message{Kind: membership.Kind(head.Type%gossipTypeKinds + 1), State: membership.State(head.Type/gossipTypeKinds + 1),
		Nonce: head.Nonce, From: head.From, Incarnation: head.Incarnation, Seq: head.Seq, Counter: head.Counter, Position: head.Position,
		MarksDigest: rest.MarksDigest, Target: rest.Target, WantRecord: rest.WantRecord, MaxPositionHost: rest.MaxPositionHost,
		MaxPosition: rest.MaxPosition, MaxPositionCounter: rest.MaxPositionCounter, SyncComplete: rest.SyncComplete, TableDigest: rest.TableDigest, Marks: rest.Marks}
	for i := range rest.Updates {
		r := &rest.Updates[i]
		if int(r.Zone) >= len(rest.Zones) {
			return nil, fmt.Errorf("decode datagram: record of %.63q has a zone index out of range", r.Host)
		}
		m.Updates = append(m.Updates, membership.Record{Host: r.Host, Incarnation: r.Incarnation, IP: r.IP, CallerPort: r.CallerPort, PeerPort: r.PeerPort,
			Zone: rest.Zones[r.Zone], State: r.State, Suspected: r.Suspected, Counter: r.Counter, Position: r.Position, UptimeTenths: r.UptimeTenths})
	}
	return m, m.Validate()
}

// truncatedMAC returns the truncated HMAC of a datagram's body.
func (c *GossipCodec) truncatedMAC(body []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write(body)
	return mac.Sum(nil)[:gossipMACBytes]
}
