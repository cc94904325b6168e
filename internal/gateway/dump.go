package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// Paths that are served on the metrics address.
const (
	MetricsPath  = "/metrics"
	DumpPath     = "/v1/dump"
	RefusalsPath = "/v1/refusals/" // followed by the request id
	RequestsPath = "/v1/requests/" // followed by the request id
	HostsPath    = "/v1/hosts"
	// CustomersPath lists the customers of the configuration in force.
	CustomersPath = "/v1/customers"
	// SummaryPath is the path of the dump without the list of endpoints, which is long on large deployments.
	SummaryPath = DumpPath + "?endpoints=omit"
)

// Dump is a snapshot of a host's state for operators. It contains no secrets.
type Dump struct {
	Host                 string   `json:"host"`
	Zone                 string   `json:"zone"`
	Ready                bool     `json:"ready"`
	Draining             bool     `json:"draining"`
	UptimeSeconds        int64    `json:"uptime_s"`
	ConfigurationVersion uint64   `json:"configuration"`   // version in force; 0 if none is known
	StoreAgeMS           int64    `json:"store_age_ms"`    // age of this host's copy of the store; -1 if it has none
	StoreFailingMS       int64    `json:"store_away_ms"`   // time since this host's reads of the store began to fail, also if it has not read it again; 0 if the last read succeeded
	StoreOKMS            int64    `json:"store_ok_ms"`     // time since this host's last successful call to the store; -1 if there was none
	StoreFailedMS        int64    `json:"store_failed_ms"` // time since its last failed call; -1 if there was none
	StoreError           string   `json:"store_error"`     // error of its last call; empty if that succeeded
	ActiveRequests       int64    `json:"active_requests"`
	CallerConnections    int      `json:"caller_connections"`
	AdvertisedAddresses  []string `json:"offered"`    // host addresses that callers get from the directory
	LiveHosts            []string `json:"live_hosts"` // other hosts of this zone from which a message arrived recently
	EndpointCount        int      `json:"endpoint_count"`
	// Ways are this host's ways to the endpoints of the services that it has used.
	Ways []detour.ServiceState `json:"ways"`
	// Queues are the requests that wait on this host, by service.
	Queues    []overload.State `json:"queues,omitempty"`
	Endpoints []EndpointDump   `json:"endpoints"`
	// Zones are the availability zones of the endpoints, and those that are evacuated.
	Zones []ZoneDump `json:"zones"`
}

// ZoneDump is what this host knows about an availability zone.
type ZoneDump struct {
	Zone      string `json:"zone"`
	Endpoints int    `json:"endpoints"` // usable according to their entries
	Evacuated bool   `json:"evacuated"` // nothing is sent to its endpoints
	// EvacuatedMS is the time since this host learned of the evacuation, in milliseconds; -1 if the zone is not evacuated.
	EvacuatedMS int64 `json:"evacuated_ms"`
}

// zones returns the state of the zones.
func (g *Gateway) zones(now time.Time) []ZoneDump {
	list := []ZoneDump{}
	for _, z := range g.endpoints.Zones() {
		d := ZoneDump{Zone: z.Zone, Endpoints: z.Endpoints, Evacuated: !z.EvacuatedSince.IsZero(), EvacuatedMS: -1}
		if d.Evacuated {
			d.EvacuatedMS = ms(now.Sub(z.EvacuatedSince))
		}
		list = append(list, d)
	}
	return list
}

