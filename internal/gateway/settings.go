// Package gateway implements an entry host whose callers send no credentials. It reads routes, limits and endpoints from the platform's
// store and shares what it reads with the other hosts, forwards the requests of callers to endpoints, and serves callers the addresses
// of the hosts that they can connect to.
package gateway

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/quota"
	"github.com/arbutusspan/arbutusspan/internal/state/jsonfile"
)

// Settings is the content of the JSON settings file of `arbutusspan gateway`.
type Settings struct {
	// Host is the name of this entry host.
	Host string `json:"host"`
	// Zone is the availability zone of this host.
	Zone string `json:"zone"`
	// All addresses have the form IP:port.
	CallerAddress    string `json:"caller_address"`    // listens for callers' requests
	ReadyAddress     string `json:"ready_address"`     // serves the readiness check
	DirectoryAddress string `json:"directory_address"` // serves the host addresses that callers connect to
	PeerAddress      string `json:"peer_address"`      // exchanges messages with other hosts, over UDP
	StateAddress     string `json:"state_address"`     // serves this host's copy of the store to starting hosts
	// DetourAddress listens for requests that other hosts got from their callers and cannot send to endpoints themselves. Empty means that this
	// host takes none.
	DetourAddress  string `json:"detour_address"`
	MetricsAddress string `json:"metrics_address"` // serves metrics, the state dump and refusals; empty means not served
	StoreAddress   string `json:"store_address"`   // the platform's store, which this host connects to
	// AdvertisedIP replaces the IP of peer_address, state_address and detour_address in the messages to other hosts, for networks with address translation
	// between hosts. Empty means that other hosts use the addresses as configured.
	AdvertisedIP string `json:"advertised_ip"`
	// UpstreamSourceIP is the local IP of connections to endpoints, for hosts with several networks. Empty leaves the choice to the operating
	// system.
	UpstreamSourceIP string `json:"upstream_source_ip"`
	// Seeds are the state addresses of hosts that a starting host contacts first. Some of them may be down.
	Seeds []string `json:"seeds"`
	// FirstStart says that all hosts of the deployment start for the first time.
	FirstStart bool `json:"first_start"`
	// RepeatRatio, RepeatBurst and RepeatWindowS limit the repeats (retries and hedges) that all hosts together send to a service: in any
	// window at most RepeatRatio times the number of requests, plus RepeatBurst.
	RepeatRatio   float64 `json:"repeat_ratio"`
	RepeatBurst   float64 `json:"repeat_burst"`    // requests
	RepeatWindowS float64 `json:"repeat_window_s"` // seconds
	// ProbesPerS limits the load probes that all hosts together send to an endpoint, in probes per second.
	ProbesPerS float64 `json:"asks_per_s"`
	// ColdOver and ColdSlack say what an endpoint survives while it is cold: in any second, ColdOver times its rate of requests per second, and
	// ColdSlack requests. With 0 or without ColdOver, the rate counts as a limit that the endpoint has named.
	ColdOver  float64 `json:"cold_over"`
	ColdSlack float64 `json:"cold_slack"` // requests
	// QuotaWindowS, QuotaOver and QuotaSlack bound what runs beyond the limits of customers: of the requests of a customer that were sent within any
	// QuotaWindowS, at most (rate x QuotaWindowS + burst) x (1 + QuotaOver) + QuotaSlack. A QuotaWindowS of 0 means that limits are not enforced.
	QuotaWindowS float64 `json:"quota_window_s"` // seconds
	QuotaOver    float64 `json:"quota_over"`     // fraction
	QuotaSlack   float64 `json:"quota_slack"`    // requests
	// OverloadControl says where requests that find no free slot are ordered and refused by what their callers lose: "customers", where the configuration has
	// customers, "always" or "never". Empty means "customers".
	OverloadControl string `json:"overload_control"`
	// GraceS is the time between the stop signal and the kill, in seconds.
	GraceS float64 `json:"grace_s"`
	// AddressLifetimeS limits how long callers may keep a host address, in seconds.
	AddressLifetimeS float64 `json:"address_lifetime_s"`
	// MaxDescriptors is the number of file descriptors that the process may open.
	MaxDescriptors int `json:"max_descriptors"`
	// Cores is the number of processor cores that the process may use; it may be a fraction.
	Cores float64 `json:"cores"`
	// LinkMbps is the bandwidth of this host's link in Mbit/s. Hosts with fast links pass large changes on to the others. 0 means that it is not
	// known; such hosts rank last.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB float64 `json:"memory_mb"`
	// LogLevel is debug, info, warn or error. Empty means info.
	LogLevel string `json:"log_level"`

	level            log.Level
	upstreamSourceIP netip.Addr
}

