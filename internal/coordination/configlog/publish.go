package configlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// publishTimeout bounds Publish, including the wait until its own record was read back.
const publishTimeout = 5 * time.Second

// OutcomeUnknownError reports that it is not known whether a change was stored, so it may still come into force. It is a
// trace.ConnectionProblem.
type OutcomeUnknownError struct {
	OpID  string
	Cause error
}

// Unwrap makes trace.IsConnectionProblem recognize the error.
func (e *OutcomeUnknownError) Unwrap() error {
	return &trace.ConnectionProblemError{Message: e.Error()}
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was stored (%v); send it again with the same op id and base, which never applies it twice", e.OpID, e.Cause)
}

// UnavailableError reports that a change was not stored because this host cannot append it at present. It is a
// trace.ConnectionProblem.
type UnavailableError struct{ Reason string }

// Unwrap makes trace.IsConnectionProblem recognize the error.
func (e *UnavailableError) Unwrap() error { return &trace.ConnectionProblemError{Message: e.Error()} }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the change was not stored: %s; send it again in a few seconds, or through another host", e.Reason)
}

// Publish appends a change to the log and waits until this host has read it back. It returns the history entry of the accepted
// change. If an earlier attempt with the same op id was accepted, it returns the history entry of that attempt.
//
// The error is
//   - a trace.BadParameter if the change is invalid,
//   - a trace.AlreadyExists if the op id was used for another change,
//   - a trace.NotFound if the change deletes a contract that does not exist,
//   - a ConflictError if the change is not based on the newest revision,
//   - an UnavailableError or a trace.LimitExceeded if the change was not stored for another reason,
//   - an OutcomeUnknownError if it is not known whether the change was stored.
func (f *Follower) Publish(ctx context.Context, c Change) (HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	current := f.State().Entries[c.Customer]
	if _, err := applyChange(current, &c); err != nil {
		return HistoryEntry{}, trace.Wrap(f.confirmConflict(ctx, c, err))
	}
	if accepted, ok := current.Accepted(c.OpID); ok {
		if accepted.Revision != c.Base+1 || (current.OpID == c.OpID && !sameContent(current, &c)) {
			return HistoryEntry{}, trace.AlreadyExists("op id %s was used for another change of customer %s, now revision %d; use a new op id", c.OpID, c.Customer, accepted.Revision)
		}
		return accepted, nil
	}
	if c.Deleted && (current == nil || current.Deleted) {
		return HistoryEntry{}, trace.NotFound("customer %s has no contract to delete; list the contracts", c.Customer)
	}
	if err := f.checkAppendable(ctx); err != nil {
		return HistoryEntry{}, trace.Wrap(err)
	}
	data, err := Record{Change: &c}.Encode()
	if err != nil {
		return HistoryEntry{}, trace.Wrap(err)
	}
	result := f.addWaiter(c.OpID)
	defer f.removeWaiter(c.OpID, result)
	offset, err := f.cfg.Log.Append(ctx, data)
	switch {
	case trace.IsLimitExceeded(err):
		return HistoryEntry{}, trace.LimitExceeded("the change was not stored: the log takes no more appends at present; send it again in a few seconds")
	case trace.IsBadParameter(err):
		return HistoryEntry{}, trace.Wrap(err)
	case err != nil:
		f.mayBeRestored.Store(true)
	case offset < f.ReadPosition() && len(result) == 0:
		f.mayBeRestored.Store(true) // the log was restored to an offset before this host's position
	}
	return awaitResult(ctx, c, result, err)
}

// sameContent reports whether a change has the content of an entry. It compares the documents as compact JSON, which is how the log
// stores them.
func sameContent(e *Entry, c *Change) bool {
	stored, storedErr := json.Marshal(e.Document)
	given, givenErr := json.Marshal(c.Document)
	return storedErr == nil && givenErr == nil && e.Deleted == c.Deleted && bytes.Equal(stored, given)
}

// awaitResult waits for the outcome of an appended change. appendErr is the error of the append, after which the record may still have
// been stored.
func awaitResult(ctx context.Context, c Change, result <-chan ChangeResult, appendErr error) (HistoryEntry, error) {
	select {
	case r := <-result:
		if r.Err != nil {
			return HistoryEntry{}, trace.Wrap(r.Err)
		}
		accepted, _ := r.Entry.Accepted(c.OpID)
		return accepted, nil
	case <-ctx.Done():
		return HistoryEntry{}, trace.Wrap(&OutcomeUnknownError{OpID: c.OpID, Cause: errors.Join(appendErr, errors.New("the record was not read back in time"))})
	}
}

const restoredReason = "the log was restored to an older state and is being repaired"

// checkAppendable returns an UnavailableError if this host's state may be outdated. It reads the last record again to detect that the
// log was restored: otherwise, hosts that have not noticed the restore would apply the change on top of records that the log no longer
// holds.
func (f *Follower) checkAppendable(ctx context.Context) error {
	if err := f.checkUpToDate(); err != nil {
		return err
	}
	if _, _, same, err := f.rereadLastRecord(ctx); err != nil {
		return &UnavailableError{Reason: "the log cannot be read at present"}
	} else if !same {
		f.mayBeRestored.Store(true)
		return &UnavailableError{Reason: restoredReason}
	}
	return f.checkUpToDate()
}

// confirmConflict checks the error of applyChange. If the change is based on a newer revision than this host knows and this host may
// not have read the whole log, confirmConflict returns an UnavailableError. Otherwise it returns err.
func (f *Follower) confirmConflict(ctx context.Context, c Change, err error) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) || c.Base < conflict.Current.Revision {
		return err
	}
	if unavailable := f.checkAppendable(ctx); unavailable != nil {
		return unavailable
	}
	position, next, _, readErr := f.rereadLastRecord(ctx)
	if readErr != nil || next > position {
		return &UnavailableError{Reason: fmt.Sprintf("this host has not read revision %d of customer %s yet", c.Base, c.Customer)}
	}
	return err
}

// checkUpToDate returns an UnavailableError if this host knows that its state lacks records of the log or that the log lacks a part
// of the state in force.
func (f *Follower) checkUpToDate() error {
	if ahead := f.peersAhead(); len(ahead) > 0 {
		return &UnavailableError{Reason: fmt.Sprintf("host %s knows a newer configuration than this one", ahead[0].Host)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.machine.Gap():
		return &UnavailableError{Reason: "the start of the log is not retained and no snapshot has been read yet"}
	case !f.caughtUp:
		return &UnavailableError{Reason: "the log cannot be read at present"}
	case !f.applied.Covers(f.State()):
		return &UnavailableError{Reason: restoredReason}
	}
	return nil
}

// addWaiter returns a channel that receives the next outcome of a change with the op id. It must be called before the record is
// appended, so that the outcome is not missed.
func (f *Follower) addWaiter(opID string) chan ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan ChangeResult, 1)
	f.waiters[opID] = append(f.waiters[opID], c)
	return c
}

func (f *Follower) removeWaiter(opID string, c chan ChangeResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rest := slices.DeleteFunc(f.waiters[opID], func(w chan ChangeResult) bool { return w == c })
	if len(rest) == 0 {
		delete(f.waiters, opID)
		return
	}
	f.waiters[opID] = rest
}
