package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/netip"
)

// Fingerprint identifies a request whose attempts have different ids: the requests of one caller with the same method, host, target and body have
// the same one on all hosts.
type Fingerprint [16]byte

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewFingerprint returns the fingerprint of a request. target is the path with the query, caller the address of the caller without its port.
func NewFingerprint(caller netip.Addr, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{caller.String(), method, host, target} {
		writeField(h, []byte(field))
	}
	writeField(h, body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// writeField writes a field after its length, so that no two lists of fields are written alike.
func writeField(h hash.Hash, field []byte) {
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash returns no error
	h.Write(field)
}
