package sockbuf

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReceived guards against connections that are taken for empty although bytes have arrived, also when their read deadline has passed.
func TestReceived(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer near.Close()
	far, err := l.Accept()
	is.NoErr(err)
	defer far.Close()
	is.Equal(Received(far), Empty)
	is.NoErr(far.SetReadDeadline(time.Now().Add(-time.Second)))
	is.Equal(Received(far), Empty)
	_, err = io.WriteString(near, "x")
	is.NoErr(err)
	await(t, far, Bytes)
	is.Equal(Received(far), Bytes) // they are still there
	is.NoErr(far.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(far, make([]byte, 1))
	is.NoErr(err)
	is.Equal(Received(far), Empty)
	near.Close()
	await(t, far, EOF)
	far.Close()
	is.Equal(Received(far), Unknown)
	piped, _ := net.Pipe()
	is.Equal(Received(piped), Unknown)
}

func await(t *testing.T, c net.Conn, want Unread) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); Received(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d, want %d", Received(c), want)
		}
	}
}
