package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"unsafe"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

func example(t testing.TB) string {
	data, err := os.ReadFile("../../../examples/trentvale.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestExamples guards against invalid contracts in the examples folder.
func TestExamples(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"trentvale", "shannon"} {
		data, err := os.ReadFile("../../../examples/" + name + ".json")
		is.NoErr(err)
		c, err := Decode(data)
		is.NoErr(err)
		is.Equal(c.Customer, name)
	}
}

// TestMalformed guards against a malformed or ambiguous document that is accepted instead of rejected.
func TestMalformed(t *testing.T) {
	valid := example(t)
	for name, c := range map[string]struct{ document, message string }{
		"empty":                {"", "not valid JSON"},
		"null":                 {"null", "/customer"},
		"cut":                  {valid[:len(valid)/2], "not valid JSON"},
		"wrong type":           {strings.Replace(valid, `"burst": 150`, `"burst": "150"`, 1), "burst"},
		"fraction":             {strings.Replace(valid, `"burst": 150`, `"burst": 1.5`, 1), "burst"},
		"unknown field":        {strings.Replace(valid, `"burst"`, `"bursts"`, 1), "bursts"},
		"unknown in operation": {strings.Replace(valid, `"idempotent": true`, `"idempotent": true, "retries": 1`, 1), "retries"},
		"duplicate key":        {strings.Replace(valid, `"burst": 150`, `"burst": 150, "burst": 1`, 1), "/services/0/burst"},
		"other case":           {strings.Replace(valid, `"burst": 150`, `"burst": 150, "Burst": 1`, 1), "/services/0/Burst"},
		"folded letter":        {strings.Replace(valid, `"burst": 150`, `"burst": 150, "burſt": 1`, 1), "/services/0/burſt"},
		"trailing data":        {valid + "{}", "after its end"},
		"oversized":            {valid + strings.Repeat(" ", MaxDocumentBytes), "at most"},
		"deep nesting":         {strings.Repeat("[", 100_000), "nests more than"},
		"deep objects":         {strings.Repeat(`{"a":`, 10_000), "nests more than"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(c.document))
			is.True(trace.IsBadParameter(err))
			is.True(strings.Contains(err.Error(), c.message))
		})
	}
}

