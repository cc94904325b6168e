package standin

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// HostListFaults is the request body of PUT /standin/hostlist. Each PUT replaces all faults of the host list.
type HostListFaults struct {
	LagSeconds float64 `json:"lag_seconds"` // reads return the list as it was that many seconds ago
	Outage     bool    `json:"outage"`      // reads fail
}

// hostList is the stand-in for the platform's host list.
type hostList struct {
	mu       sync.Mutex
	versions []listVersion // oldest first
	faults   HostListFaults
}

type listVersion struct {
	since time.Time
	etag  string // entity tag; weak, because the plain and the compressed body share it (RFC 9110, section 8.8.1)
	body  []byte // response body, compressed with gzip
}

// maxListVersions bounds the versions that are kept for HostListFaults.LagSeconds.
const maxListVersions = 1000

func (l *hostList) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/hosts", l.get)
	mux.HandleFunc("PUT /v1/hosts", l.put)
	mux.HandleFunc("PUT /standin/hostlist", l.putFaults)
}

func (l *hostList) get(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	asOf := time.Now().Add(-time.Duration(l.faults.LagSeconds * float64(time.Second)))
	current := listVersion{etag: `W/"0"`, body: compressedList([]platform.Host{})}
	for _, v := range l.versions {
		if !v.since.After(asOf) {
			current = v
		}
	}
	w.Header().Set("ETag", current.etag)
	w.Header().Set("Vary", "Accept-Encoding")
	if r.Header.Get("If-None-Match") == current.etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if acceptsGzip(r) {
		w.Header().Set("Content-Encoding", "gzip")
		w.Write(current.body)
		return
	}
	if plain, err := gzip.NewReader(bytes.NewReader(current.body)); err == nil {
		io.Copy(w, plain)
	}
}

func compressedList(hosts []platform.Host) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	json.NewEncoder(z).Encode(map[string]any{"hosts": hosts})
	z.Close()
	return out.Bytes()
}

// acceptsGzip reports whether Accept-Encoding lists gzip with a weight above 0 (RFC 9110, section 12.5.3). Weights are not compared
// with each other, because gzip is the only supported coding.
func acceptsGzip(r *http.Request) bool {
	codings := strings.Split(strings.Join(r.Header.Values("Accept-Encoding"), ","), ",")
	return slices.ContainsFunc(codings, func(c string) bool {
		name, weight, _ := strings.Cut(strings.ReplaceAll(c, " ", ""), ";q=")
		q, err := strconv.ParseFloat(weight, 64)
		return strings.EqualFold(name, "gzip") && (weight == "" || err == nil && q > 0)
	})
}

func (l *hostList) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []platform.Host `json:"hosts"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	compressed := compressedList(body.Hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.versions = append(l.versions, listVersion{now, "W/" + strconv.Quote(strconv.FormatInt(now.UnixNano(), 36)), compressed})
	l.versions = l.versions[max(0, len(l.versions)-maxListVersions):]
}

func (l *hostList) putFaults(w http.ResponseWriter, r *http.Request) {
	var f HostListFaults
	if !decodeJSON(w, r, &f) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func decodeJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
