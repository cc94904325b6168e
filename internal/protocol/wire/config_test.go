package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
)

// TestCollectConfig guards against customers that are lost between the pages of a large state, pages that exceed the frame limit,
// and endless reading from a peer that repeats a page.
func TestCollectConfig(t *testing.T) {
	is := is.New(t)
	state := &configlog.State{Position: 77, Entries: map[string]*configlog.Entry{}}
	for i := range 40 {
		name := fmt.Sprintf("c%02d", i)
		state.Entries[name] = &configlog.Entry{Customer: name, Revision: uint64(i + 1), OpID: "op", Deleted: i%7 == 0,
			Document: json.RawMessage(strings.Repeat("x", 256<<10)),
			History:  []configlog.HistoryEntry{{Revision: uint64(i + 1), OpID: "op", Operator: "ann", At: time.Unix(5, 6).UTC()}}}
	}
	pages := 0
	got, err := FetchConfigPages(context.Background(), func(_ context.Context, req FetchConfigRequest) (out FetchConfigResponse, err error) {
		pages++
		data, err := cbor.Marshal(ConfigPage(state, req))
		is.NoErr(err)
		is.True(len(data) < 4<<20)
		return out, cbor.Unmarshal(data, &out)
	})
	is.NoErr(err)
	is.Equal(got, state)
	is.True(pages > 1)

	_, err = FetchConfigPages(context.Background(), func(context.Context, FetchConfigRequest) (FetchConfigResponse, error) {
		return FetchConfigResponse{Entries: []ConfigEntry{{Customer: "a"}}, More: true}, nil
	})
	is.True(err != nil)
}
