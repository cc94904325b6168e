package peerlink

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quota"
)

// TestQuotaMessages guards against messages of hosts with quotas that hosts of an earlier build reject, against their messages that are taken for more than they
// say, and against figures that no host sends.
func TestQuotaMessages(t *testing.T) {
	is := is.New(t)
	type earlier struct {
		From         peers.Host   `cbor:"1,keyasint"`
		Status       peers.Status `cbor:"2,keyasint"`
		RequestHosts bool         `cbor:"5,keyasint,omitempty"`
	}
	from := peers.Host{Name: "h", Zone: "a", PeerAddress: "127.0.0.1:1"}
	sent := Message{From: from, RequestHosts: true, QuotaRequests: []quota.Request{{Customer: "norte", Number: 7, Want: 2, PerSecond: 12.5, Returned: []quota.Return{{Permits: 1, AgeMS: 20}}}},
		QuotaGrants: []quota.Grant{{Customer: "sur", Number: 8, Permits: 3}}}
	data, err := encode(&sent)
	is.NoErr(err)
	var old earlier
	is.NoErr(cbor.Unmarshal(data[1:], &old))
	is.Equal(old, earlier{From: from, RequestHosts: true})
	var got Message
	is.NoErr(decode(data, &got))
	is.Equal(got, sent)
	body, err := cbor.Marshal(old)
	is.NoErr(err)
	got = Message{}
	is.NoErr(decode(append([]byte{uncompressed}, body...), &got))
	is.Equal(got, Message{From: from, RequestHosts: true})

	for i, m := range []Message{{QuotaRequests: []quota.Request{{Number: 1}}}, {QuotaRequests: []quota.Request{{Customer: "x", Want: -1}}},
		{QuotaRequests: []quota.Request{{Customer: "x", Tokens: -1}}}, {QuotaRequests: []quota.Request{{Customer: "x", Returned: []quota.Return{{Permits: 1, AgeMS: -1}}}}},
		{QuotaGrants: []quota.Grant{{Customer: "x", Permits: -1}}}, {QuotaGrants: []quota.Grant{{Customer: "x", AfterMS: -1}}},
		{QuotaGrants: make([]quota.Grant, quota.MaxRequests+1)}} {
		data, err := encode(&m)
		is.NoErr(err)
		if decode(data, &got) == nil {
			t.Errorf("message %d was accepted", i)
		}
	}
}

// TestQuotaMessageBytes guards against messages that are larger than docs/design/quotas.md reckons with.
func TestQuotaMessageBytes(t *testing.T) {
	from := peers.Host{Name: "montejo-entrada-041", Zone: "centro-norte-1", Started: 1_790_000_000_000, CallerAddress: "10.128.14.201:8080", PeerAddress: "10.128.14.201:7100",
		StateAddress: "10.128.14.201:7101", Cores: 0.16, LinkMbps: 10, DetourAddress: "10.128.14.201:7100"}
	for n := range 5 {
		m := Message{From: from, Status: peers.Status{Ready: true, HasStoreCopy: true, Rate: 140, Coordinates: true, Quotas: true}}
		for i := range n {
			m.QuotaRequests = append(m.QuotaRequests, quota.Request{Customer: fmt.Sprint("editorial-norte-", i), Number: 1_790_000_000_000_000 << 10, Want: 3, PerSecond: 17.25, Burst: 30, Version: 12})
		}
		data, err := encode(&m)
		is.New(t).NoErr(err)
		t.Logf("%d requests: %d bytes", n, len(data))
		is.New(t).True(len(data) <= 180+60*n)
	}
}
