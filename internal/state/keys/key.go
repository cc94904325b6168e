// Package keys stores which idempotency keys this host incarnation has accepted and the outcome of their requests, so that
// a non-idempotent request runs at most once.
//
// A key names the host incarnation that issued its prefix, and the epoch in which it was issued. See EpochLength.
package keys

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// EpochLength is the length of an epoch, measured by the monotonic clock of an incarnation.
const EpochLength = 60 * time.Second

// MaxNewKeyAgeEpochs is the highest age, in epochs, of a key that is accepted as new.
const MaxNewKeyAgeEpochs = 2

// Lengths of the parts of a key, in characters.
const (
	minNonceLength    = 16
	maxNonceLength    = 64
	maxHostLength     = 63
	incarnationLength = 16
	maxEpochDigits    = 12
)

// Key is a parsed idempotency key. Only the incarnation that it names may send the request to an upstream.
type Key struct {
	Host        string
	Incarnation string // 16 hex digits
	Epoch       int64
	Nonce       string
}

// String returns the key in the form in which callers send it.
func (k Key) String() string { return Prefix(k.Host, k.Incarnation, k.Epoch) + "." + k.Nonce }

// Prefix returns the key prefix EXECUTOR.EPOCH, where EXECUTOR is HOST-INCARNATION. Callers append a dot and a nonce.
func Prefix(host, incarnation string, epoch int64) string {
	return host + "-" + incarnation + "." + strconv.FormatInt(epoch, 10)
}

// Parse parses a key. The error names the part that is wrong.
func Parse(text string) (Key, error) {
	executor, rest, ok1 := strings.Cut(text, ".")
	epoch, nonce, ok2 := strings.Cut(rest, ".")
	if !ok1 || !ok2 {
		return Key{}, fmt.Errorf("the key does not have the form EXECUTOR.EPOCH.NONCE")
	}
	split := strings.LastIndexByte(executor, '-')
	if split < 0 {
		return Key{}, fmt.Errorf("the executor does not have the form HOST-INCARNATION")
	}
	k := Key{Host: executor[:split], Incarnation: executor[split+1:], Nonce: nonce}
	if !validHost(k.Host) {
		return Key{}, fmt.Errorf("the host is not 1 to %d of a-z, 0-9 and '-' that start with a letter", maxHostLength)
	}
	if len(k.Incarnation) != incarnationLength || !all(k.Incarnation, isLowerHex) {
		return Key{}, fmt.Errorf("the incarnation is not %d lower-case hex digits", incarnationLength)
	}
	// A leading zero is rejected, so that each key can be written in one way only.
	if epoch == "" || len(epoch) > maxEpochDigits || !all(epoch, isDigit) || (len(epoch) > 1 && epoch[0] == '0') {
		return Key{}, fmt.Errorf("the epoch is not a decimal number without leading zeros")
	}
	k.Epoch, _ = strconv.ParseInt(epoch, 10, 64) // cannot fail: at most 12 digits
	if len(nonce) < minNonceLength || len(nonce) > maxNonceLength || !all(nonce, isNonce) {
		return Key{}, fmt.Errorf("the nonce is not %d to %d of [A-Za-z0-9_-]", minNonceLength, maxNonceLength)
	}
	return k, nil
}

func validHost(s string) bool {
	return s != "" && len(s) <= maxHostLength && s[0] >= 'a' && s[0] <= 'z' &&
		all(s, func(c byte) bool { return isDigit(c) || c >= 'a' && c <= 'z' || c == '-' })
}

func isDigit(c byte) bool    { return c >= '0' && c <= '9' }
func isLowerHex(c byte) bool { return isDigit(c) || c >= 'a' && c <= 'f' }
func isNonce(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c == '-'
}

func all(s string, ok func(byte) bool) bool {
	for i := range len(s) {
		if !ok(s[i]) {
			return false
		}
	}
	return true
}
