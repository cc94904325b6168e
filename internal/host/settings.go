// Package host implements the entry host whose callers send credentials and are limited by contracts. It creates the components of
// the host, connects them and runs the host's lifecycle.
package host

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/policies"
	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/jsonfile"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

// Settings holds the contents of the daemon's JSON settings file.
type Settings struct {
	// Host names this entry host: 1 to 63 of a-z, 0-9 and '-', starting with a letter.
	Host string `json:"host"`
	// Site is the building or campus of this host. It is only shown to operators.
	Site string `json:"site"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Address is the IP address on which all ports listen.
	Address string `json:"address"`
	// CallerPort, OperatorPort and PeerPort are TCP ports; PeerPort is also the UDP port of the membership protocol.
	CallerPort   int `json:"caller_port"`
	OperatorPort int `json:"operator_port"`
	PeerPort     int `json:"peer_port"`
	// AdvertisedPeerPort is the peer port that other hosts connect to if they reach this host through a relay. 0 means PeerPort.
	AdvertisedPeerPort int `json:"advertised_peer_port,omitempty"`
	// LogURL is the base URL of the platform's log.
	LogURL string `json:"log_url"`
	// LogRetentionS is how long the log retains records, in seconds. The hosts write all contracts to the log again three times
	// within this time, so that they stay in it. 0 means 3,600.
	LogRetentionS int64 `json:"log_retention_s,omitempty"`
	// HostListURL is the base URL of the platform's host list.
	HostListURL string `json:"host_list_url"`
	// ClusterSecret authenticates the entry hosts of a deployment to each other. At least 16 characters.
	ClusterSecret string `json:"cluster_secret"`
	// Operators lists the accepted operator tokens, as hashes.
	Operators []admin.Operator `json:"operators"`
	// AddressLifetimeMS is how long callers may use the addresses of an address response, in milliseconds. With a longer time,
	// callers ask for addresses less often; with a shorter time, planned stops are quicker. 0 means 5,000.
	AddressLifetimeMS int64 `json:"address_lifetime_ms,omitempty"`
	// DrainDeadlineMS bounds a planned stop, in milliseconds. 0 means 30,000.
	DrainDeadlineMS int64 `json:"drain_deadline_ms,omitempty"`
	// DispatchPolicy selects the dispatch policy. All policies but "queue" are for experiments. Empty means "queue".
	DispatchPolicy string `json:"dispatch_policy,omitempty"`
	// DispatchPrefetch is the number of requests that the queue sends to an endpoint in excess of its slots, so that no slot is
	// idle during the round trip: 0 to 8. Absent means 1.
	DispatchPrefetch *int `json:"dispatch_prefetch,omitempty"`
	// Hedge enables hedging: a second request is sent for an idempotent call that is slow, within the retry allowance of the
	// contract.
	Hedge bool `json:"hedge,omitempty"`
	// LogLevel is debug, info, warn or error. Empty means info.
	LogLevel string `json:"log_level,omitempty"`
}

// Defaults of optional settings.
const (
	defaultAddressLifetimeMS = 5_000
	defaultDrainDeadlineMS   = 30_000
	minSecretLength          = 16
)

// MaxDispatchPrefetch bounds the number of requests that an endpoint holds in excess of its slots. The order of the queue no longer
// applies to these.
const MaxDispatchPrefetch = 8

// Policies returns the values of DispatchPolicy.
func Policies() []string { return append([]string{PolicyQueue}, policies.Names()...) }

// Prefetch returns DispatchPrefetch or its default.
func (s *Settings) Prefetch() int {
	if s.DispatchPrefetch == nil {
		return dispatch.DefaultPrefetch
	}
	return *s.DispatchPrefetch
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := jsonfile.Load(path, &s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, trace.Wrap(err, "settings %s", path)
	}
	return &s, nil
}

var hostPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Validate checks all fields and fills in defaults.
func (s *Settings) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, trace.BadParameter(format, args...))
		}
	}
	check(hostPattern.MatchString(s.Host), "host is %q: use 1 to 63 of a-z, 0-9 and '-', starting with a letter", s.Host)
	check(s.Zone != "", "zone is empty: name the availability zone of this host")
	_, err := netip.ParseAddr(s.Address)
	check(err == nil, "address is %q: use an IP address of this host", s.Address)
	for name, port := range map[string]int{"caller_port": s.CallerPort, "operator_port": s.OperatorPort, "peer_port": s.PeerPort} {
		check(port > 0 && port < 1<<16, "%s is %d: use 1 to 65535", name, port)
	}
	check(s.AdvertisedPeerPort >= 0 && s.AdvertisedPeerPort < 1<<16, "advertised_peer_port is %d: use 0 to 65535", s.AdvertisedPeerPort)
	for name, text := range map[string]string{"log_url": s.LogURL, "host_list_url": s.HostListURL} {
		u, err := url.Parse(text)
		check(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "%s is %q: use an http or https URL", name, text)
	}
	check(len(s.ClusterSecret) >= minSecretLength, "cluster_secret is too short: use at least %d characters", minSecretLength)
	check(len(s.Operators) > 0, "operators is empty: add the SHA-256 of at least one operator token")
	check(s.LogRetentionS >= 0 && s.LogRetentionS <= 366*86_400, "log_retention_s is %d: use 0 to 31622400", s.LogRetentionS)
	check(s.AddressLifetimeMS >= 0 && s.AddressLifetimeMS <= 600_000, "address_lifetime_ms is %d: use 0 to 600000", s.AddressLifetimeMS)
	check(s.DrainDeadlineMS >= 0 && s.DrainDeadlineMS <= 3_600_000, "drain_deadline_ms is %d: use 0 to 3600000", s.DrainDeadlineMS)
	if s.AddressLifetimeMS == 0 {
		s.AddressLifetimeMS = defaultAddressLifetimeMS
	}
	if s.DrainDeadlineMS == 0 {
		s.DrainDeadlineMS = defaultDrainDeadlineMS
	}
	if s.DispatchPolicy == "" {
		s.DispatchPolicy = PolicyQueue
	}
	check(slices.Contains(Policies(), s.DispatchPolicy),
		"dispatch_policy is %q: use queue, or for experiments one of %v", s.DispatchPolicy, policies.Names())
	prefetch := s.Prefetch()
	check(prefetch >= 0 && prefetch <= MaxDispatchPrefetch, "dispatch_prefetch is %d: use 0 to %d", prefetch, MaxDispatchPrefetch)
	check(!s.Hedge || s.DispatchPolicy == PolicyQueue,
		"hedge is true with dispatch_policy %q: only the queue knows which slots are free; use dispatch_policy queue or leave hedge out", s.DispatchPolicy)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	return trace.NewAggregate(errs...)
}
