package wire

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
)

// MethodFetchConfig is the method that reads a host's configuration. Its messages are FetchConfigRequest and FetchConfigResponse.
const MethodFetchConfig = "FetchConfig"

// maxConfigPageBytes is the size above which no entry is added to a page. A page with one more document has to pass over a slow link within the
// timeout of a call, and fit into the frame limit of 4 MiB.
const maxConfigPageBytes = 256 << 10

// FetchConfigRequest requests the entries of the customers whose names sort after After.
type FetchConfigRequest struct {
	After string `cbor:"1,keyasint,omitempty"`
}

// FetchConfigResponse is one page of the configuration in force at a host.
type FetchConfigResponse struct {
	Position int64         `cbor:"1,keyasint"` // configlog.State.Position
	Entries  []ConfigEntry `cbor:"2,keyasint"`
	More     bool          `cbor:"3,keyasint,omitempty"` // there are customers after the last one of Entries
}

// ConfigEntry is the encoded form of a configlog.Entry.
type ConfigEntry struct {
	Customer string          `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	OpID     string          `cbor:"3,keyasint"`
	Deleted  bool            `cbor:"4,keyasint,omitempty"`
	Document []byte          `cbor:"5,keyasint,omitempty"` // JSON
	History  []ConfigHistory `cbor:"6,keyasint,omitempty"` // newest first
}

// ConfigHistory is the encoded form of a configlog.HistoryEntry.
type ConfigHistory struct {
	Revision   uint64 `cbor:"1,keyasint"`
	OpID       string `cbor:"2,keyasint"`
	Operator   string `cbor:"3,keyasint,omitempty"`
	AtUnixNano int64  `cbor:"4,keyasint"`
}

// ConfigPage returns the page of the state that the request asks for.
func ConfigPage(s *configlog.State, req FetchConfigRequest) FetchConfigResponse {
	response := FetchConfigResponse{Position: s.Position}
	size := 0
	for _, e := range s.SortedEntries() {
		if e.Customer <= req.After {
			continue
		}
		if size > maxConfigPageBytes {
			response.More = true
			break
		}
		size += len(e.Document)
		out := ConfigEntry{Customer: e.Customer, Revision: e.Revision, OpID: e.OpID, Deleted: e.Deleted, Document: e.Document}
		for _, h := range e.History {
			size += len(h.OpID) + len(h.Operator)
			out.History = append(out.History, ConfigHistory{h.Revision, h.OpID, h.Operator, h.At.UnixNano()})
		}
		response.Entries = append(response.Entries, out)
	}
	return response
}

// FetchConfigPages fetches all pages of a peer's state. The pages may show the state at different times, because readers merge
// each entry by its revision; the position is that of the first page.
func FetchConfigPages(ctx context.Context, fetch func(context.Context, FetchConfigRequest) (FetchConfigResponse, error)) (*configlog.State, error) {
	state := &configlog.State{Entries: map[string]*configlog.Entry{}}
	var req FetchConfigRequest
	for first := true; ; first = false {
		page, err := fetch(ctx, req)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if first {
			state.Position = page.Position
		}
		for _, e := range page.Entries {
			state.Entries[e.Customer] = e.entry()
		}
		if !page.More {
			return state, nil
		}
		if len(page.Entries) == 0 || page.Entries[len(page.Entries)-1].Customer <= req.After {
			return nil, trace.BadParameter("peer sent a configuration page that does not continue after the previous one; check its version")
		}
		req.After = page.Entries[len(page.Entries)-1].Customer
	}
}

func (e *ConfigEntry) entry() *configlog.Entry {
	out := &configlog.Entry{Customer: e.Customer, Revision: e.Revision, OpID: e.OpID, Deleted: e.Deleted, Document: e.Document}
	for _, h := range e.History {
		out.History = append(out.History, configlog.HistoryEntry{Revision: h.Revision, OpID: h.OpID, Operator: h.Operator, At: time.Unix(0, h.AtUnixNano).UTC()})
	}
	return out
}
