package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

const (
	// transferCopies is how often a transfer is sent, in consecutive ticks. It has no response.
	transferCopies = 3
	// transferLifetime is how long a transfer waits until its receiver takes itself for the coordinator.
	transferLifetime = time.Second
	// takeoverMargin is added to the quorum window, in which a coordinator notices that it is cut off: views are renewed in intervals.
	takeoverMargin = 100 * time.Millisecond
)

// Transfer is what a host that ends coordinating a customer tells the next coordinator about its bucket.
type Transfer struct {
	// Tokens are left in the bucket, or Debt is how many permits too many were granted.
	Tokens float64 `cbor:"1,keyasint,omitempty"`
	Debt   float64 `cbor:"2,keyasint,omitempty"`
	// Provisional is set if the bucket does not account for what other hosts granted before. Granted is the number of permits out of such a bucket.
	Provisional bool    `cbor:"3,keyasint,omitempty"`
	Granted     float64 `cbor:"4,keyasint,omitempty"`
}

// net returns the tokens, which are negative after too many grants.
func (t *Transfer) net() float64 { return t.Tokens - t.Debt }

// transfer returns what the next coordinator has to know of the bucket.
func (b *bucket) transfer(now time.Time) *Transfer {
	tokens := b.tokens(now)
	t := &Transfer{Tokens: max(0, tokens), Debt: max(0, -tokens), Provisional: b.isProvisional(now)}
	if t.Provisional {
		t.Granted = b.total()
	}
	return t
}

// merge accounts for what another host has granted, which coordinated the customer until now.
func (b *bucket) merge(t *Transfer, now time.Time) {
	tokens, provisional := b.tokens(now), b.isProvisional(now)
	switch {
	case provisional:
		b.shift(t.net() - b.total() - tokens)
		b.completeAt = b.latest
		if t.Provisional {
			b.completeAt = b.latest.Add(b.memory)
		}
	case t.Provisional:
		b.shift(-t.Granted)
	default:
		b.shift(min(0, t.net()-tokens))
	}
}

// received is a transfer that has arrived before this host took itself for the coordinator.
type received struct {
	*Transfer
	at time.Time
}

// outgoing is a transfer that is sent again.
type outgoing struct {
	request Request
	copies  int
}

// EndCoordination hands over the buckets of the customers that this host does not coordinate any more. It is to be called when the status of this host says
// that it does not coordinate, before the other hosts learn that: until they do, their requests come here and are passed on.
func (l *Limiter) EndCoordination(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maintain(now)
}

// yield ends coordinating a customer, if this host does so, and sends the bucket to the host that is the coordinator now. l.mu must be held.
func (l *Limiter) yield(customer string, list []peers.Host, now time.Time) {
	c := l.coordinated[customer]
	if c == nil {
		return
	}
	delete(l.coordinated, customer)
	if limit, limited := l.cfg.Limit(customer); c.bucket == nil && limited { // it has filled since this host began to coordinate
		c.bucket = l.newBucketOf(c, customer, l.cfg.Tolerance.terms(limit, l.share), now)
	}
	if c.bucket == nil {
		return
	}
	l.former[customer] = former{c.bucket, now}
	if len(list) == 0 {
		return
	}
	b, t := c.bucket, c.bucket.transfer(now)
	l.cfg.OnEvent("quota_coordinator", "customer", customer, "state", "ends", "next", list[0].Name, "tokens", t.net(), "provisional", t.Provisional, "granted", b.total())
	l.lastNumber++
	r := Request{Customer: customer, Number: l.lastNumber, PerSecond: b.PerSecond, Burst: b.Burst, Version: b.Version, Tokens: t.Tokens, Transfer: t}
	l.cfg.Send(list[0].PeerAddress, []Request{r}, nil)
	l.transfers[list[0].PeerAddress] = append(l.transfers[list[0].PeerAddress], outgoing{r, transferCopies - 1})
}

