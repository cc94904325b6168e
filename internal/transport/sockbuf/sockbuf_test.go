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
	near, far := connect(t)
	is.Equal(Received(far), Empty)
	is.NoErr(far.SetReadDeadline(time.Now().Add(-time.Second)))
	is.Equal(Received(far), Empty)
	_, err := io.WriteString(near, "x")
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
	near, far = connect(t)
	is.NoErr(near.(*net.TCPConn).SetLinger(0))
	near.Close()
	await(t, far, EOF)
	is.Equal(Received(far), EOF) // the reset is reported once by the system
	piped, _ := net.Pipe()
	is.Equal(Received(piped), Unknown)
}

// TestTake guards against bytes that have arrived and are not read because a deadline has passed.
func TestTake(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	is.NoErr(far.SetReadDeadline(time.Now().Add(-time.Second)))
	b := make([]byte, 2)
	is.Equal(Take(far, b), 0)
	_, err := io.WriteString(near, "abc")
	is.NoErr(err)
	await(t, far, Bytes)
	is.Equal(Take(far, b), 2)
	is.Equal(string(b), "ab")
	is.Equal(Take(far, b), 1)
	is.Equal(Take(far, b), 0)
	near.Close()
	await(t, far, EOF)
	is.Equal(Take(far, b), 0)
}

// TestWritable guards against a peer that is taken for one that reads, or for one that does not.
func TestWritable(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	is.True(Writable(far))
	is.True(!Unacknowledged(far))
	is.NoErr(far.SetWriteDeadline(time.Now().Add(time.Second)))
	written, err := far.Write(make([]byte, 64<<20))
	is.True(err != nil)
	is.True(!Writable(far))
	is.True(Unacknowledged(far))
	_, err = io.CopyN(io.Discard, near, int64(written))
	is.NoErr(err)
	is.True(Writable(far))
	for deadline := time.Now().Add(time.Minute); Unacknowledged(far) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(!Unacknowledged(far))
}

// TestWaiting guards against connections in the accept queue that are not seen, also when the listener's deadline has passed.
func TestWaiting(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second)))
	is.True(!Waiting(l))
	near, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer near.Close()
	for deadline := time.Now().Add(time.Minute); !Waiting(l) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(Waiting(l))
	l.Close()
	is.True(!Waiting(l))
}

// connect returns the two sides of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { near.Close() })
	far, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { far.Close() })
	return near, far
}

func await(t *testing.T, c net.Conn, want Unread) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); Received(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d, want %d", Received(c), want)
		}
	}
}

// TestSinceArrival guards against bytes whose age is overstated, so that a request seems to have less time than it has, or not known at all, also if they arrived
// before the connection was accepted.
func TestSinceArrival(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer near.Close()
	begin := time.Now()
	_, err = io.WriteString(near, "x")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	far, err := l.Accept()
	is.NoErr(err)
	defer far.Close()
	age := SinceArrival(far)
	is.True(age <= time.Since(begin))
	is.True(age >= 100*time.Millisecond-2*clockTick)
	_, err = io.ReadFull(far, make([]byte, 1))
	is.NoErr(err)
	is.True(SinceArrival(far) >= age)
	for range 20 {
		begin = time.Now()
		_, err = io.WriteString(near, "x")
		is.NoErr(err)
		_, err = io.ReadFull(far, make([]byte, 1))
		is.NoErr(err)
		age = SinceArrival(far)
		is.True(age <= time.Since(begin))
		time.Sleep(time.Millisecond)
	}
	far.Close()
	is.Equal(SinceArrival(far), time.Duration(0))
}

// BenchmarkSinceArrival measures what a host does for each request to learn when it arrived.
func BenchmarkSinceArrival(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer far.Close()
	for b.Loop() {
		SinceArrival(far)
	}
}
