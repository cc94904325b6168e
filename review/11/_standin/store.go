package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// pagedStore answers as the platform's store does: a page of newest records has at most 500 items or 1 MB, and a read returns at most maxKb. It follows
// a platformtest.Store, to which the endpoints and the operator write, and passes appends on to it.
type pagedStore struct {
	inner *platformtest.Front

	mu     sync.Mutex
	topics map[string]*pagedTopic
	calls  map[string]int
}

type pagedTopic struct {
	log    []storedRecord
	newest map[string]storedRecord
	keys   []string // of newest, sorted
}

type storedRecord struct {
	key    string
	value  []byte
	offset int64
	raw    []byte
}

const (
	maxPageBytes  = 1 << 20
	maxPageItems  = 500
	storeAnswer   = 4 * time.Millisecond // of each call
	storePollTime = 10 * time.Millisecond
)

func newPagedStore(s *platformtest.Store) *pagedStore {
	return &pagedStore{inner: s.Front(), topics: map[string]*pagedTopic{}, calls: map[string]int{}}
}

// follow copies the new records of a topic from the inner store. p.mu must be held.
func (p *pagedStore) follow(name string) *pagedTopic {
	t := p.topics[name]
	if t == nil {
		t = &pagedTopic{newest: map[string]storedRecord{}}
		p.topics[name] = t
	}
	query := url.Values{"topic": {name}, "part": {"0"}, "from": {strconv.Itoa(len(t.log))}}
	rec := httptest.NewRecorder()
	p.inner.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/log-read?"+query.Encode(), nil))
	data := rec.Body.Bytes()
	for at := 16; at+4 < len(data); {
		n := 4 + int(binary.BigEndian.Uint32(data[at:]))
		raw := data[at : at+n]
		at += n
		keyEnd := 5 + int(raw[4])
		r := storedRecord{key: string(raw[5:keyEnd]), value: raw[keyEnd:], offset: int64(len(t.log)), raw: raw}
		t.log = append(t.log, r)
		i, ok := slices.BinarySearch(t.keys, r.key)
		switch {
		case len(r.value) == 0 && ok:
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.newest, r.key)
		case len(r.value) > 0:
			if !ok {
				t.keys = slices.Insert(t.keys, i, r.key)
			}
			t.newest[r.key] = r
		}
	}
	return t
}

// bytes returns the size of the newest records of a topic.
func (p *pagedStore) bytes(name string) (sum int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.follow(name).newest {
		sum += len(r.raw)
	}
	return sum
}

// ServeHTTP implements http.Handler.
func (p *pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	p.mu.Lock()
	p.calls[r.URL.Path]++
	p.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	name := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /log-newest":
		p.serveNewest(w, name, r.URL.Query().Get("after"))
	case "GET /log-read":
		p.serveRead(w, r, name)
	default:
		p.inner.ServeHTTP(w, r)
	}
}

func (p *pagedStore) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		End     int64  `json:"end"`
	}{Items: []item{}}
	p.mu.Lock()
	t := p.follow(name)
	out.End = int64(len(t.log))
	size := 0
	for _, key := range t.keys {
		if key <= after {
			continue
		}
		r := t.newest[key]
		if len(out.Items) == maxPageItems || len(out.Items) > 0 && size+len(r.raw) > maxPageBytes {
			out.HasMore = true
			break
		}
		size += len(r.raw)
		out.Items = append(out.Items, item{key, base64.StdEncoding.EncodeToString(r.value), r.offset})
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}

func (p *pagedStore) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	maxKB, err := strconv.Atoi(query.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	until := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		p.mu.Lock()
		t := p.follow(name)
		if from > len(t.log) {
			p.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(t.log) || !time.Now().Before(until) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.log)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.log[from:] {
				if len(out) > 16 && len(out)+len(rec.raw) > maxKB<<10 {
					break
				}
				out = append(out, rec.raw...)
			}
			p.mu.Unlock()
			w.Write(out)
			return
		}
		p.mu.Unlock()
		select {
		case <-time.After(storePollTime):
		case <-r.Context().Done():
			return
		}
	}
}
