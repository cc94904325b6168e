package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlockedUpdateDelaysNoRequests guards against responses to callers that wait while a host passes a change on to the others, which blocks where its
// link is full: each request asks for the age of the copy before it is answered, and each heartbeat for the state of the store.
func TestBlockedUpdateDelaysNoRequests(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	h := newHost(s, time.Hour)
	is.NoErr(h.Refresh(t.Context()))
	sending, release := make(chan struct{}), make(chan struct{})
	h.cfg.SendUpdate = func(Update) {
		close(sending)
		<-release
	}
	s.put("k", "v")
	refreshed, asked := make(chan error, 1), make(chan bool, 1)
	go func() { refreshed <- h.Refresh(t.Context()) }()
	<-sending
	go func() {
		_, ok := h.Age(time.Now())
		asked <- ok && !h.StoreLost()
	}()
	select {
	case ok := <-asked:
		is.True(ok)
	case <-time.After(5 * time.Second):
		t.Error("the follower does not answer while an update is being sent")
	}
	close(release)
	is.NoErr(<-refreshed)
}

// slowHandler takes its time to apply a record.
type slowHandler struct {
	fakeHandler
	applying, release chan struct{}
}

func (s *slowHandler) Apply(r Record, recentOutage bool, now time.Time) bool {
	close(s.applying)
	<-s.release
	return s.fakeHandler.Apply(r, recentOutage, now)
}

// TestSlowChangeDelaysNoRequests guards against responses to callers that wait while a large configuration is applied.
func TestSlowChangeDelaysNoRequests(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	h := newHost(s, time.Hour)
	is.NoErr(h.Refresh(t.Context()))
	slow := &slowHandler{fakeHandler{values: map[string]string{}}, make(chan struct{}), make(chan struct{})}
	h.cfg.Feeds[0].Handler = slow
	s.put("k", "v")
	refreshed, asked := make(chan error, 1), make(chan bool, 1)
	go func() { refreshed <- h.Refresh(t.Context()) }()
	<-slow.applying
	go func() {
		_, ok := h.Age(time.Now())
		asked <- ok
	}()
	select {
	case ok := <-asked:
		is.True(ok)
	case <-time.After(5 * time.Second):
		t.Error("the age of the copy is not known while a change is applied")
	}
	close(slow.release)
	is.NoErr(<-refreshed)
}
