package wire

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

const testSecret = "0123456789abcdef"

func sampleMessage() *membership.Message {
	return &membership.Message{Kind: membership.PingRequest, Nonce: 1, From: "tamworth-1", Incarnation: 2, Seq: 3, State: membership.Serving,
		Target:  netip.MustParseAddrPort("10.0.0.1:7000"),
		Updates: []membership.Record{{Host: "burton-1", Incarnation: 4, IP: netip.MustParseAddr("10.0.0.2"), PeerPort: 7000, Zone: "burton-hall", State: membership.Dead}},
		Marks:   []membership.LeavingMark{{Address: "10.0.0.3:80", Incarnation: "5", LearnedSecondsAgo: 6, LastNamedSecondsAgo: 7}}}
}

// TestDatagramIsAuthenticated guards against accepting datagrams that were modified, truncated, extended or encoded with another
// secret.
func TestDatagramIsAuthenticated(t *testing.T) {
	is := is.New(t)
	c := NewGossipCodec(testSecret)
	data, err := c.Encode(sampleMessage())
	is.NoErr(err)
	m, err := c.Decode(data)
	is.NoErr(err)
	is.Equal(m, sampleMessage())
	for i := range data {
		changed := bytes.Clone(data)
		changed[i] ^= 1
		_, err := c.Decode(changed)
		is.True(err != nil)
		_, err = c.Decode(data[:i])
		is.True(err != nil)
	}
	_, err = c.Decode(append(bytes.Clone(data), 0))
	is.True(err != nil)
	_, err = NewGossipCodec(testSecret + "x").Decode(data)
	is.True(err != nil)
}

// TestDatagramKeepsEachField guards against a field that is lost or swapped with another one, and against a datagram that is
// longer than the membership state machine estimates, which the sender would drop.
func TestDatagramKeepsEachField(t *testing.T) {
	c := NewGossipCodec(testSecret)
	host := rapid.StringMatching(`[a-z][a-z0-9-]{0,62}`)
	zone := rapid.SampledFrom([]string{"", "hall", "tamworth-hall", strings.Repeat("z", membership.MaxZoneBytes)})
	ip := rapid.Map(rapid.SliceOfN(rapid.Byte(), 4, 4), func(b []byte) netip.Addr { return netip.AddrFrom4([4]byte(b)) })
	incarnation := rapid.Map(rapid.Uint64Range(1, 1<<63), func(i uint64) membership.Incarnation { return membership.Incarnation(i) })
	counter := rapid.Uint32Range(0, 1<<30-1)
	record := rapid.Custom(func(t *rapid.T) membership.Record {
		return membership.Record{Host: host.Draw(t, "host"), Incarnation: incarnation.Draw(t, "incarnation"), IP: ip.Draw(t, "ip"),
			CallerPort: rapid.Uint16().Draw(t, "caller port"), PeerPort: rapid.Uint16Min(1).Draw(t, "peer port"), Zone: zone.Draw(t, "zone"),
			State:     membership.State(rapid.Uint8Range(uint8(membership.CatchingUp), uint8(membership.Dead)).Draw(t, "state")),
			Suspected: rapid.Bool().Draw(t, "suspected"), Counter: counter.Draw(t, "counter"), Position: rapid.Int64Min(0).Draw(t, "position"),
			UptimeTenths: rapid.Uint32().Draw(t, "uptime tenths")}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		m := &membership.Message{Kind: membership.Kind(rapid.Uint8Range(uint8(membership.Ping), uint8(membership.Push)).Draw(t, "kind")),
			Nonce: rapid.Uint64().Draw(t, "nonce"), From: host.Draw(t, "from"), Incarnation: incarnation.Draw(t, "incarnation"),
			Seq:     rapid.Uint64().Draw(t, "seq"),
			State:   membership.State(rapid.Uint8Range(uint8(membership.CatchingUp), uint8(membership.Leaving)).Draw(t, "state")),
			Counter: counter.Draw(t, "counter"), Position: rapid.Int64Min(0).Draw(t, "position"), MarksDigest: rapid.Uint32().Draw(t, "marks digest"),
			WantRecord: rapid.Bool().Draw(t, "want record"), SyncComplete: rapid.Bool().Draw(t, "sync complete"),
			TableDigest: rapid.Uint64().Draw(t, "table digest")}
		if m.Kind == membership.PingRequest || rapid.Bool().Draw(t, "target") {
			m.Target = netip.AddrPortFrom(ip.Draw(t, "target ip"), rapid.Uint16().Draw(t, "target port"))
		}
		if rapid.Bool().Draw(t, "max position") {
			m.MaxPositionHost, m.MaxPosition, m.MaxPositionCounter = host.Draw(t, "max position host"), rapid.Int64Min(0).Draw(t, "max position value"), counter.Draw(t, "max position counter")
		}
		m.Updates = rapid.SliceOfN(record, 0, 3).Draw(t, "updates")
		if len(m.Updates) == 0 {
			m.Updates = nil
		}
		data, err := c.Encode(m)
		is.NoErr(err)
		got, err := c.Decode(data)
		is.NoErr(err)
		is.Equal(got, m)
		estimated := membership.HeaderBytes
		for _, r := range m.Updates {
			estimated += membership.RecordFixedBytes + len(r.Host) + len(r.Zone)
		}
		is.True(len(data) <= estimated)
	})
}

