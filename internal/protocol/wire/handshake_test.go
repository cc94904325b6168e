package wire

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

func handshake(clientSecret, serverSecret, want string) (from string, clientErr, serverErr error) {
	c, s := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer s.Close()
		from, serverErr = ServerHandshake(s, []byte(serverSecret), Hello{Nonce: [nonceBytes]byte{1}, Host: "host-b"})
	}()
	clientErr = ClientHandshake(c, []byte(clientSecret), Hello{Nonce: [nonceBytes]byte{2}, Host: "host-a"}, want)
	c.Close()
	<-done
	return from, clientErr, serverErr
}

// TestHandshake guards against a connection that is accepted without the secret, or that reaches another host than the expected one.
func TestHandshake(t *testing.T) {
	is := is.New(t)
	from, clientErr, serverErr := handshake("secret", "secret", "host-b")
	is.NoErr(clientErr)
	is.NoErr(serverErr)
	is.Equal(from, "host-a")

	_, clientErr, serverErr = handshake("wrong", "secret", "host-b")
	is.True(trace.IsAccessDenied(clientErr))
	is.True(serverErr != nil)

	_, clientErr, serverErr = handshake("secret", "secret", "host-c")
	is.True(trace.IsNotFound(clientErr))
	is.True(serverErr != nil)
}

// TestServerRejectsProof guards against a server that accepts an invalid proof: a random, a reflected or a replayed one.
func TestServerRejectsProof(t *testing.T) {
	secret, server := []byte("secret"), Hello{Nonce: [nonceBytes]byte{1}, Host: "host-b"}
	client := Hello{Nonce: [nonceBytes]byte{2}, Host: "host-a"}
	old := server
	old.Nonce[0]++
	for name, forged := range map[string][]byte{
		"random":    make([]byte, 32),
		"reflected": proof(secret, roleServer, &client, &server),
		"replayed":  proof(secret, roleClient, &client, &old),
	} {
		var out bytes.Buffer
		rw := struct {
			io.Reader
			io.Writer
		}{io.MultiReader(bytes.NewReader(client.encode()), bytes.NewReader(forged)), &out}
		if _, err := ServerHandshake(rw, secret, server); !trace.IsAccessDenied(err) {
			t.Errorf("%s proof: %v", name, err)
		}
		if out.Len() != helloBytes+32 {
			t.Errorf("%s proof: the server sent %d bytes", name, out.Len())
		}
	}
}

// TestMalformedHello guards against host names that are used in logs, maps and addresses without validation.
func TestMalformedHello(t *testing.T) {
	good := (&Hello{Host: "host-a"}).encode()
	change := func(at int, b byte) []byte {
		out := bytes.Clone(good)
		out[at] = b
		return out
	}
	nameAt := len(handshakeMagic) + nonceBytes
	for name, data := range map[string][]byte{
		"empty": nil, "short": good[:len(good)-1], "long": append(bytes.Clone(good), 0), "magic": change(0, 'x'),
		"no name": change(nameAt, 0), "long name": change(nameAt, 64), "name cut": change(nameAt, 5), "name beyond": change(nameAt, 7),
		"capital": change(nameAt+1, 'H'), "digit first": change(nameAt+1, '1'), "line break": change(nameAt+2, '\n'),
		"http": []byte(strings.Repeat("GET / HTTP/1.1\r\n", 7))[:helloBytes],
	} {
		if _, err := ParseHello(data); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if h, err := ParseHello(good); err != nil || h.Host != "host-a" {
		t.Errorf("good hello: %v, %v", h, err)
	}
}

// TestMalformedMessages guards against input that makes the decoder allocate or recurse without bounds.
func TestMalformedMessages(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty": {}, "cut": {0xa1, 0x01}, "trailing": {0x01, 0x01}, "indefinite": {0x9f, 0x01, 0xff},
		"huge array": {0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, "huge map": {0xbb, 0, 0, 0, 1, 0, 0, 0, 0},
		"huge string": {0x7b, 0, 0, 0, 1, 0, 0, 0, 0}, "deep": bytes.Repeat([]byte{0x81}, 1000),
		"duplicate key": {0xa2, 0x01, 0x01, 0x01, 0x02}, "too long": make([]byte, MaxFrameBytes+1),
	} {
		var v any
		if err := Unmarshal(data, &v); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// FuzzDecode guards against decoders that panic, a hello that is accepted but does not encode to the same bytes, and a handshake
// that succeeds with arbitrary input.
func FuzzDecode(f *testing.F) {
	f.Add((&Hello{Host: "host-a"}).encode())
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := ParseHello(data); err == nil && !bytes.Equal(h.encode(), data) {
			t.Errorf("hello %x decodes to %+v", data, h)
		}
		rw := struct {
			io.Reader
			io.Writer
		}{bytes.NewReader(data), io.Discard}
		if _, err := ServerHandshake(rw, []byte("secret"), Hello{Host: "host-b"}); err == nil {
			t.Errorf("handshake accepted %x", data)
		}
		var v any
		_ = Unmarshal(data, &v)
	})
}
