package routing

import (
	"encoding/hex"
	"strings"
)

// NormalizePath returns a path in which escaped unreserved characters are unescaped, and the hexadecimal digits of other escapes are in upper case. Bytes
// that no path has unescaped are escaped. Two paths are equivalent if their results are equal (RFC 3986 section 6.2.2).
func NormalizePath(path string) string {
	if !strings.ContainsFunc(path, func(c rune) bool { return c == '%' || c >= 0x80 || mustEscape(byte(c)) }) {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c := path[i]
		decoded, escaped := unescape(path[i:])
		switch {
		case escaped && isUnreserved(decoded):
			b.WriteByte(decoded)
		case escaped:
			writeEscape(&b, decoded)
		case c == '%' || mustEscape(c):
			writeEscape(&b, c)
		default:
			b.WriteByte(c)
		}
		if escaped {
			i += len("2F")
		}
	}
	return b.String()
}

// unescape returns the byte that the beginning of s escapes, and false if s does not begin with an escape.
func unescape(s string) (byte, bool) {
	if len(s) < len("%2F") || s[0] != '%' {
		return 0, false
	}
	decoded, err := hex.DecodeString(s[1:len("%2F")])
	if err != nil {
		return 0, false
	}
	return decoded[0], true
}

func writeEscape(b *strings.Builder, c byte) {
	b.WriteByte('%')
	b.WriteString(strings.ToUpper(hex.EncodeToString([]byte{c})))
}

// isUnreserved reports whether escaping a character does not change the meaning of a path (RFC 3986 section 2.3).
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// mustEscape reports whether no path has the byte unescaped.
func mustEscape(c byte) bool {
	return c <= ' ' || c >= 0x7f || strings.IndexByte("\"<>\\^`{|}", c) >= 0
}