// Values of Settings.OverloadControl.
const (
	overloadCustomers = "customers"
	overloadAlways    = "always"
	overloadNever     = "never"
)

// Defaults and limits of optional settings.
const (
	defaultRepeatWindowS    = 10 // seconds
	defaultProbesPerS       = 20 // load probes per second to each endpoint
	defaultGraceS           = 6  // seconds
	defaultAddressLifetimeS = 2  // seconds
	defaultDescriptors      = 1024
	defaultMemoryMB         = 256 // MiB

	minGraceS      = 1        // seconds
	maxGraceS      = 600      // seconds
	maxSettingS    = 86_400   // seconds; bounds the other times
	minMemoryMB    = 64       // MiB
	maxMemoryMB    = 16 << 20 // MiB
	minDescriptors = 256
	maxColdOver    = 10 // times the stated rate
	maxQuotaSlack  = 1_000_000
	maxRepeatRatio = 10 // a RepeatRatio above 10 repeats per request is taken for a mistake
)

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := jsonfile.Load(path, &s); err != nil {
		return nil, err
	}
	return &s, trace.Wrap(s.Validate(), "settings %s", path)
}

// Validate sets the defaults of optional fields that are zero and checks all fields. It returns all errors together.
func (s *Settings) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, trace.BadParameter(format, args...))
		}
	}
	check(s.Host != "", "host is empty: name this entry host")
	check(s.Zone != "", "zone is empty: name the availability zone of this host")
	for _, a := range []struct{ name, value string }{{"caller_address", s.CallerAddress}, {"ready_address", s.ReadyAddress},
		{"directory_address", s.DirectoryAddress}, {"peer_address", s.PeerAddress}, {"state_address", s.StateAddress}, {"store_address", s.StoreAddress}} {
		_, err := netip.ParseAddrPort(a.value)
		check(err == nil, "%s is %q: use IP:port", a.name, a.value)
	}
	if s.MetricsAddress != "" {
		_, err := netip.ParseAddrPort(s.MetricsAddress)
		check(err == nil, "metrics_address is %q: use IP:port, or leave it out", s.MetricsAddress)
	}
	if s.DetourAddress != "" {
		_, err := netip.ParseAddrPort(s.DetourAddress)
		check(err == nil, "detour_address is %q: use IP:port, or leave it out", s.DetourAddress)
	}
	if s.AdvertisedIP != "" {
		_, err := netip.ParseAddr(s.AdvertisedIP)
		check(err == nil, "advertised_ip is %q: use an IP without port, or leave it out", s.AdvertisedIP)
	}
	if s.UpstreamSourceIP != "" {
		ip, err := netip.ParseAddr(s.UpstreamSourceIP)
		check(err == nil, "upstream_source_ip is %q: use an IP without port, or leave it out", s.UpstreamSourceIP)
		s.upstreamSourceIP = ip
	}
	s.RepeatWindowS = cmp.Or(s.RepeatWindowS, defaultRepeatWindowS)
	s.ProbesPerS = cmp.Or(s.ProbesPerS, defaultProbesPerS)
	s.GraceS = cmp.Or(s.GraceS, defaultGraceS)
	s.AddressLifetimeS = cmp.Or(s.AddressLifetimeS, defaultAddressLifetimeS)
	s.MaxDescriptors = cmp.Or(s.MaxDescriptors, defaultDescriptors)
	s.Cores = cmp.Or(s.Cores, 1)
	s.MemoryMB = cmp.Or(s.MemoryMB, defaultMemoryMB)
	check(s.RepeatRatio >= 0 && s.RepeatRatio <= maxRepeatRatio, "repeat_ratio is %v: use 0 to %d", s.RepeatRatio, maxRepeatRatio)
	check(s.RepeatBurst >= 0, "repeat_burst is %v: use 0 or more requests", s.RepeatBurst)
	check(s.RepeatWindowS > 0 && s.RepeatWindowS <= maxSettingS, "repeat_window_s is %v: use more than 0 and up to %d seconds", s.RepeatWindowS, maxSettingS)
	check(s.ProbesPerS > 0, "asks_per_s is %v: use more than 0", s.ProbesPerS)
	check(s.ColdOver == 0 || s.ColdOver >= 1 && s.ColdOver <= maxColdOver, "cold_over is %v: use 1 to %d, or leave it out", s.ColdOver, maxColdOver)
	check(s.ColdSlack >= 0, "cold_slack is %v: use 0 or more requests", s.ColdSlack)
	check(s.GraceS >= minGraceS && s.GraceS <= maxGraceS, "grace_s is %v: use %d to %d seconds", s.GraceS, minGraceS, maxGraceS)
	check(s.AddressLifetimeS > 0 && s.AddressLifetimeS <= maxSettingS, "address_lifetime_s is %v: use more than 0 and up to %d seconds",
		s.AddressLifetimeS, maxSettingS)
	check(s.QuotaWindowS >= 0 && s.QuotaWindowS <= maxSettingS, "quota_window_s is %v: use 0 to %d seconds", s.QuotaWindowS, maxSettingS)
	check(s.QuotaOver >= 0 && s.QuotaOver <= 1, "quota_over is %v: use 0 to 1", s.QuotaOver)
	check(s.QuotaSlack >= 0 && s.QuotaSlack <= maxQuotaSlack, "quota_slack is %v: use 0 to %d requests", s.QuotaSlack, maxQuotaSlack)
	check(s.Cores > 0, "cores is %v: use more than 0", s.Cores)
	check(s.LinkMbps >= 0, "link_mbps is %v: use more than 0 Mbit/s, or leave it out", s.LinkMbps)
	check(s.MaxDescriptors >= minDescriptors, "max_descriptors is %d: use at least %d", s.MaxDescriptors, minDescriptors)
	check(s.MemoryMB >= minMemoryMB && s.MemoryMB <= maxMemoryMB, "memory_mb is %v: use %d to %d", s.MemoryMB, minMemoryMB, maxMemoryMB)
	s.OverloadControl = cmp.Or(s.OverloadControl, overloadCustomers)
	check(slices.Contains([]string{overloadCustomers, overloadAlways, overloadNever}, s.OverloadControl), "overload_control is %q: use %s, %s or %s", s.OverloadControl,
		overloadCustomers, overloadAlways, overloadNever)
	level, err := log.ParseLevel(s.LogLevel)
	check(s.LogLevel == "" || err == nil, "log_level is %q: use debug, info, warn or error", s.LogLevel)
	if s.LogLevel != "" {
		s.level = level
	}
	return trace.NewAggregate(errs...)
}

// Level returns the lowest level of log lines that are written.
func (s *Settings) Level() log.Level { return s.level }

// advertised returns the address at which other hosts reach the given address of this host.
func (s *Settings) advertised(address string) string {
	if s.AdvertisedIP == "" {
		return address
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address // Validate has checked the address
	}
	return net.JoinHostPort(s.AdvertisedIP, port)
}

// advertisedDetour returns the address at which other hosts reach DetourAddress; empty if there is none.
func (s *Settings) advertisedDetour() string {
	if s.DetourAddress == "" {
		return ""
	}
	return s.advertised(s.DetourAddress)
}

// quotaTolerance returns by how much what runs may exceed the limits of customers.
func (s *Settings) quotaTolerance() quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(s.QuotaWindowS * float64(time.Second)), Over: s.QuotaOver, Slack: s.QuotaSlack}
}

// grace returns GraceS as a duration.
func (s *Settings) grace() time.Duration { return time.Duration(s.GraceS * float64(time.Second)) }
