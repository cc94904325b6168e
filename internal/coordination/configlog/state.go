// Package configlog computes the contracts in force from the platform's append-only log of contract changes. It reads the log,
// applies the records to a state in their order, and appends the changes that operators publish.
package configlog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// State is the contracts of all customers as of a position in the log. It is immutable.
type State struct {
	Position int64 // offset of the first record that is not applied to the state
	Entries  map[string]*Entry
}

// Contracts returns the contracts in force, ordered by customer.
func (s *State) Contracts() []*contract.Contract {
	var out []*contract.Contract
	for _, e := range s.SortedEntries() {
		if !e.Deleted {
			out = append(out, e.Contract)
		}
	}
	return out
}

// SortedEntries returns all entries ordered by customer, deleted ones included.
func (s *State) SortedEntries() []*Entry {
	out := make([]*Entry, 0, len(s.Entries))
	for _, name := range slices.Sorted(maps.Keys(s.Entries)) {
		out = append(out, s.Entries[name])
	}
	return out
}

// Covers reports whether s is at least as new as other: no entry of other supersedes the entry of s for the same customer.
func (s *State) Covers(other *State) bool {
	for name, e := range other.Entries {
		if e.supersedes(s.Entries[name]) {
			return false
		}
	}
	return true
}

// Merge returns s with each entry replaced by that of other if the latter supersedes it. Older and malformed entries of other are
// ignored. Position stays that of s. If no entry is replaced, Merge returns s itself.
func (s *State) Merge(other *State) *State {
	out := s
	for _, e := range other.Entries {
		if e == nil || !e.supersedes(s.Entries[e.Customer]) {
			continue
		}
		decoded, ok := e.validate()
		if !ok {
			continue
		}
		if out == s {
			out = &State{Position: s.Position, Entries: maps.Clone(s.Entries)}
		}
		out.Entries[e.Customer] = decoded
	}
	return out
}

// ConflictError reports that a change is not based on the customer's newest revision. It is a trace.CompareFailed.
type ConflictError struct {
	Customer string
	Base     uint64
	Current  HistoryEntry // newest accepted change; zero if the customer has no revision
}

// Unwrap makes trace.IsCompareFailed recognize the error.
func (e *ConflictError) Unwrap() error { return &trace.CompareFailedError{Message: e.Error()} }

func (e *ConflictError) Error() string {
	if e.Current.Revision == 0 {
		return fmt.Sprintf("customer %s has no contract, but the change is based on revision %d; publish it with base 0", e.Customer, e.Base)
	}
	return fmt.Sprintf("customer %s is at revision %d (op id %s, operator %q), not at %d; read that revision and apply the change to it",
		e.Customer, e.Current.Revision, e.Current.OpID, e.Current.Operator, e.Base)
}

// applyChange returns the entry that results from applying a change to the current entry, or the current entry itself if its
// history holds the change already. The error is a trace.BadParameter or a ConflictError.
func applyChange(current *Entry, c *Change) (*Entry, error) {
	doc, err := c.Decode()
	if err != nil {
		return nil, err
	}
	if _, ok := current.Accepted(c.OpID); ok {
		return current, nil
	}
	var revision uint64
	var history []HistoryEntry
	if current != nil {
		revision, history = current.Revision, current.History
	}
	if c.Base != revision {
		conflict := &ConflictError{Customer: c.Customer, Base: c.Base}
		if len(history) > 0 {
			conflict.Current = history[0]
		}
		return nil, trace.Wrap(conflict)
	}
	entry := &Entry{Customer: c.Customer, Revision: revision + 1, OpID: c.OpID, Deleted: c.Deleted, Document: c.Document, Contract: doc}
	newest := HistoryEntry{Revision: entry.Revision, OpID: c.OpID, Operator: c.Operator, At: c.At}
	entry.History = append([]HistoryEntry{newest}, history[:min(len(history), HistoryLimit-1)]...)
	return entry, nil
}
