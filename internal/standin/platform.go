// Package standin provides stand-ins (small fake servers) for the systems around arbutusspan: the platform with its append-only
// log and its host list, and upstreams. They are for tests, demos and measurements only. Faults can be injected over HTTP.
package standin

import (
	"net/http"
	"sync"
	"time"
)

// Platform is the stand-in for the platform: the append-only log and the host list.
type Platform struct {
	mu    sync.Mutex // guards log
	log   logState
	hosts hostList
}

// NewPlatform returns a platform with an empty log and an empty host list, without faults.
func NewPlatform() *Platform {
	p := &Platform{log: logState{streams: map[string]*stream{}}}
	p.log.setFaults(time.Now(), LogFaults{})
	return p
}

// Handler returns the handler of the platform's API and of the fault injection under /standin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.appendRecord)
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.readRecords)
	mux.HandleFunc("PUT /standin/log-faults", p.setLogFaults)
	p.hosts.register(mux)
	return mux
}