// TestRules guards against a rule that is not enforced, and against an error that does not name the field.
func TestRules(t *testing.T) {
	for _, c := range []struct{ from, to, path string }{
		{`"trentvale"`, `"Trentvale"`, "/customer"},
		{`"trentvale"`, `"` + strings.Repeat("a", 64) + `"`, "/customer"},
		{`"name": "demo"`, `"name": ""`, "/credentials/0/name"},
		{`{"name": "demo", "sha256": "9137685c78ebe06bef4b7ff65cb4fa2a739b28f8a702fb36fff39dcf07519a7d"}`, "", "/credentials"},
		{`"9137685c`, `"9137685C`, "/credentials/0/sha256"},
		{`"key_window_s": 600`, `"key_window_s": 119`, "/key_window_s"},
		{`"key_window_s": 600`, `"key_window_s": 3601`, "/key_window_s"},
		{`"pricebook"`, `"lotdesk"`, "/services/1/name"},
		{`"pricebook"`, `"a b"`, "/services/1/name"},
		{`"rate_per_second": 3000`, `"rate_per_second": 0`, "/services/0/rate_per_second"},
		{`"rate_per_second": 3000`, `"rate_per_second": 1e9`, "/services/0/rate_per_second"},
		{`"burst": 150`, `"burst": -1`, "/services/0/burst"},
		{`"concurrent": 45`, `"concurrent": 0`, "/services/0/concurrent"},
		{`"concurrent": 45`, `"concurrent": 1000001`, "/services/0/concurrent"},
		{`"concurrent": 45`, `"concurrent": 45, "share": 1001`, "/services/0/share"},
		{`"concurrent": 45`, `"concurrent": 45, "max_body_bytes": 8388609`, "/services/0/max_body_bytes"},
		{`"retry_percent": 10`, `"retry_percent": 101`, "/services/0/retry_percent"},
		{`"name": "lookup"`, `"name": "reserve"`, "/services/0/operations/1/name"},
		{`"method": "GET"`, `"method": "get"`, "/services/0/operations/0/method"},
		{`"path": "/lots/"`, `"path": "lots/"`, "/services/0/operations/0/path"},
		{`"method": "POST", "path": "/reservations"`, `"method": "GET", "path": "/lots/"`, "/services/0/operations/1/path"},
		{`"class": "normal"`, `"class": "high"`, "/services/0/operations/0/class"},
		{`"class": "normal", `, ``, "/services/0/operations/0/class"},
		{`"deadline_ms": 1000`, `"deadline_ms": 0`, "/services/0/operations/0/deadline_ms"},
		{`"deadline_ms": 1000`, `"deadline_ms": 600001`, "/services/0/operations/0/deadline_ms"},
		{`"probes_per_second_per_upstream": 0.5`, `"probes_per_second_per_upstream": -1`, "/services/0/measuring/probes_per_second_per_upstream"},
		{`"entry_hosts_max": 20`, `"entry_hosts_max": 0`, "/services/0/measuring/entry_hosts_max"},
	} {
		t.Run(c.path+" "+c.to, func(t *testing.T) {
			is := is.New(t)
			valid := example(t)
			is.True(strings.Contains(valid, c.from))
			_, err := Decode([]byte(strings.Replace(valid, c.from, c.to, 1)))
			is.True(trace.IsBadParameter(err))
			var fields FieldErrors
			is.True(errors.As(err, &fields))
			is.Equal(len(fields), 1)
			is.Equal(fields[0].Path, c.path)
			is.True(fields[0].Rule != "" && fields[0].Remedy != "")
		})
	}
	for list, count := range map[string]int{"services": 201, "credentials": 17} {
		_, err := Decode(fmt.Appendf(nil, `{"customer":"a",%q:[{}%s]}`, list, strings.Repeat(",{}", count-1)))
		is.New(t).True(strings.Contains(err.Error(), fmt.Sprintf("/%s: %d: must be a list of 1 to", list, count)))
	}
}

// TestContractsShareNames guards against a separate copy of the names of services and operations in each contract. A host holds the
// contracts of all customers, so such copies would waste memory.
func TestContractsShareNames(t *testing.T) {
	is := is.New(t)
	a, err := Decode([]byte(example(t)))
	is.NoErr(err)
	b, err := Decode([]byte(strings.Replace(example(t), `"customer": "trentvale"`, `"customer": "other"`, 1)))
	is.NoErr(err)
	shared := func(s, o string) bool { return s == o && unsafe.StringData(s) == unsafe.StringData(o) }
	for i, s := range a.Services {
		is.True(shared(s.Name, b.Services[i].Name))
		for j, op := range s.Operations {
			other := b.Services[i].Operations[j]
			is.True(shared(op.Name, other.Name) && shared(op.Method, other.Method) && shared(op.Path, other.Path))
		}
	}
}

// TestMatch guards against a path that matches the wrong operation and so gets a wrong class or deadline.
func TestMatch(t *testing.T) {
	s := Service{Operations: []Operation{{Name: "all", Method: "GET", Path: "/"}, {Name: "lots", Method: "GET", Path: "/lots"}, {Name: "lot", Method: "GET", Path: "/lots/"}}}
	for path, want := range map[string]string{"/": "all", "/lots": "lots", "/lots/1": "lot", "/lotsale": "all"} {
		is.New(t).Equal(s.Match("GET", path).Name, want)
	}
	is.New(t).True(s.Match("POST", "/lots") == nil)
}

// FuzzDecode guards against panics, and against accepted documents that change when a snapshot encodes and decodes them.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte(`{"customer":"a","services":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if reencoded, _ := json.Marshal(decoded); string(reencoded) != string(encoded) {
			t.Fatalf("%s became %s", encoded, reencoded)
		}
	})
}
