package configlog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkSnapshot measures the encoding of a snapshot whose customers have full histories, and its size in the log.
func BenchmarkSnapshot(b *testing.B) {
	for _, customers := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s, rng := &Snapshot{}, rand.New(rand.NewPCG(1, 1)) // random, so that op ids and times do not compress
			for i := range customers {
				e := &Entry{Customer: fmt.Sprintf("customer-%d", i), Revision: HistoryLimit, OpID: "op"}
				e.Document = document(e.Customer, i)
				for k := range HistoryLimit {
					e.History = append(e.History, HistoryEntry{Revision: uint64(k), OpID: fmt.Sprintf("%016x", rng.Uint64()), Operator: "operator",
						At: epoch.Add(time.Duration(rng.Int64N(int64(24 * time.Hour))))})
				}
				s.Entries = append(s.Entries, e)
			}
			var stored []byte
			for b.Loop() {
				var err error
				if stored, err = (Record{Snapshot: s}).Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(stored))/float64(customers), "stored_B/customer")
			b.ReportMetric(float64(len(encode(b, Record{Snapshot: s})))/float64(customers), "plain_B/customer")
			b.ReportMetric(float64(len(s.Entries[0].Document)), "document_B")
		})
	}
}
