package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// TestDispatchRoundTrip guards against fields that are lost in the encoding, and against deadlines that are wrong if the clocks of
// two hosts differ.
func TestDispatchRoundTrip(t *testing.T) {
	is := is.New(t)
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	id := endpoints.ID{Address: "10.0.0.1:80", Incarnation: "a"}
	for _, m := range []dispatch.GrantMessage{
		{Kind: dispatch.KindNotOwner, Ref: 8},
		{Kind: dispatch.KindKeepalive, Ref: 9, Service: "s"},
		{Kind: dispatch.KindAcquire, Ref: 1, Service: "s", Acting: true, Request: dispatch.Request{ID: "r", Customer: "c", Service: "s", Class: contract.Background,
			Idempotent: true, Attempt: 2, Deadline: sent.Add(time.Second), ExcludedEndpoints: []endpoints.ID{id}, NoWait: true}},
		{Kind: dispatch.KindQueued, Ref: 2},
		{Kind: dispatch.KindGranted, Ref: 3, Trial: true, Endpoint: endpoints.Endpoint{ID: id, Service: "s", Zone: "z", Slots: 4}},
		{Kind: dispatch.KindRefused, Ref: 4, Denied: &dispatch.DeniedError{Reason: refusals.QueueFull, Detail: "d", Limit: 1, Observed: 2, Unit: "u", LimitName: "l", RetryAfter: 3}},
		{Kind: dispatch.KindRelease, Ref: 5, Service: "s", Outcome: dispatch.Outcome{Result: dispatch.ResultNoResponse, ServiceTime: 6, Leaving: true, InFlight: 7, Slots: 8}},
		{Kind: dispatch.KindCancel, Ref: 6, Service: "s"},
		{Kind: dispatch.KindReportOpenGrants, Service: "s", OpenGrants: []dispatch.OpenGrant{{Ref: 7, Customer: "c", Class: contract.Normal, Endpoint: id, Deadline: sent.Add(time.Minute)}}},
	} {
		data, err := Marshal(FromDispatch(&m, sent))
		is.NoErr(err)
		var w Dispatch
		is.NoErr(Unmarshal(data, &w))
		got, err := w.Message(received)
		is.NoErr(err)
		if m.Kind == dispatch.KindAcquire {
			m.Request.Deadline = received.Add(time.Second)
		}
		for i := range m.OpenGrants {
			m.OpenGrants[i].Deadline = received.Add(time.Minute)
		}
		is.Equal(*got, m)
	}
}

// TestMalformedDispatch guards against accepting messages that lack a field required for their kind, or have values out of range.
func TestMalformedDispatch(t *testing.T) {
	for name, w := range map[string]Dispatch{
		"no kind": {}, "unknown kind": {Kind: 99}, "acquire": {Kind: uint8(dispatch.KindAcquire)}, "granted": {Kind: uint8(dispatch.KindGranted)},
		"refused": {Kind: uint8(dispatch.KindRefused)}, "release": {Kind: uint8(dispatch.KindRelease)},
		"class":    {Kind: uint8(dispatch.KindAcquire), Request: &request{Class: 3}},
		"deadline": {Kind: uint8(dispatch.KindAcquire), Request: &request{Remaining: time.Hour}},
		"result":   {Kind: uint8(dispatch.KindRelease), Outcome: &outcome{Result: 99}},
		"time":     {Kind: uint8(dispatch.KindRelease), Outcome: &outcome{ServiceTime: -1}},
		"open":     {Kind: uint8(dispatch.KindReportOpenGrants), Open: []openGrant{{Class: 9}}},
	} {
		if _, err := w.Message(time.Unix(0, 0)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
