package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"
	"unique"

	"github.com/gravitational/trace"
)

// MaxDocumentBytes is the largest size of a contract document. It keeps each record small enough for every message that carries it.
const MaxDocumentBytes = 256 << 10

// FieldError describes one field that breaks a rule.
type FieldError struct {
	Path   string `json:"path"`   // JSON pointer
	Value  string `json:"value"`  // the value found, truncated
	Rule   string `json:"rule"`   // what the value must be
	Remedy string `json:"remedy"` // how to correct it
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s: must be %s; %s", e.Path, e.Value, e.Rule, e.Remedy)
}

// Decode parses and validates one document. Unknown fields, duplicate keys and data after the document are rejected.
// The error is a trace.BadParameter. If fields are invalid, its cause is a FieldErrors.
func Decode(data []byte) (*Contract, error) {
	if len(data) > MaxDocumentBytes {
		return nil, trace.BadParameter("document has %d bytes: at most %d are allowed; split the customer's services over several customers", len(data), MaxDocumentBytes)
	}
	var c Contract
	if err := DecodeStrict(data, &c); err != nil {
		return nil, err
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.internNames()
	return &c, nil
}

// internNames interns the names of services and the names, methods and paths of operations, so that equal strings are stored once.
// A host holds all contracts, and those of one service repeat the same operations and paths: separate copies would take a tenth
// of the memory of a decoded contract.
func (c *Contract) internNames() {
	intern := func(s *string) { *s = unique.Make(*s).Value() }
	for i := range c.Services {
		s := &c.Services[i]
		intern(&s.Name)
		for j := range s.Operations {
			intern(&s.Operations[j].Name)
			intern(&s.Operations[j].Method)
			intern(&s.Operations[j].Path)
		}
	}
}

// DecodeStrict parses one JSON document into a struct. Unknown fields, duplicate keys, deep nesting and data after the
// document are rejected with a trace.BadParameter.
func DecodeStrict(data []byte, into any) error {
	if err := checkKeysAndDepth(data); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return trace.BadParameter("document is not valid: %v; compare it with examples/ and docs/CONFIG.md", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return trace.BadParameter("document has data after its end; send one document at a time")
	}
	return nil
}

// checkKeysAndDepth returns an error if a document is not valid JSON, nests too deeply, or has an object key that occurs twice
// or is not lower case. encoding/json would accept a duplicate key and keep its last value.
func checkKeysAndDepth(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	return checkValue(dec, "", 0)
}

// maxDepth limits the recursion for documents from an untrusted source. Valid documents nest five levels.
const maxDepth = 16

// checkValue reads one JSON value, with all values in it, and checks the nesting depth and the object keys. path is the JSON
// pointer of the value.
func checkValue(dec *json.Decoder, path string, depth int) error {
	if depth > maxDepth {
		return trace.BadParameter("%s: the document nests more than %d levels; compare it with examples/", path, maxDepth)
	}
	tok, err := dec.Token()
	if err != nil {
		return trace.BadParameter("document is not valid JSON at %q: %v; check it with a JSON validator", path, err)
	}
	switch tok {
	case json.Delim('{'):
		seen := map[string]bool{}
		for dec.More() {
			key, err := dec.Token()
			if err != nil {
				return trace.BadParameter("document is not valid JSON at %q: %v; check it with a JSON validator", path, err)
			}
			name, _ := key.(string)
			// encoding/json compares keys without case and folds some letters beyond ASCII, so two different keys could set one field.
			if !keyPattern.MatchString(name) {
				return trace.BadParameter("%s/%.80s: the key is not a field; field names are lower case", path, name)
			}
			if seen[name] {
				return trace.BadParameter("%s/%s: the key occurs twice; remove one of them", path, name)
			}
			seen[name] = true
			if err := checkValue(dec, path+"/"+name, depth+1); err != nil {
				return err
			}
		}
		_, err = dec.Token()
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if err := checkValue(dec, fmt.Sprintf("%s/%d", path, i), depth+1); err != nil {
				return err
			}
		}
		_, err = dec.Token()
	}
	if err != nil {
		return trace.BadParameter("document is not valid JSON at %q: %v; check it with a JSON validator", path, err)
	}
	return nil
}

// FieldErrors lists every field that breaks a rule.
type FieldErrors []FieldError

// Unwrap returns a trace.BadParameterError, so that trace.IsBadParameter recognizes the error.
func (e FieldErrors) Unwrap() error { return &trace.BadParameterError{Message: e.Error()} }

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	keyPattern    = regexp.MustCompile(`^[a-z0-9_]{1,63}$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE)$`)
)

// Ranges of the numbers in a contract.
const (
	maxRatePerSecond = 10e6
	maxConcurrent    = 1_000_000
	maxDeadlineMS    = 600_000
	minKeyWindowS    = 120 // a new key is accepted for two epochs of 60 s; if it were forgotten earlier, its request could run twice
	maxKeyWindowS    = 3600
	maxBodyBytes     = 8 << 20
	maxShare         = 1000
	maxServices      = 200
	maxOperations    = 200
	maxEntryHosts    = 10_000
)

