package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
)

// The handshake on a new connection proves to each side that the other side knows the cluster secret:
//
//	client -> server  hello: magic, nonce, name
//	server -> client  hello: magic, nonce, name; then proof("server")
//	client -> server  proof("client")
//	server -> client  one status byte
//
// A proof is HMAC-SHA-256 over its role, both nonces and both names. The role prevents the reflection of a proof, the nonces
// prevent its replay. All parts have fixed sizes, so a host processes at most their sum for a peer without the secret.
const (
	handshakeMagic = "ASP1"
	nonceBytes     = 32
	maxNameBytes   = 63
	helloBytes     = len(handshakeMagic) + nonceBytes + 1 + maxNameBytes
)

// statusAccepted is the status byte of an accepted connection. Every other status rejects it.
const statusAccepted byte = 1

// Hello is the first message of each side.
type Hello struct {
	Nonce [nonceBytes]byte
	Host  string // 1 to 63 bytes
}

func (h *Hello) encode() []byte {
	out := make([]byte, helloBytes)
	n := copy(out, handshakeMagic)
	n += copy(out[n:], h.Nonce[:])
	out[n] = byte(len(h.Host))
	copy(out[n+1:], h.Host)
	return out
}

// ParseHello decodes a hello.
func ParseHello(data []byte) (*Hello, error) {
	if len(data) != helloBytes || string(data[:len(handshakeMagic)]) != handshakeMagic {
		return nil, trace.BadParameter("not a hello of an entry host; check that the address is the peer port of one")
	}
	h := &Hello{}
	rest := data[len(handshakeMagic):]
	copy(h.Nonce[:], rest)
	length, name := int(rest[nonceBytes]), rest[nonceBytes+1:]
	if length == 0 || length > maxNameBytes {
		return nil, trace.BadParameter("hello with a host name of %d bytes; names have 1 to %d", length, maxNameBytes)
	}
	for i, c := range name {
		valid := c >= 'a' && c <= 'z' || i > 0 && (c >= '0' && c <= '9' || c == '-')
		if (i < length) != valid || i >= length && c != 0 {
			return nil, trace.BadParameter("hello with a malformed host name")
		}
	}
	h.Host = string(name[:length])
	return h, nil
}

// proof returns the proof of one side. Names are length-prefixed, so two different pairs of names never give the same input.
func proof(secret []byte, role string, client, server *Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), client.Nonce[:], server.Nonce[:], []byte(client.Host), []byte(server.Host)} {
		var length [2]byte
		binary.BigEndian.PutUint16(length[:], uint16(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// Roles in a proof.
const (
	roleClient = "client"
	roleServer = "server"
)

// ClientHandshake authenticates both sides of a connection that this host opened. wantHost is the expected name of the peer. The
// caller limits the time by a deadline on the connection. After an error, the peer has not executed anything.
func ClientHandshake(rw io.ReadWriter, secret []byte, self Hello, wantHost string) error {
	if _, err := rw.Write(self.encode()); err != nil {
		return trace.ConnectionProblem(err, "send hello to %s", wantHost)
	}
	answer := make([]byte, helloBytes+sha256.Size)
	if _, err := io.ReadFull(rw, answer); err != nil {
		return trace.ConnectionProblem(err, "no hello from %s; it may be overloaded or not an entry host", wantHost)
	}
	server, err := ParseHello(answer[:helloBytes])
	if err != nil {
		return trace.Wrap(err)
	}
	if !hmac.Equal(answer[helloBytes:], proof(secret, roleServer, &self, server)) {
		return trace.AccessDenied("%s does not know the cluster secret; compare cluster_secret in the settings of both hosts", wantHost)
	}
	if server.Host != wantHost {
		return trace.NotFound("the address of %s belongs to %s", wantHost, server.Host)
	}
	if _, err := rw.Write(proof(secret, roleClient, &self, server)); err != nil {
		return trace.ConnectionProblem(err, "send proof to %s", wantHost)
	}
	var status [1]byte
	if _, err := io.ReadFull(rw, status[:]); err != nil || status[0] != statusAccepted {
		return trace.AccessDenied("%s did not accept the connection; compare cluster_secret in the settings of both hosts", wantHost)
	}
	return nil
}

// ServerHandshake authenticates both sides of an accepted connection and returns the host name that the client sent.
func ServerHandshake(rw io.ReadWriter, secret []byte, self Hello) (string, error) {
	data := make([]byte, helloBytes)
	if _, err := io.ReadFull(rw, data); err != nil {
		return "", trace.ConnectionProblem(err, "no hello")
	}
	client, err := ParseHello(data)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if _, err := rw.Write(append(self.encode(), proof(secret, roleServer, client, &self)...)); err != nil {
		return "", trace.ConnectionProblem(err, "answer hello of %s", client.Host)
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(rw, got); err != nil {
		return "", trace.ConnectionProblem(err, "no proof from %s", client.Host)
	}
	if !hmac.Equal(got, proof(secret, roleClient, client, &self)) {
		return "", trace.AccessDenied("a peer with the host name %s does not know the cluster secret", client.Host)
	}
	if _, err := rw.Write([]byte{statusAccepted}); err != nil {
		return "", trace.ConnectionProblem(err, "accept %s", client.Host)
	}
	return client.Host, nil
}
