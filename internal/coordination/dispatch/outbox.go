package dispatch

import "sync"

// outboxLength is the maximum number of messages that wait to be sent. If a peer exceeds it, its stream is closed.
const outboxLength = 4096

// outbox sends messages in order, without blocking the goroutines that queue them.
type outbox struct {
	stream GrantStream
	queue  chan *GrantMessage
	done   chan struct{}
	once   sync.Once
}

func newOutbox(s GrantStream) *outbox {
	o := &outbox{stream: s, queue: make(chan *GrantMessage, outboxLength), done: make(chan struct{})}
	go o.run()
	return o
}

func (o *outbox) run() {
	for {
		select {
		case <-o.done:
			return
		case m := <-o.queue:
			if o.stream.Send(m) != nil {
				o.close()
				return
			}
		}
	}
}

// put queues a message. It reports false if the stream is closed or the queue is full.
func (o *outbox) put(m *GrantMessage) bool {
	select {
	case <-o.done:
		return false
	default:
	}
	select {
	case o.queue <- m:
		return true
	default:
		o.close()
		return false
	}
}

func (o *outbox) close() {
	o.once.Do(func() {
		close(o.done)
		go o.stream.Close() // may block on a write, and the calling goroutine may hold a lock
	})
}
