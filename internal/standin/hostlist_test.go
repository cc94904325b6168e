package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// TestHostListIsCompressed guards against an uncompressed list for a client that accepts gzip, against a client that decodes
// the list incorrectly, and against gzip for a client that does not accept it.
func TestHostListIsCompressed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(NewPlatform().Handler())
	defer server.Close()
	var hosts []platform.Host
	for i := range 1000 {
		hosts = append(hosts, platform.Host{Role: platform.RoleUpstream, Name: fmt.Sprintf("upstream-%d", i),
			Address: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&0xff), Incarnation: fmt.Sprintf("%016x", i)})
	}
	data, err := json.Marshal(map[string]any{"hosts": hosts})
	is.NoErr(err)
	put, err := http.NewRequest(http.MethodPut, server.URL+"/v1/hosts", bytes.NewReader(data))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(put)
	is.NoErr(err)
	resp.Body.Close()

	list := platform.NewHostList(server.URL)
	got, err := list.Fetch(t.Context())
	is.NoErr(err)
	is.Equal(got, hosts)
	_, received := list.Traffic()
	is.True(received < int64(len(data)/4))
	_, err = list.Fetch(t.Context())
	is.NoErr(err)
	_, again := list.Traffic()
	is.True(again-received < 500) // the second response is 304 Not Modified

	for accepted, want := range map[string]string{"": "", "br, identity": "", "gzip;q=0": "", "GZIP; q=0.5": "gzip", "br, gzip": "gzip"} {
		req := httptest.NewRequest(http.MethodGet, "/v1/hosts", nil)
		req.Header.Set("Accept-Encoding", accepted)
		w := httptest.NewRecorder()
		NewPlatform().Handler().ServeHTTP(w, req)
		is.Equal(w.Header().Get("Content-Encoding"), want)
		is.Equal(json.Valid(w.Body.Bytes()), want == "")
	}
}
