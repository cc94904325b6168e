package strictresponse

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
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

const requestHead = "POST / HTTP/1.1\r\nHost: h\r\n\r\n"

// readToEnd reads what the peer has sent, and returns it with the result of ConfirmEnd.
func readToEnd(t *testing.T, c *ResetConn) (string, error) {
	t.Helper()
	data, err := io.ReadAll(c)
	if err != nil {
		return string(data), err
	}
	return string(data), c.ConfirmEnd()
}

// sendHead returns both ends of a TCP connection on which the head of a request with a body of the given length has been written and received.
func sendHead(t *testing.T, bodyLength int64) (c *ResetConn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	near, far := connect(t)
	c = NewResetConn(near)
	c.BeginRequest(bodyLength)
	_, err := io.WriteString(c, requestHead)
	is.NoErr(err)
	_, err = io.ReadFull(far, make([]byte, len(requestHead)))
	is.NoErr(err)
	return c, far
}

// endWith writes a response and ends the peer's side of the connection.
func endWith(t *testing.T, far *net.TCPConn, response string) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(far, response)
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
}

// TestResetAfterEndOfFile guards against a part that is taken as whole: the peer closes the connection before the request's body has arrived, and so resets
// it when it does.
func TestResetAfterEndOfFile(t *testing.T) {
	const body = "upload"
	for _, written := range []bool{false, true} {
		is := is.New(t)
		c, far := sendHead(t, int64(len(body)))
		endWith(t, far, "part")
		is.NoErr(far.Close())
		_, err := io.WriteString(c, body)
		is.NoErr(err)
		awaitDead(t, c)
		want := syscall.ECONNRESET
		if written {
			_, err = io.WriteString(c, "more")
			is.True(errors.Is(err, syscall.EPIPE))
			want = syscall.EPIPE
		}
		data, err := readToEnd(t, c)
		is.Equal(data, "part")
		is.True(errors.Is(err, want))
	}
}

// TestResetAfterEndOfFileWithoutBody guards against the loss of a whole response to a request without a body, which a reset follows.
func TestResetAfterEndOfFileWithoutBody(t *testing.T) {
	is := is.New(t)
	c, far := sendHead(t, 0)
	endWith(t, far, "whole")
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	awaitDead(t, c)
	data, err := readToEnd(t, c)
	is.Equal(data, "whole")
	is.Equal(err, io.EOF)
}

// TestEndOfFileBeforeReset guards against a part that is taken as whole because the reset arrives after ConfirmEnd was called: the peer has not read the
// request's body then.
func TestEndOfFileBeforeReset(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 32<<20)
	c, far := sendHead(t, int64(len(body)))
	endWith(t, far, "part")
	go c.Write(body)
	ended := make(chan error)
	go func() {
		_, err := readToEnd(t, c)
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatal("ended before the body was read:", err)
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	err := <-ended
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// TestEndOfFileBeforeBodyIsRead guards against the loss of a whole response: the peer reads the request's body after its end of file.
func TestEndOfFileBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	c := NewResetConn(near)
	body := make([]byte, 32<<20)
	c.BeginRequest(int64(len(body)))
	endWith(t, far, "whole")
	go func() {
		io.WriteString(c, requestHead)
		c.Write(body)
	}()
	go io.Copy(io.Discard, far)
	data, err := readToEnd(t, c)
	is.Equal(data, "whole")
	is.Equal(err, io.EOF)
}

// TestConfirmEndDoesNotWait guards against a response that is held back although the peer has taken the whole request.
func TestConfirmEndDoesNotWait(t *testing.T) {
	for _, body := range []string{"", "upload"} {
		is := is.New(t)
		c, far := sendHead(t, int64(len(body)))
		_, err := io.WriteString(c, body)
		is.NoErr(err)
		_, err = io.ReadFull(far, make([]byte, len(body)))
		is.NoErr(err)
		endWith(t, far, "whole")
		_, err = io.ReadAll(c)
		is.NoErr(err)
		taken, err := c.requestTaken()
		is.NoErr(err)
		is.True(taken)
	}
}

// TestConfirmEndAfterClose guards against a reader that outlives its connection.
func TestConfirmEndAfterClose(t *testing.T) {
	is := is.New(t)
	c, far := sendHead(t, 1)
	is.NoErr(far.CloseWrite())
	ended := make(chan error)
	go func() { ended <- c.ConfirmEnd() }()
	time.Sleep(10 * time.Millisecond)
	is.NoErr(c.Close())
	is.Equal(<-ended, net.ErrClosed)
	is.Equal(c.ConfirmEnd(), net.ErrClosed)
}

// TestConfirmEndOfUnknownLength guards against a reader that waits for the end of a request which it cannot find.
func TestConfirmEndOfUnknownLength(t *testing.T) {
	is := is.New(t)
	near, _ := connect(t)
	c := NewResetConn(near)
	c.BeginRequest(-1)
	is.Equal(c.ConfirmEnd(), errUnknownLength)
}

// TestRequestProgress guards against a request that counts as written before its end or not at its end, however it is split into writes.
func TestRequestProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Bodies and values may contain what ends a head, or a part of it.
		body := rapid.StringOfN(rapid.RuneFrom([]rune("\r\nx")), 0, 20, -1).Draw(t, "body")
		request := "POST / HTTP/1.1\r\nX: \r\r\n\r\n" + body
		p := requestProgress{bodyLength: int64(len(body))}
		for at := 0; at < len(request); {
			if p.written() {
				t.Fatalf("written with %d of %d bytes", at, len(request))
			}
			n := rapid.IntRange(1, len(request)-at).Draw(t, "n")
			p.add([]byte(request[at : at+n]))
			at += n
		}
		if !p.written() {
			t.Fatal("not written")
		}
	})
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
