package standin

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// LogFaults is the request body of PUT /standin/log-faults. Each PUT replaces all faults; the zero value means none.
type LogFaults struct {
	Down             bool    `json:"down,omitempty"`               // every request fails
	DelayMS          int64   `json:"delay_ms,omitempty"`           // delay before each response
	LoseAnswers      int     `json:"lose_answers,omitempty"`       // number of coming appends that store the record but send no response
	AppendsPerSecond float64 `json:"appends_per_second,omitempty"` // rate limit of appends; 0 means 300
	RetainMS         int64   `json:"retain_ms,omitempty"`          // maximum age of records; 0 means no limit
	RetainCount      int     `json:"retain_count,omitempty"`       // maximum number of records of a stream; 0 means no limit
	TruncateTo       *int64  `json:"truncate_to,omitempty"`        // applied once, at the PUT: deletes the records from this offset on
}

const (
	defaultAppendsPerSecond = 300
	appendBurstS            = 0.1  // burst of the append rate limit, in seconds of the rate
	maxReadRecords          = 1000 // per response
)

// logState is the state of the platform's append-only log. Platform.mu guards it.
type logState struct {
	streams     map[string]*stream
	faults      LogFaults
	appendLimit limits.Bucket
}

type stream struct {
	first   int64 // offset of the oldest retained record, or next() if there is none
	records []platform.Record
	changed chan struct{} // closed and replaced at each append and each change of the faults
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyRetention drops the oldest records beyond the limits RetainCount and RetainMS.
func (s *stream) applyRetention(now time.Time, f *LogFaults) {
	drop := 0
	if f.RetainCount > 0 {
		drop = max(0, len(s.records)-f.RetainCount)
	}
	for f.RetainMS > 0 && drop < len(s.records) && now.Sub(s.records[drop].Time) > time.Duration(f.RetainMS)*time.Millisecond {
		drop++
	}
	s.first += int64(drop)
	s.records = s.records[drop:]
}

func (l *logState) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *logState) setFaults(now time.Time, f LogFaults) {
	if f.AppendsPerSecond == 0 {
		f.AppendsPerSecond = defaultAppendsPerSecond
	}
	for _, s := range l.streams {
		if f.TruncateTo != nil && *f.TruncateTo < s.next() {
			s.records = slices.Clone(s.records[:max(0, *f.TruncateTo-s.first)])
			s.first = min(s.first, *f.TruncateTo)
		}
		s.notifyReaders()
	}
	f.TruncateTo = nil
	l.faults = f
	burst := max(1, f.AppendsPerSecond*appendBurstS)
	l.appendLimit.Set(now, f.AppendsPerSecond, burst)
	l.appendLimit.Add(burst)
}

func (p *Platform) setLogFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil || (f.TruncateTo != nil && *f.TruncateTo < 0) {
		http.Error(w, fmt.Sprintf("not usable as log faults: %v", err), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.setFaults(time.Now(), f)
}

// delayRequest waits for LogFaults.DelayMS, or until the request is cancelled. It returns the faults that were in force before the wait.
func (p *Platform) delayRequest(r *http.Request) LogFaults {
	p.mu.Lock()
	f := p.log.faults
	p.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	return f
}

func (p *Platform) appendRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.delayRequest(r).Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	now := time.Now()
	if !p.log.appendLimit.Take(now, 1) {
		p.mu.Unlock()
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	s := p.log.stream(r.PathValue("stream"))
	offset := s.next()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Data: data})
	s.notifyReaders()
	lost := p.log.faults.LoseAnswers > 0
	if lost {
		p.log.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	fmt.Fprintf(w, `{"offset":%d}`, offset)
}

// writePage writes a page. A page with records is compressed if the request accepts gzip, because base64 encodes the records a
// third longer than they are.
func writePage(w http.ResponseWriter, r *http.Request, page *platform.Page) {
	if len(page.Records) == 0 || !acceptsGzip(r) {
		json.NewEncoder(w).Encode(page)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	json.NewEncoder(z).Encode(page)
	z.Close()
}

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	p.delayRequest(r)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		p.mu.Lock()
		s := p.log.stream(r.PathValue("stream"))
		s.applyRetention(time.Now(), &p.log.faults)
		page := platform.Page{First: s.first, Next: s.next()}
		if from < page.Next {
			rest := s.records[max(0, from-s.first):]
			page.Records = slices.Clone(rest[:min(len(rest), maxReadRecords)])
		}
		changed, down := s.changed, p.log.faults.Down
		p.mu.Unlock()
		if down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		if from != page.Next || waitMS == 0 {
			writePage(w, r, &page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}
