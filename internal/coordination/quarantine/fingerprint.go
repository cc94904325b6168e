package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/netip"
	"slices"
	"strings"
)

// Fingerprint identifies a request whose attempts have different ids, on all hosts. It is also a pattern for several requests: a zero Caller or
// Query stands for any.
type Fingerprint struct {
	Content [16]byte `cbor:"1,keyasint"` // hash of method, host, path and body
	Caller  [8]byte  `cbor:"2,keyasint"` // hash of the caller's address
	Query   [8]byte  `cbor:"3,keyasint"` // hash of the query
}

// String returns the parts in hexadecimal, with "*" for any.
func (f Fingerprint) String() string {
	part := func(b [8]byte) string {
		if b == [8]byte{} {
			return "*"
		}
		return hex.EncodeToString(b[:])
	}
	return hex.EncodeToString(f.Content[:]) + "." + part(f.Caller) + "." + part(f.Query)
}

// NewFingerprint returns the fingerprint of a request. target is the path with the query, caller the address of the caller without its port.
func NewFingerprint(caller netip.Addr, method, host, target string, body []byte) (f Fingerprint) {
	path, query, _ := strings.Cut(target, "?")
	copy(f.Content[:], digest([]byte(method), []byte(host), []byte(path), body))
	copy(f.Caller[:], digest([]byte(caller.String())))
	copy(f.Query[:], digest([]byte(query)))
	return f
}

// digest returns a hash of fields, each after its length, so that no two lists of fields are hashed alike.
func digest(fields ...[]byte) []byte {
	h := sha256.New()
	for _, field := range fields {
		writeField(h, field)
	}
	return h.Sum(nil)
}

func writeField(h hash.Hash, field []byte) {
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash returns no error
	h.Write(field)
}

// patterns returns the patterns that match a request, the narrowest first.
func (f Fingerprint) patterns() [4]Fingerprint {
	return [4]Fingerprint{f, {Content: f.Content, Caller: f.Caller}, {Content: f.Content, Query: f.Query}, {Content: f.Content}}
}

// matches reports whether a request matches the pattern.
func (f Fingerprint) matches(request Fingerprint) bool {
	if request.Content != f.Content {
		return false
	}
	patterns := request.patterns()
	return slices.Contains(patterns[:], f)
}

// breadth returns the place of a pattern in the result of patterns.
func (f Fingerprint) breadth() int {
	n := 0
	if f.Query == [8]byte{} {
		n++
	}
	if f.Caller == [8]byte{} {
		n += 2
	}
	return n
}

// compare orders fingerprints: by content, then the narrower patterns first.
func (f Fingerprint) compare(other Fingerprint) int {
	return strings.Compare(string(f.Content[:])+string(rune(f.breadth()))+string(f.Caller[:])+string(f.Query[:]),
		string(other.Content[:])+string(rune(other.breadth()))+string(other.Caller[:])+string(other.Query[:]))
}
