package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"

	"github.com/gravitational/trace"
)

// Values of Host.Role.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Host is one entry of the host list.
type Host struct {
	Role        string `json:"role"` // RoleEntry or RoleUpstream
	Name        string `json:"name"`
	Address     string `json:"address"` // IP:port; the port of an entry host is its peer port
	Zone        string `json:"zone"`
	Service     string `json:"service,omitempty"` // upstreams only
	Slots       int    `json:"slots,omitempty"`   // upstreams only: how many requests it executes at the same time
	Incarnation string `json:"incarnation"`
	State       string `json:"state"` // live or leaving
}

// HostList reads the platform's list of hosts. It is not safe for concurrent use.
type HostList struct {
	base   string
	client *http.Client
	traffic
	etag string // entity tag of last
	last []Host // the list that was fetched last
	// OnInvalid, if set, is called with the number of entries that are left out of a list that was fetched, and why the first of them is.
	OnInvalid func(n int, first error)
}

// NewHostList returns the client of the host list. base is the URL before the path /v1/hosts.
func NewHostList(base string) *HostList {
	h := &HostList{base: base}
	h.client = h.newClient()
	return h
}

// Fetch returns the platform's current list, which may be out of date. If the platform sends entity tags (RFC 9110, section 13), an
// unchanged list is not transferred again: 3,000 endpoints cost 490 KB a second if the whole list is transferred each second. The
// result must not be modified.
func (h *HostList) Fetch(ctx context.Context) ([]Host, error) {
	header := http.Header{}
	if h.etag != "" {
		header.Set("If-None-Match", h.etag)
	}
	var hosts []Host
	var invalid []error
	got, err := exchange(ctx, h.client, http.MethodGet, h.base+"/v1/hosts", header, nil, func(data []byte) (err error) {
		hosts, invalid, err = decodeHosts(data)
		return err
	})
	if err != nil {
		return nil, err
	}
	if got.status != http.StatusNotModified {
		h.etag, h.last = got.header.Get("ETag"), hosts
	}
	if len(invalid) > 0 && h.OnInvalid != nil {
		h.OnInvalid(len(invalid), invalid[0])
	}
	return h.last, nil
}

// maxSlots bounds the requests that an upstream executes at the same time. Greater numbers do not come from an upstream.
const maxSlots = 1 << 20

// check returns an error if the entry is that of an upstream which cannot be used.
func (h *Host) check() error {
	if h.Role != RoleUpstream {
		return nil
	}
	if a, err := netip.ParseAddrPort(h.Address); err != nil || a.Port() == 0 {
		return trace.BadParameter("the address %.80q of upstream %.80q is not IP:port", h.Address, h.Name)
	}
	if h.Slots < 0 || h.Slots > maxSlots {
		return trace.BadParameter("upstream %.80q has %d slots: not 0 to %d", h.Name, h.Slots, maxSlots)
	}
	return nil
}

// decodeHosts decodes a list of hosts. invalid says why entries are left out: they are written by other programs, and one of them must not keep this
// host from the others.
func decodeHosts(data []byte) (hosts []Host, invalid []error, err error) {
	var answer struct {
		Hosts []Host `json:"hosts"`
	}
	if json.Unmarshal(data, &answer) != nil {
		if answer.Hosts, invalid, err = decodeEach(data); err != nil {
			return nil, nil, err
		}
	}
	hosts = slices.DeleteFunc(answer.Hosts, func(h Host) bool {
		err := h.check()
		if err != nil {
			invalid = append(invalid, err)
		}
		return err != nil
	})
	return hosts, invalid, nil
}

// decodeEach decodes the entries of a list one by one. It reads the document token by token: decoders give up a document as a whole at values that are
// nested too deep.
func decodeEach(data []byte) (hosts []Host, invalid []error, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, nil, trace.BadParameter("the host list is not a JSON object: %v", err)
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, nil, err
		}
		if name != "hosts" {
			if err := skipValue(d); err != nil {
				return nil, nil, err
			}
			continue
		}
		if t, err := d.Token(); err != nil || t != json.Delim('[') {
			return nil, nil, trace.BadParameter("hosts is not a list: %v", err)
		}
		for d.More() {
			begin := d.InputOffset()
			if err := skipValue(d); err != nil {
				return nil, nil, err
			}
			var h Host
			if err := json.Unmarshal(bytes.TrimLeft(data[begin:d.InputOffset()], ", \t\r\n"), &h); err != nil {
				invalid = append(invalid, err)
				continue
			}
			hosts = append(hosts, h)
		}
		if _, err := d.Token(); err != nil {
			return nil, nil, err
		}
	}
	_, err = d.Token()
	return hosts, invalid, err
}

// skipValue reads one value.
func skipValue(d *json.Decoder) error {
	for depth := 0; ; {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
