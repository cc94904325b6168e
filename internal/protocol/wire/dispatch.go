package wire

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Dispatch is a message on a grant stream. Deadlines are sent as remaining time, because the clocks of hosts differ.
type Dispatch struct {
	Kind     uint8       `cbor:"1,keyasint"`
	Ref      uint64      `cbor:"2,keyasint,omitempty"`
	Service  string      `cbor:"3,keyasint,omitempty"`
	Request  *request    `cbor:"4,keyasint,omitempty"`
	Endpoint *endpoint   `cbor:"5,keyasint,omitempty"`
	Trial    bool        `cbor:"6,keyasint,omitempty"`
	Denied   *denied     `cbor:"7,keyasint,omitempty"`
	Outcome  *outcome    `cbor:"8,keyasint,omitempty"`
	Open     []openGrant `cbor:"9,keyasint,omitempty"`
	Acting   bool        `cbor:"10,keyasint,omitempty"`
}

type request struct {
	ID         string         `cbor:"1,keyasint"`
	Customer   string         `cbor:"2,keyasint"`
	Class      uint8          `cbor:"3,keyasint"`
	Idempotent bool           `cbor:"4,keyasint,omitempty"`
	Attempt    int            `cbor:"5,keyasint,omitempty"`
	Remaining  time.Duration  `cbor:"6,keyasint"`
	Avoid      []endpoints.ID `cbor:"7,keyasint,omitempty"`
	Immediate  bool           `cbor:"8,keyasint,omitempty"`
}

type endpoint struct {
	ID      endpoints.ID `cbor:"1,keyasint"`
	Service string       `cbor:"2,keyasint"`
	Zone    string       `cbor:"3,keyasint"`
	Slots   int          `cbor:"4,keyasint"`
}

type denied struct {
	Reason     refusals.Reason `cbor:"1,keyasint"`
	Detail     string          `cbor:"2,keyasint"`
	Limit      float64         `cbor:"3,keyasint,omitempty"`
	Observed   float64         `cbor:"4,keyasint,omitempty"`
	Unit       string          `cbor:"5,keyasint,omitempty"`
	LimitName  string          `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"7,keyasint,omitempty"`
}

type outcome struct {
	Result      uint8         `cbor:"1,keyasint"`
	ServiceTime time.Duration `cbor:"2,keyasint,omitempty"`
	Leaving     bool          `cbor:"3,keyasint,omitempty"`
	InFlight    int           `cbor:"4,keyasint,omitempty"`
	Slots       int           `cbor:"5,keyasint,omitempty"`
}

type openGrant struct {
	Ref       uint64        `cbor:"1,keyasint"`
	Customer  string        `cbor:"2,keyasint"`
	Class     uint8         `cbor:"3,keyasint"`
	Endpoint  endpoints.ID  `cbor:"4,keyasint"`
	Remaining time.Duration `cbor:"5,keyasint"`
}

// FromDispatch converts a message that is sent at the time now.
func FromDispatch(m *dispatch.GrantMessage, now time.Time) *Dispatch {
	w := &Dispatch{Kind: uint8(m.Kind), Ref: m.Ref, Service: m.Service, Trial: m.Trial, Acting: m.Acting}
	switch m.Kind {
	case dispatch.KindAcquire:
		r := &m.Request
		w.Request = &request{r.ID, r.Customer, uint8(r.Class), r.Idempotent, r.Attempt, r.Deadline.Sub(now), r.ExcludedEndpoints, r.NoWait}
	case dispatch.KindGranted:
		w.Endpoint = &endpoint{m.Endpoint.ID, m.Endpoint.Service, m.Endpoint.Zone, m.Endpoint.Slots}
	case dispatch.KindRefused:
		if m.Denied != nil {
			d := denied(*m.Denied)
			w.Denied = &d
		}
	case dispatch.KindRelease:
		o := m.Outcome
		w.Outcome = &outcome{uint8(o.Result), o.ServiceTime, o.Leaving, o.InFlight, o.Slots}
	case dispatch.KindReportOpenGrants:
		for _, g := range m.OpenGrants {
			w.Open = append(w.Open, openGrant{g.Ref, g.Customer, uint8(g.Class), g.Endpoint, g.Deadline.Sub(now)})
		}
	}
	return w
}

// maxRemaining limits the remaining time that a peer may send, and thereby how long its requests can occupy a queue.
const maxRemaining = 10 * time.Minute

// Message validates and converts a message that was received at the time now.
func (w *Dispatch) Message(now time.Time) (*dispatch.GrantMessage, error) {
	m := &dispatch.GrantMessage{Kind: dispatch.GrantMessageKind(w.Kind), Ref: w.Ref, Service: w.Service, Trial: w.Trial, Acting: w.Acting}
	invalid := false
	deadline := func(d time.Duration) time.Time {
		invalid = invalid || d > maxRemaining || d < -maxRemaining
		return now.Add(d)
	}
	class := func(c uint8) contract.Class {
		invalid = invalid || int(c) >= contract.Classes
		return contract.Class(c)
	}
	switch m.Kind {
	case dispatch.KindQueued, dispatch.KindCancel, dispatch.KindKeepalive, dispatch.KindNotOwner:
	case dispatch.KindAcquire:
		r := w.Request
		if r == nil {
			return nil, malformed(w)
		}
		m.Request = dispatch.Request{ID: r.ID, Customer: r.Customer, Service: w.Service, Class: class(r.Class), Idempotent: r.Idempotent,
			Attempt: r.Attempt, Deadline: deadline(r.Remaining), ExcludedEndpoints: r.Avoid, NoWait: r.Immediate}
	case dispatch.KindGranted:
		e := w.Endpoint
		if e == nil {
			return nil, malformed(w)
		}
		m.Endpoint = endpoints.Endpoint{ID: e.ID, Service: e.Service, Zone: e.Zone, Slots: e.Slots}
	case dispatch.KindRefused:
		if w.Denied == nil {
			return nil, malformed(w)
		}
		d := dispatch.DeniedError(*w.Denied)
		m.Denied = &d
	case dispatch.KindRelease:
		o := w.Outcome
		if o == nil {
			return nil, malformed(w)
		}
		invalid = invalid || o.Result > uint8(dispatch.ResultCancelled) || o.ServiceTime < 0
		m.Outcome = dispatch.Outcome{Result: dispatch.Result(o.Result), ServiceTime: o.ServiceTime, Leaving: o.Leaving, InFlight: o.InFlight, Slots: o.Slots}
	case dispatch.KindReportOpenGrants:
		for _, g := range w.Open {
			m.OpenGrants = append(m.OpenGrants, dispatch.OpenGrant{Ref: g.Ref, Customer: g.Customer, Class: class(g.Class), Endpoint: g.Endpoint, Deadline: deadline(g.Remaining)})
		}
	default:
		invalid = true
	}
	if invalid {
		return nil, malformed(w)
	}
	return m, nil
}

func malformed(w *Dispatch) error {
	return trace.BadParameter("malformed message of kind %d on a grant stream", w.Kind)
}