// TestPlainDatagramIsShort guards against a change of the datagram format that increases the constant traffic of the membership
// protocol: an entry host sends and receives some 20 such datagrams a second.
func TestPlainDatagramIsShort(t *testing.T) {
	is := is.New(t)
	data, err := NewGossipCodec(testSecret).Encode(&membership.Message{Kind: membership.Ping, Nonce: 1 << 63, From: "hall-100", Incarnation: 1 << 63, Seq: 60_000,
		State: membership.Serving, Counter: 1, Position: 60_000})
	is.NoErr(err)
	is.Equal(len(data), 16+1+1+9+9+9+3+1+3)
}

// TestOtherFormatIsRefused guards against decoding a datagram in the format of an earlier version as one of this format, whether or
// not it is authentic.
func TestOtherFormatIsRefused(t *testing.T) {
	is := is.New(t)
	c := NewGossipCodec(testSecret)
	body, err := cbor.Marshal(map[int]any{1: 1, 2: uint64(1 << 63), 3: "tamworth-1", 4: 2, 5: 3, 6: 2})
	is.NoErr(err)
	_, err = c.Decode(append(c.truncatedMAC(body), body...))
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "decode datagram"))
	key := hmac.New(sha256.New, []byte(testSecret))
	key.Write([]byte("arbutusspan membership 1"))
	mac := hmac.New(sha256.New, key.Sum(nil))
	for _, otherBody := range [][]byte{body, must(cbor.Marshal([]any{8, 1, "tamworth-1", 2, 3, 0, 0}))} {
		mac.Reset()
		mac.Write(otherBody)
		_, err = c.Decode(append(mac.Sum(nil)[:gossipMACBytes], otherBody...))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "not authentic"))
	}
	_, err = c.decodeBody(must(cbor.Marshal([]any{8, 1, "tamworth-1", 2, 3, 0, 0})))
	is.NoErr(err) // the last body is valid in this format, so only its key was wrong
	for _, rest := range []any{1, map[int]any{99: 1}, map[int]any{9: []any{[]any{"a", 1, []byte{10, 0, 0, 1}, 1, 1, 0, 2, false, 0, 0, 0}}}} {
		_, err = c.decodeBody(append(must(cbor.Marshal([]any{8, 1, "tamworth-1", 2, 3, 0, 0})), must(cbor.Marshal(rest))...))
		is.True(err != nil) // not a map, an unknown field, a record whose zone index is out of range
	}
}

// FuzzGossipDecode guards against panics and against decoded messages that violate what the membership state machine relies on. It
// also decodes the input without authentication.
func FuzzGossipDecode(f *testing.F) {
	c := NewGossipCodec(testSecret)
	data, err := c.Encode(sampleMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[gossipMACBytes:])
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := c.Decode(data); err == nil && !bytes.Equal(c.truncatedMAC(data[gossipMACBytes:]), data[:gossipMACBytes]) {
			t.Fatal("a datagram that is not authentic was accepted")
		}
		m, err := c.decodeBody(data)
		if err != nil {
			return
		}
		for _, r := range m.Updates {
			if !r.IP.IsValid() || r.Host == "" || r.Incarnation == 0 {
				t.Fatalf("invalid record %+v", r)
			}
		}
	})
}
