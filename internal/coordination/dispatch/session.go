package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"
)

// session is the owner's end of the grant stream from one executor.
type session struct {
	rt       *Router
	id       uint64
	host     string
	out      *outbox
	services map[*serviceState]struct{} // services for which the executor sent a message
}

// ServeGrantStream handles the grant stream of an executor until it ends, and then ends all requests and grants of this stream.
func (rt *Router) ServeGrantStream(ctx context.Context, from string, s GrantStream) error {
	c := &session{rt: rt, id: rt.lastSession.Add(1), host: from, out: newOutbox(s), services: map[*serviceState]struct{}{}}
	stop := context.AfterFunc(ctx, c.out.close)
	defer func() {
		stop()
		c.out.close()
		for svc := range c.services {
			svc.ownerQueue.EndSession(time.Now(), c.id)
		}
	}()
	for {
		var m GrantMessage
		if err := s.Recv(&m); err != nil {
			return err
		}
		c.receive(&m)
	}
}

func (c *session) receive(m *GrantMessage) {
	svc := c.rt.service(m.Service)
	if svc == nil {
		if m.Kind == KindAcquire {
			c.out.put(&GrantMessage{Kind: KindRefused, Ref: m.Ref, Denied: notInContractDenial(m.Service)})
		}
		return
	}
	c.services[svc] = struct{}{}
	c.rt.refreshEndpoints(svc)
	now := time.Now()
	k := Key{c.host, m.Ref}
	switch m.Kind {
	case KindAcquire:
		m.Request.Service = m.Service
		if m.Acting && !c.rt.startServing(svc, now) {
			c.out.put(&GrantMessage{Kind: KindNotOwner, Ref: m.Ref})
			return
		}
		if svc.ownerQueue.Acquire(now, c.id, k, m.Request, c) {
			c.out.put(&GrantMessage{Kind: KindQueued, Ref: m.Ref})
			c.rt.scheduleTick(svc, waitingTickInterval)
		} else {
			c.rt.scheduleTick(svc, sweepInterval)
		}
	case KindRelease:
		if id, ok := svc.ownerQueue.endpointOf(k); ok && m.Outcome.Leaving && c.rt.cfg.MarkLeaving != nil {
			c.rt.cfg.MarkLeaving(id)
		}
		svc.ownerQueue.Release(now, k, m.Outcome)
	case KindCancel:
		svc.ownerQueue.Cancel(now, k)
	case KindKeepalive:
		c.out.put(&GrantMessage{Kind: KindQueued, Ref: m.Ref})
	case KindReportOpenGrants:
		svc.ownerQueue.AddOpenGrants(now, c.id, c.host, m.OpenGrants)
		c.rt.scheduleTick(svc, sweepInterval)
	}
}

// Decided implements Waiter.
func (c *session) Decided(k Key, d Decision) {
	if d.Denied == errOwnerChanged {
		c.out.put(&GrantMessage{Kind: KindNotOwner, Ref: k.Ref})
		return
	}
	if d.Denied != nil {
		c.out.put(&GrantMessage{Kind: KindRefused, Ref: k.Ref, Denied: d.Denied})
		return
	}
	c.out.put(&GrantMessage{Kind: KindGranted, Ref: k.Ref, Endpoint: d.Endpoint, Trial: d.Trial})
}

// RouterDump is a copy of a router's state for operators. It contains no secrets and no bodies.
type RouterDump struct {
	Host        string        `json:"host"`
	Serving     []string      `json:"serving"`
	Known       int           `json:"known"`
	Services    []ServiceDump `json:"services"`
	Connections []LinkDump    `json:"connections"`
}

// ServiceDump is the state of one service at this host. Each queue is copied consistently, but not both at the same time.
type ServiceDump struct {
	Owner      string     `json:"owner"`
	Acting     bool       `json:"acting,omitempty"` // this host is the acting owner
	OpenGrants int        `json:"grants_of_this_host"`
	Queue      *QueueDump `json:"queue,omitempty"`    // if this host owns the service or the queue is not empty
	Fallback   *QueueDump `json:"fallback,omitempty"` // if not empty
	Service    string     `json:"service"`
}

// LinkDump is the state of the connection to an owner or acting owner on another host.
type LinkDump struct {
	Host      string `json:"host"`
	Connected bool   `json:"connected"`
	Pending   int    `json:"pending"`
}

// Dump returns a copy of the router's state for operators.
func (rt *Router) Dump() RouterDump {
	v := rt.view.Load()
	out := RouterDump{Host: rt.self, Serving: v.hosts, Known: v.known}
	rt.mu.RLock()
	services := slices.Collect(maps.Values(rt.services))
	links := slices.Collect(maps.Values(rt.links))
	rt.mu.RUnlock()
	now := time.Now()
	for _, svc := range services {
		svc.mu.Lock()
		d := ServiceDump{Service: svc.name, Owner: svc.ownership.owner, Acting: svc.acting.active(now), OpenGrants: len(svc.openGrants)}
		svc.mu.Unlock()
		if q := svc.ownerQueue.Dump(now); d.Owner == rt.self || q.Waiting+q.Granted > 0 {
			d.Queue = &q
		}
		if q := svc.fallbackQueue.Dump(now); q.Waiting+q.Granted > 0 {
			d.Fallback = &q
		}
		out.Services = append(out.Services, d)
	}
	for _, l := range links {
		l.mu.Lock()
		out.Connections = append(out.Connections, LinkDump{l.host, l.out != nil, len(l.pending)})
		l.mu.Unlock()
	}
	out.Services = sortAndLimit(out.Services, func(s ServiceDump) string { return s.Service })
	out.Connections = sortAndLimit(out.Connections, func(l LinkDump) string { return l.Host })
	return out
}
