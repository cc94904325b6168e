package configlog

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"regexp"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// Stream is the name of the platform's log stream that holds the contract changes.
const Stream = "contracts"

// HistoryLimit is the number of accepted changes that are kept for each customer. A repeated op id is detected only among these.
const HistoryLimit = 16

// MergeOnly is the AsOf of a snapshot that re-publishes the state in force after the log was restored to an older state. Such a
// state does not result from applying a prefix of the log. Readers therefore merge its entries, but never use it to replace records
// that they have not read.
const MergeOnly int64 = -1

// Record is one record of the log. Exactly one field is set.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// maxRecordBytes bounds the size of a decompressed record. It equals the limit on a response of the platform.
const maxRecordBytes = 32 << 20

var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the record as JSON, compressed with gzip if that is shorter. Each host reads each record: without compression,
// 37,000 changes a day of 1.3 KB each would take 0.8 KB/s of the 2 KB/s that a host may use for control traffic.
func (r Record) Encode() ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var short bytes.Buffer
	w := gzip.NewWriter(&short)
	if _, err := w.Write(plain); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	if short.Len() < len(plain) {
		return short.Bytes(), nil
	}
	return plain, nil
}

// decodeRecord decodes the output of Encode. It also accepts plain JSON of any length.
func decodeRecord(data []byte) (r Record, err error) {
	if bytes.HasPrefix(data, gzipMagic) {
		z, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return r, trace.Wrap(err)
		}
		if data, err = io.ReadAll(io.LimitReader(z, maxRecordBytes+1)); err != nil {
			return r, trace.Wrap(err)
		}
		if len(data) > maxRecordBytes {
			return r, trace.LimitExceeded("the decompressed record is longer than %d bytes", maxRecordBytes)
		}
	}
	return r, trace.Wrap(json.Unmarshal(data, &r))
}

// Change is a record that creates, replaces or deletes one customer's contract.
type Change struct {
	OpID     string          `json:"op_id"` // unique per change; a record with the same id repeats that change
	Customer string          `json:"customer"`
	Base     uint64          `json:"base"` // revision on which the change is based; 0 for a new customer
	Document json.RawMessage `json:"document,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Operator string          `json:"operator,omitempty"`
	At       time.Time       `json:"at"` // by the publisher's clock; shown in the history only
}

// Snapshot is the state after all records up to and including AsOf.
type Snapshot struct {
	AsOf    int64    `json:"as_of"`
	Tail    []byte   `json:"tail,omitempty"` // SHA-256 of the record at AsOf
	Entries []*Entry `json:"entries"`        // ordered by customer, including deleted ones
}

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	OpID     string    `json:"op_id"`
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
}

// Entry is the newest accepted revision of one customer's contract. It is immutable.
type Entry struct {
	Customer string             `json:"customer"`
	Revision uint64             `json:"revision"`
	OpID     string             `json:"op_id"`
	Deleted  bool               `json:"deleted,omitempty"`
	Document json.RawMessage    `json:"document,omitempty"`
	History  []HistoryEntry     `json:"history"` // newest first, at most HistoryLimit
	Contract *contract.Contract `json:"-"`       // decoded from Document; nil if deleted
}

// Accepted returns the history entry with the given op id. It reports false if the history no longer holds one.
func (e *Entry) Accepted(opID string) (HistoryEntry, bool) {
	if e == nil {
		return HistoryEntry{}, false
	}
	for _, h := range e.History {
		if h.OpID == opID {
			return h, true
		}
	}
	return HistoryEntry{}, false
}

var (
	opIDPattern     = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)
	customerPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
)

// Decode validates a change independently of the customer's current entry and returns its contract, or nil for a deletion. The
// error is a trace.BadParameter.
func (c *Change) Decode() (*contract.Contract, error) {
	if !opIDPattern.MatchString(c.OpID) {
		return nil, trace.BadParameter("op_id is %q: use 1 to 64 of A-Z, a-z, 0-9, '_' and '-', and a new one for each change", c.OpID)
	}
	if !customerPattern.MatchString(c.Customer) {
		return nil, trace.BadParameter("customer is %q: use 1 to 63 of a-z, 0-9 and '-', starting with a letter", c.Customer)
	}
	if c.Deleted {
		if len(c.Document) > 0 {
			return nil, trace.BadParameter("the change deletes customer %s and carries a document; leave one of them out", c.Customer)
		}
		return nil, nil
	}
	doc, err := contract.Decode(c.Document)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if doc.Customer != c.Customer {
		return nil, trace.BadParameter("the change is for customer %s and its document for %s; make them equal", c.Customer, doc.Customer)
	}
	return doc, nil
}

// validate checks an entry from a snapshot or a peer and returns it with its document decoded. It reports false if the entry is
// malformed.
func (e *Entry) validate() (*Entry, bool) {
	if e == nil || e.Revision == 0 || len(e.History) > HistoryLimit {
		return nil, false
	}
	if e.Contract != nil {
		return e, true
	}
	c := Change{OpID: e.OpID, Customer: e.Customer, Document: e.Document, Deleted: e.Deleted}
	doc, err := c.Decode()
	if err != nil {
		return nil, false
	}
	decoded := *e
	decoded.Contract = doc
	return &decoded, true
}

// supersedes reports whether e replaces old: the higher revision wins. Equal revisions with different op ids exist only if a change
// was accepted after the log was restored and before the lost revisions were re-published. Then the greater op id wins, so that all
// hosts choose the same entry.
func (e *Entry) supersedes(old *Entry) bool {
	if old == nil || e.Revision != old.Revision {
		return old == nil || e.Revision > old.Revision
	}
	return e.OpID > old.OpID
}