// Validate checks every field and returns a trace.BadParameter that wraps FieldErrors, or nil.
func (c *Contract) Validate() error {
	var v validator
	v.name("/customer", c.Customer)
	if len(c.Credentials) == 0 || len(c.Credentials) > 16 {
		v.add("/credentials", len(c.Credentials), "a list of 1 to 16 credentials", "add the SHA-256 of a secret with at least 128 random bits")
	}
	for i, cred := range c.Credentials {
		path := fmt.Sprintf("/credentials/%d", i)
		v.name(path+"/name", cred.Name)
		if !hashPattern.MatchString(cred.SHA256) {
			v.add(path+"/sha256", "(hidden)", "64 lower-case hex digits", "run: printf %s SECRET | sha256sum")
		}
	}
	if c.KeyWindowS != 0 {
		v.between("/key_window_s", float64(c.KeyWindowS), minKeyWindowS, maxKeyWindowS, "seconds, or 0 for the default")
	}
	if len(c.Services) == 0 || len(c.Services) > maxServices {
		v.add("/services", len(c.Services), fmt.Sprintf("a list of 1 to %d services", maxServices), "name at least one service")
	}
	seen := map[string]bool{}
	for i := range c.Services {
		path := fmt.Sprintf("/services/%d", i)
		if seen[c.Services[i].Name] {
			v.add(path+"/name", c.Services[i].Name, "unique within the contract", "merge the two entries")
		}
		seen[c.Services[i].Name] = true
		v.service(path, &c.Services[i])
	}
	if len(v.errs) > 0 {
		return trace.Wrap(v.errs)
	}
	return nil
}

// validator collects the errors of all fields.
type validator struct{ errs FieldErrors }

func (v *validator) add(path string, value any, rule, remedy string) {
	text := fmt.Sprintf("%v", value)
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	v.errs = append(v.errs, FieldError{Path: path, Value: text, Rule: rule, Remedy: remedy})
}

func (v *validator) name(path, value string) {
	if !namePattern.MatchString(value) {
		v.add(path, fmt.Sprintf("%q", value), "1 to 63 of a-z, 0-9 and '-', starting with a letter", "choose another name")
	}
}

func (v *validator) between(path string, value, low, high float64, unit string) {
	if !(value >= low && value <= high) {
		v.add(path, value, fmt.Sprintf("from %v to %v %s", low, high, unit), "choose a value in the range")
	}
}

func (v *validator) service(path string, s *Service) {
	v.name(path+"/name", s.Name)
	v.between(path+"/rate_per_second", s.RatePerSecond, 0.001, maxRatePerSecond, "requests per second")
	v.between(path+"/burst", float64(s.Burst), 0, maxRatePerSecond, "requests")
	v.between(path+"/concurrent", float64(s.Concurrent), 1, maxConcurrent, "requests")
	v.between(path+"/share", float64(s.Share), 0, maxShare, "")
	v.between(path+"/retry_percent", float64(s.RetryPercent), 0, 100, "percent")
	v.between(path+"/max_body_bytes", float64(s.MaxBodyBytes), 0, maxBodyBytes, "bytes")
	v.between(path+"/measuring/probes_per_second_per_upstream", s.Measuring.ProbesPerSecondPerUpstream, 0, 100, "probes per second")
	v.between(path+"/measuring/entry_hosts_max", float64(s.Measuring.EntryHostsMax), 1, maxEntryHosts, "hosts")
	if len(s.Operations) == 0 || len(s.Operations) > maxOperations {
		v.add(path+"/operations", len(s.Operations), fmt.Sprintf("a list of 1 to %d operations", maxOperations), "name at least one operation")
	}
	seen := map[string]bool{}
	names := map[string]bool{}
	for i := range s.Operations {
		op := &s.Operations[i]
		opPath := fmt.Sprintf("%s/operations/%d", path, i)
		v.operation(opPath, op)
		if route := op.Method + " " + op.Path; seen[route] {
			v.add(opPath+"/path", route, "unique within the service", "merge the two operations")
		} else {
			seen[route] = true
		}
		if names[op.Name] {
			v.add(opPath+"/name", op.Name, "unique within the service", "choose another name")
		}
		names[op.Name] = true
	}
}

func (v *validator) operation(path string, op *Operation) {
	v.name(path+"/name", op.Name)
	if !methodPattern.MatchString(op.Method) {
		v.add(path+"/method", fmt.Sprintf("%q", op.Method), "GET, HEAD, POST, PUT, PATCH or DELETE", "use an upper-case method")
	}
	if !strings.HasPrefix(op.Path, "/") || len(op.Path) > 256 {
		v.add(path+"/path", fmt.Sprintf("%q", op.Path), "a path of at most 256 bytes that starts with '/'", "use the path below the service")
	}
	if op.Class >= classCount {
		v.add(path+"/class", op.Class, "urgent, normal or background", "choose one of them")
	}
	v.between(path+"/deadline_ms", float64(op.DeadlineMS), 1, maxDeadlineMS, "milliseconds")
}
