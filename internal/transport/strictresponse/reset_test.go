package strictresponse

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	accepted, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { accepted.Close() })
	return c.(*net.TCPConn), accepted.(*net.TCPConn)
}

// awaitDead waits until a connection has received a reset.
func awaitDead(t *testing.T, c net.Conn) {
	t.Helper()
	for begin := time.Now(); !sockbuf.Dead(c); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatal("no reset in 10 s")
		}
	}
}

// TestResetMetByWrite guards against an end of file for a connection that the peer has reset, after a write has taken the error.
func TestResetMetByWrite(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	c := NewResetConn(near)
	_, err := io.WriteString(far, "part")
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	awaitDead(t, c)
	_, err = c.Write([]byte("upload"))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = c.Write([]byte("upload"))
	is.True(errors.Is(err, syscall.EPIPE))
	data, err := io.ReadAll(c)
	is.Equal(string(data), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = near.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // what ResetConn is for
}

// TestResetAfterEndOfFile guards against the loss of a whole response: the peer closes its side, and resets the connection because of what arrives then.
func TestResetAfterEndOfFile(t *testing.T) {
	for _, written := range []bool{false, true} {
		is := is.New(t)
		near, far := connect(t)
		c := NewResetConn(near)
		_, err := io.WriteString(far, "whole")
		is.NoErr(err)
		is.NoErr(far.Close())
		_, err = c.Write([]byte("upload"))
		is.NoErr(err)
		awaitDead(t, c)
		if written {
			_, err = c.Write([]byte("upload"))
			is.True(errors.Is(err, syscall.EPIPE))
		}
		data, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(string(data), "whole")
	}
}

// slowWriteConn returns from Write a while after the connection has.
type slowWriteConn struct {
	*net.TCPConn
	met chan struct{} // closed when the connection has returned
}

func (c slowWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	close(c.met)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// TestResetMetByWriteInProgress guards against an end of file that is returned before the write that has met the reset returns.
func TestResetMetByWriteInProgress(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	slow := slowWriteConn{near, make(chan struct{})}
	c := NewResetConn(slow)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	awaitDead(t, c)
	go c.Write([]byte("upload"))
	<-slow.met
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// closedAtEndConn calls close when Read has got an end of file.
type closedAtEndConn struct {
	*net.TCPConn
	close func()
}

func (c *closedAtEndConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err == io.EOF {
		c.close()
	}
	return n, err
}

// TestResetMetByWriteBeforeClose guards against an end of file for a connection that was reset, if it is closed before it is asked whether it was.
func TestResetMetByWriteBeforeClose(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	closing := &closedAtEndConn{TCPConn: near}
	c := NewResetConn(closing)
	closing.close = func() { c.Close() }
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	awaitDead(t, c)
	_, err := c.Write([]byte("upload"))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
}

// TestEndOfFileDuringWrite guards against a reader that waits for a write which the peer does not read.
func TestEndOfFileDuringWrite(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	c := NewResetConn(near)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Write(make([]byte, 64<<20))
	}()
	_, err := io.ReadFull(far, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	near.Close()
	<-ended
}