// EndpointDump is what this host knows about an endpoint.
type EndpointDump struct {
	Service     string  `json:"service"`
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Slots       int     `json:"slots"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Slowness    float64 `json:"slowness"`
	LoadAgeMS   int64   `json:"load_age_ms"` // age of Running, Waiting and Slowness; -1 if they are unknown
	InFlight    int     `json:"own"`         // requests from this host that are in progress at the endpoint
	FailureRate float64 `json:"failing"`     // fraction of recent requests that failed
	Rejecting   bool    `json:"rejecting"`   // the endpoint wants no requests from this host now
	Suspect     bool    `json:"suspect"`     // this host could not reach the endpoint recently
	// RateLimit is the number of requests per second that the endpoint takes from all hosts together; absent if it names no limit.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// ColdMS is how much longer the endpoint takes only ColdPerSecond requests per second from all hosts together after its start, in
	// milliseconds. Both are absent if it is not cold, or takes as many as later.
	ColdMS        int64   `json:"cold_ms,omitempty"`
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
}

// HostAddress tells operators where a host of the deployment is reached.
type HostAddress struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	CallerAddress string `json:"callers"` // IP:port for callers
}

// knownHosts returns this host and all other hosts that it knows.
func (g *Gateway) knownHosts() []HostAddress {
	var list []HostAddress
	for _, h := range g.peers.KnownHosts() {
		list = append(list, HostAddress{Name: h.Name, Zone: h.Zone, CallerAddress: h.CallerAddress})
	}
	return list
}

// dump returns the state of this host with its endpoints.
func (g *Gateway) dump(now time.Time) Dump {
	d := g.summary(now)
	for service, list := range g.endpoints.Snapshot().Services {
		for _, e := range list {
			v := g.endpointStats.View(*e, now)
			e := EndpointDump{Service: service, Name: v.Name, Address: v.Address, Zone: v.Zone, Slots: v.Slots, LoadAgeMS: -1, InFlight: v.InFlight,
				FailureRate: v.FailureRate, Suspect: v.Suspect, Rejecting: v.Rejecting}
			if s, _ := g.rateLimits.Get(v.ID); s.PerSecond != ratelimits.Unlimited {
				e.RateLimit = &s.PerSecond
			}
			g.coldDump(&e, v.ID, now)
			if v.LoadAge >= 0 {
				e.Running, e.Waiting, e.Slowness, e.LoadAgeMS = v.Load.Running, v.Load.Waiting, v.Load.Slowness, ms(v.LoadAge)
			}
			d.Endpoints = append(d.Endpoints, e)
		}
	}
	return d
}

// summary returns the state of this host without the list of endpoints.
func (g *Gateway) summary(now time.Time) Dump {
	d := Dump{Host: g.settings.Host, Zone: g.settings.Zone, Ready: g.ready(), Draining: g.draining.Load(), UptimeSeconds: int64(now.Sub(g.started).Seconds()),
		StoreAgeMS: -1, StoreFailingMS: ms(g.follower.FailingFor(now)), ActiveRequests: g.callers.Unanswered(),
		CallerConnections: g.callers.Connections(), AdvertisedAddresses: g.peers.Addresses(now, maxDirectoryAddresses),
		LiveHosts: g.peers.LiveZonePeers(now), EndpointCount: g.endpoints.Snapshot().Total, Ways: g.ways.States(now), Queues: g.forwarder.QueueStates(now), Zones: g.zones(now)}
	if t := g.routes.Load(); t != nil {
		d.ConfigurationVersion = t.Version
	}
	if age, hasCopy := g.follower.Age(now); hasCopy {
		d.StoreAgeMS = ms(age)
	}
	g.storeHealth.describe(&d, now)
	return d
}

// operatorHandler returns the handler of the metrics address: metrics, the state dump, the known hosts, and kept requests and refusals.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write only means that the client has disconnected. The same holds in writeJSON.
		_, _ = w.Write([]byte(g.metrics.String()))
	})
	mux.HandleFunc("GET "+DumpPath, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("endpoints") == "omit" {
			writeJSON(w, g.summary(time.Now()))
			return
		}
		writeJSON(w, g.dump(time.Now()))
	})
	mux.HandleFunc("GET "+HostsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.knownHosts()) })
	mux.HandleFunc("GET "+CustomersPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.customerDumps(time.Now())) })
	mux.HandleFunc("GET "+RequestsPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		record, ok := g.requestRecord(r.PathValue("id"))
		if !ok {
			http.Error(w, "no request with this id is kept on this host", http.StatusNotFound)
			return
		}
		writeJSON(w, record)
	})
	mux.HandleFunc("GET "+RefusalsPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		refusal, ok := g.refusals.Get(r.PathValue("id"))
		if !ok {
			http.Error(w, "no refusal with this request id is kept on this host", http.StatusNotFound)
			return
		}
		writeJSON(w, problem.New(refusal))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// LogDump logs the state of this host: one line for the host and one for each endpoint.
func (g *Gateway) LogDump() {
	d := g.dump(time.Now())
	g.log.Info("dump", "ready", d.Ready, "configuration", d.ConfigurationVersion, "store_age_ms", d.StoreAgeMS,
		"store_away_ms", d.StoreFailingMS, "active", d.ActiveRequests, "connections", d.CallerConnections, "offered", d.AdvertisedAddresses, "live_hosts", d.LiveHosts)
	for _, q := range d.Queues {
		g.log.Info("dump_queue", "service", q.Service, "waiting", q.Waiting, "waiting_late", q.WaitingLate, "running", q.Running, "capacity", tenths(q.CapacityPerSecond),
			"stretch", tenths(q.Stretch))
	}
	for _, w := range d.Ways {
		g.log.Info("dump_way", "service", w.Service, "state", w.State, "since_ms", w.SinceMS, "answered_ago_ms", w.AnsweredAgoMS, "failures", w.Failures)
	}
	for _, e := range d.Endpoints {
		g.log.Info("dump_endpoint", "service", e.Service, "name", e.Name, "running", e.Running, "waiting", e.Waiting, "slowness", e.Slowness,
			"load_age_ms", e.LoadAgeMS, "own", e.InFlight, "failing", e.FailureRate, "suspect", e.Suspect)
	}
}
