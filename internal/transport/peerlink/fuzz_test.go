package peerlink

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/coordination/ratelimit"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// FuzzDatagram checks that a message that was accepted, sent again, is the same message, and that its figures are possible: an update is not
// from the future, a host has a name, and its size and load are numbers.
func FuzzDatagram(f *testing.F) {
	host := peers.Host{Name: "h", Zone: "z", Started: 5, PeerAddress: "10.0.0.1:7", Cores: 0.5, LinkMbps: 100}
	limit := ratelimit.Statement{ID: endpoints.ID{Address: "10.0.0.2:8", Incarnation: "i-1@5"}, PerSecond: 2.5, SentAgoMS: 9, AnsweredAgoMS: 4}
	for _, m := range []Message{{From: host, Status: peers.Status{Ready: true, Rate: 7}}, {From: host, Hosts: []peers.Host{host}, RequestHosts: true},
		{From: host, Update: &follow.Update{AgeMS: 5, Feeds: []follow.FeedUpdate{{Topic: "t", From: 1, Next: 3, Records: []follow.Record{
			{Key: "k", Value: bytes.Repeat([]byte("x"), 1200), Offset: 1}, {Key: "l", Offset: 2}}}}}},
		{From: host, Limits: []ratelimit.Statement{limit}}, {From: host, PermitRequest: &ratelimit.Request{ID: limit.ID, Zone: "z", Number: 3, Statement: limit, MaxWaitMS: 40}},
		{From: host, Crashes: &quarantine.Update{Crashes: []quarantine.CrashReport{{Endpoint: limit.ID, Requests: []quarantine.Fingerprint{{Content: [16]byte{1, 2}}}, AgoMS: 4}},
			Verdicts: []quarantine.VerdictReport{{Pattern: quarantine.Fingerprint{Caller: [8]byte{3}}, ForMS: 900, DecidedAgoMS: 3}},
			Answered: []quarantine.AnsweredReport{{AgoMS: 4}}}},
		{From: host, Grant: &ratelimit.Grant{ID: limit.ID, Number: 3, Permits: 1, AfterMS: 7, Statement: limit}}} {
		data, err := encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if decode(data, &m) != nil {
			return
		}
		is := is.New(t)
		for _, h := range append([]peers.Host{m.From}, m.Hosts...) {
			is.True(h.Cores >= 0 && !math.IsInf(h.Cores, 0) && h.LinkMbps >= 0 && !math.IsInf(h.LinkMbps, 0))
		}
		is.True(m.Status.Rate >= 0)
		is.True(m.Update == nil || m.Update.AgeMS >= 0 && m.Update.AgeMS <= maxUpdateAgeMS)
		is.True(m.Update == nil || m.Update.EpochAgeMS >= 0 && m.Update.EpochAgeMS <= math.MaxInt64/int64(time.Millisecond))
		for _, l := range m.Limits {
			is.True(l.PerSecond >= 0 && l.AnsweredAgoMS >= 0 && l.AnsweredAgoMS <= l.SentAgoMS)
		}
		is.True(m.Grant == nil || m.Grant.Permits >= 0 && m.Grant.AfterMS >= 0)
		again, err := encode(&m)
		is.NoErr(err)
		var second Message
		is.NoErr(decode(again, &second))
		third, err := encode(&second)
		is.NoErr(err)
		is.Equal(again, third)
	})
}
