package frontend

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
)

// TestCopiedResponse guards against callers that are told "not run" of a request that an upstream has run, or that get the response of another request, because
// the upstream has written an earlier response of the connection before the due one.
func TestCopiedResponse(t *testing.T) {
	const refusal = "503 Full\r\nUpstream-Ran: no"
	for _, c := range []struct {
		name, first             string
		firstNamed, copiesNamed bool // the first response of a connection, and its copies, carry its id
		keepID                  bool // callers keep the id of a request over their tries
	}{
		{"refusal without id", refusal, false, false, false},
		{"refusal without id, the first has its", refusal, true, false, false},
		{"success without id", "200 OK", false, false, false},
		{"success without id, the first has its", "200 OK", true, false, false},
		{"refusal with the same id", refusal, true, true, true},
		{"success with the same id", "200 OK", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			runs := map[string]int{}
			ran := func(path string) {
				mu.Lock()
				defer mu.Unlock()
				runs[path]++
			}
			s, _ := newFrontend(t, func(w http.ResponseWriter, r *http.Request) {
				conn, rw, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				respond := func(status, id, body string) {
					if id != "" {
						id = callerapi.UpstreamRequestID + ": " + id + "\r\n"
					}
					fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
				}
				firstID, firstPath := r.Header.Get(callerapi.UpstreamRequestID), r.URL.Path
				respondFirst := func(named bool) {
					if named {
						respond(c.first, firstID, firstPath)
					} else {
						respond(c.first, "", firstPath)
					}
				}
				if c.first != refusal {
					ran(firstPath)
				}
				respondFirst(c.firstNamed)
				for {
					r, err := http.ReadRequest(rw.Reader)
					if err != nil {
						return
					}
					ran(r.URL.Path)
					respondFirst(c.copiesNamed)
					respond("200 OK", r.Header.Get(callerapi.UpstreamRequestID), r.URL.Path)
				}
			})
			id, answered := "", 0
			for n := range 10 {
				if n%2 == 0 || !c.keepID {
					id = fmt.Sprint("r-", n)
				}
				path := fmt.Sprint("/a/", n)
				resp, body, err := sendRaw(t, s, "PUT", "PUT /s/svc"+path+" HTTP/1.1\r\nHost: h\r\n"+auth+callerapi.HeaderRequestID+": "+id+"\r\nContent-Length: 0\r\n\r\n")
				is.NoErr(err)
				mu.Lock()
				n := runs[path]
				mu.Unlock()
				is.True(n <= 1)
				if resp.Header.Get(callerapi.HeaderRan) == "no" {
					is.Equal(n, 0)
				}
				if resp.StatusCode == http.StatusOK {
					is.Equal(body, path)
					answered++
				}
				time.Sleep(5 * time.Millisecond) // usually suffices for the connection to become idle
			}
			is.True(answered > 0 || c.first == refusal)
		})
	}
}
