package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
)

// TestStoreHealth guards against a call that this host cancelled, because a peer's update had arrived, and that is reported as an outage.
func TestStoreHealth(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var h storeHealth
	describe := func(after time.Duration) (d Dump) {
		h.describe(&d, start.Add(after))
		return d
	}
	d := describe(0)
	is.Equal(d.StoreOKMS, int64(-1))
	is.Equal(d.StoreFailedMS, int64(-1))
	h.record(nil, start)
	h.record(fmt.Errorf("read topic: %w", context.Canceled), start.Add(time.Second))
	d = describe(2 * time.Second)
	is.Equal(d.StoreOKMS, int64(2000))
	is.Equal(d.StoreFailedMS, int64(-1))
	h.record(errors.New("connection refused"), start.Add(3*time.Second))
	d = describe(4 * time.Second)
	is.Equal(d.StoreFailedMS, int64(1000))
	is.Equal(d.StoreError, "connection refused")
	h.record(follow.ErrTruncated, start.Add(5*time.Second)) // the store answers
	d = describe(5 * time.Second)
	is.Equal(d.StoreOKMS, int64(0))
	is.Equal(d.StoreError, "")
}

// decliningStore is a store whose watches are answered and end with an error if the answer is not wanted.
type decliningStore struct{ follow.Store }

func (decliningStore) Watch(_ context.Context, _ string, _ int64, _ time.Duration, _ follow.Keep, arriving func() bool) (follow.Answer, error) {
	if !arriving() {
		return follow.Answer{}, errors.New("not wanted")
	}
	return follow.Answer{}, errDown
}

// TestDeclinedWatchIsNoFailure guards against a host that is shown as cut off from the store because it has declined an answer of the store.
func TestDeclinedWatchIsNoFailure(t *testing.T) {
	is := is.New(t)
	var h storeHealth
	s := countingStore{decliningStore{}, metrics.New(), &h}
	_, err := s.Watch(t.Context(), "topic", 0, time.Second, nil, func() bool { return false })
	is.True(err != nil)
	var d Dump
	h.describe(&d, time.Now())
	is.Equal(d.StoreFailedMS, int64(-1))
	is.True(d.StoreOKMS >= 0)
	_, err = s.Watch(t.Context(), "topic", 0, time.Second, nil, func() bool { return true })
	is.Equal(err, errDown)
	h.describe(&d, time.Now())
	is.True(d.StoreFailedMS >= 0)
}
