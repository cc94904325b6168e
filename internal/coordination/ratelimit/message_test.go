package ratelimit

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestMessagesOfEarlierVersions guards against messages that hosts of earlier versions cannot read, and against another meaning of theirs: a grant
// without a rate is one under the limit of its statement, and a request without a cold time says nothing of it.
func TestMessagesOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	type earlierStatement struct {
		ID            endpoints.ID `cbor:"1,keyasint"`
		PerSecond     float64      `cbor:"2,keyasint"`
		SentAgoMS     int64        `cbor:"3,keyasint"`
		AnsweredAgoMS int64        `cbor:"4,keyasint"`
	}
	type earlierRequest struct {
		ID        endpoints.ID     `cbor:"1,keyasint"`
		Zone      string           `cbor:"2,keyasint"`
		Number    uint64           `cbor:"3,keyasint"`
		ReplyTo   string           `cbor:"4,keyasint"`
		Statement earlierStatement `cbor:"5,keyasint"`
		MaxWaitMS int64            `cbor:"6,keyasint,omitempty"`
	}
	type earlierGrant struct {
		ID        endpoints.ID     `cbor:"1,keyasint"`
		Number    uint64           `cbor:"2,keyasint"`
		Permits   int              `cbor:"3,keyasint"`
		AfterMS   int64            `cbor:"4,keyasint"`
		Statement earlierStatement `cbor:"5,keyasint"`
	}
	recode := func(from, to any) {
		data, err := cbor.Marshal(from)
		is.NoErr(err)
		is.NoErr(cbor.Unmarshal(data, to))
	}
	id := endpoints.ID{Address: "10.0.0.1:80", Incarnation: "i-1@5"}
	cold := &Cold{PerSecond: 5, LeftMS: 800, Exact: true}
	statement := Statement{ID: id, PerSecond: 40, SentAgoMS: 9, AnsweredAgoMS: 3}
	var request earlierRequest
	recode(Request{ID: id, Zone: "a", Number: 7, Statement: statement, MaxWaitMS: 4, Cold: cold}, &request)
	is.Equal(request, earlierRequest{id, "a", 7, "", earlierStatement{id, 40, 9, 3}, 4})
	var grant earlierGrant
	recode(Grant{ID: id, Number: 7, Permits: 1, Statement: statement, PerSecond: 5}, &grant)
	is.Equal(grant, earlierGrant{id, 7, 1, 0, earlierStatement{id, 40, 9, 3}})
	var newRequest Request
	recode(request, &newRequest)
	is.NoErr(newRequest.Check())
	is.Equal(newRequest.Cold, nil)
	var newGrant Grant
	recode(grant, &newGrant)
	is.NoErr(newGrant.Check())
	is.Equal(newGrant.limit(), 40.0)
}
