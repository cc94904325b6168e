package standin

import (
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// TestLogPageIsCompressed guards against uncompressed base64 records for a client that accepts gzip, and against a client that
// decodes a compressed page incorrectly.
func TestLogPageIsCompressed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(NewPlatform().Handler())
	defer server.Close()
	log := platform.NewLog(server.URL, "s")
	data := make([]byte, 3000)
	rand.NewChaCha8([32]byte{}).Read(data)
	_, err := log.Append(t.Context(), data)
	is.NoErr(err)
	_, before := log.Traffic()
	page, err := log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	is.Equal(page.Records[0].Data, data)
	_, after := log.Traffic()
	is.True(after-before < int64(base64.StdEncoding.EncodedLen(len(data))))
}

// TestLogFaults checks that each log fault takes effect. Otherwise tests that inject a fault could pass without it.
func TestLogFaults(t *testing.T) {
	is := is.New(t)
	p := NewPlatform()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	log := platform.NewLog(server.URL, "s")
	ctx := t.Context()
	setFaults := func(f LogFaults) {
		data, err := json.Marshal(f)
		is.NoErr(err)
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest("PUT", "/standin/log-faults", strings.NewReader(string(data))))
		is.Equal(w.Code, 200)
	}
	offsets := func() []int64 {
		page, err := log.Read(ctx, 0, 0)
		is.NoErr(err)
		return []int64{page.First, page.Next, int64(len(page.Records))}
	}
	for i := range 4 {
		offset, err := log.Append(ctx, []byte{byte(i)})
		is.NoErr(err)
		is.Equal(offset, int64(i))
	}
	setFaults(LogFaults{Down: true})
	_, err := log.Append(ctx, nil)
	is.True(trace.IsConnectionProblem(err))
	_, err = log.Read(ctx, 0, 0)
	is.True(trace.IsConnectionProblem(err))

	setFaults(LogFaults{LoseAnswers: 1})
	_, err = log.Append(ctx, []byte("lost"))
	is.True(trace.IsConnectionProblem(err))
	is.Equal(offsets(), []int64{0, 5, 5}) // the record was stored although the response was lost

	end := int64(3)
	setFaults(LogFaults{TruncateTo: &end})
	is.Equal(offsets(), []int64{0, 3, 3})
	page, err := log.Read(ctx, 9, time.Minute) // an offset beyond the end returns at once
	is.NoErr(err)
	is.Equal(page.Next, int64(3))

	setFaults(LogFaults{RetainCount: 2})
	is.Equal(offsets(), []int64{1, 3, 2})
	setFaults(LogFaults{RetainMS: 1, AppendsPerSecond: 0.001})
	time.Sleep(2 * time.Millisecond)
	is.Equal(offsets(), []int64{3, 3, 0})
	_, err = log.Append(ctx, nil)
	is.NoErr(err)
	_, err = log.Append(ctx, nil)
	is.True(trace.IsLimitExceeded(err))

	setFaults(LogFaults{DelayMS: 20})
	began := time.Now()
	offsets()
	is.True(time.Since(began) >= 20*time.Millisecond)
}