// sendTransfers sends transfers again. Copies have the same number and count once. l.mu must be held.
func (l *Limiter) sendTransfers() {
	for _, address := range slices.Sorted(maps.Keys(l.transfers)) {
		list := l.transfers[address]
		for part := range slices.Chunk(list, MaxRequests) {
			var requests []Request
			for i := range part {
				requests = append(requests, part[i].request)
				part[i].copies--
			}
			l.cfg.Send(address, requests, nil)
		}
		if list = slices.DeleteFunc(list, func(o outgoing) bool { return o.copies <= 0 }); len(list) == 0 {
			delete(l.transfers, address)
			continue
		}
		l.transfers[address] = list
	}
}

// receive takes over the bucket of a host that has coordinated the customer until now, or passes the transfer on to the coordinator. l.mu must be held.
func (l *Limiter) receive(r Request, from Sender, replyTo string, now time.Time) {
	list := l.find(r.Customer, now)
	key := transferKey{r.Customer, replyTo}
	if last := l.handed[key].number; r.Number <= last && last-r.Number < restartGap {
		return
	}
	if len(list) > 0 && list[0].Name != l.cfg.Host && list[0].Name != from.Name { // the sender knows that it is not the coordinator
		l.forward(r, list[0], replyTo, now)
		return
	}
	l.handed[key] = numberAt{r.Number, now}
	if c := l.coordinated[r.Customer]; c != nil && c.bucket != nil {
		c.bucket.merge(r.Transfer, now)
		l.cfg.OnEvent("quota_coordinator", "customer", r.Customer, "state", "handed", "from", from.Name, "tokens", c.bucket.tokens(now))
		return
	}
	l.pending[r.Customer] = received{r.Transfer, now}
}

// newBucketOf returns the bucket of a customer that this host coordinates from c.since on. Without a transfer, tokens are added from the time on at which no
// other host grants any more: one that this host does not hear from, and that is cut off, notices that within the quorum window. l.mu must be held.
func (l *Limiter) newBucketOf(c *coordinated, customer string, t terms, now time.Time) *bucket {
	if p, ok := l.pending[customer]; ok {
		delete(l.pending, customer)
		if now.Sub(p.at) <= transferLifetime {
			b := newBucket(t, p.net()+t.rate*now.Sub(p.at).Seconds(), now)
			if p.Provisional {
				b.completeAt = now.Add(b.memory)
			}
			return b
		}
	}
	begin := c.since
	if now.Sub(l.startedAt) > t.memory { // else the zone may be starting as a whole, and a bucket that is handed over takes the place of this one
		begin = begin.Add(max(0, l.cfg.QuorumWindow()-l.takeoverTime()) + takeoverMargin)
		if unheard := l.eligibleSince.Add(l.cfg.QuorumWindow() + takeoverMargin); !l.authority.HearsAll() && begin.Before(unheard) {
			begin = unheard
		}
	}
	early := l.share * l.cfg.Tolerance.initial(t.Limit)
	tokens := early + t.rate*now.Sub(begin).Seconds()
	if f, ok := l.former[customer]; ok { // others have only taken tokens out since
		left := f.bucket.tokens(now)
		tokens, early = min(tokens, left), min(early, left)
		delete(l.former, customer)
	}
	b := newBucket(t, tokens, now)
	b.early, b.completeAt = early, c.since.Add(b.memory)
	return b
}

// suspend ends coordinating all customers because another host may have begun to do so. l.mu must be held.
func (l *Limiter) suspend(now time.Time) {
	for customer, c := range l.coordinated {
		if c.bucket != nil {
			l.former[customer] = former{c.bucket, now}
		}
	}
	clear(l.coordinated)
}

// former is the bucket of a customer that this host has coordinated until a time. Its tokens are an upper bound of those that are left.
type former struct {
	bucket *bucket
	at     time.Time
}

// transferKey is where transfers with rising numbers come from.
type transferKey struct{ customer, address string }

type numberAt struct {
	number uint64
	at     time.Time
}

// evictTransfers forgets former buckets, and transfers that no copy follows any more. l.mu must be held.
func (l *Limiter) evictTransfers(now time.Time) {
	maps.DeleteFunc(l.former, func(_ string, f former) bool { return now.Sub(f.at) > l.cfg.Tolerance.memory() })
	maps.DeleteFunc(l.pending, func(_ string, p received) bool { return now.Sub(p.at) > transferLifetime })
	maps.DeleteFunc(l.handed, func(_ transferKey, n numberAt) bool { return now.Sub(n.at) > unusedLifetime })
}
