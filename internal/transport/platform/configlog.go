package platform

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
)

// ConfigLog adapts a Log to the interface configlog.Log.
type ConfigLog struct{ *Log }

// Read implements configlog.Log.
func (l ConfigLog) Read(ctx context.Context, from int64, wait time.Duration) (first, next int64, records []configlog.StoredRecord, err error) {
	page, err := l.Log.Read(ctx, from, wait)
	if err != nil {
		return 0, 0, nil, err
	}
	for _, r := range page.Records {
		records = append(records, configlog.StoredRecord{Offset: r.Offset, Time: r.Time, Data: r.Data})
	}
	return page.First, page.Next, records, nil
}
