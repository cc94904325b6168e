// Package rawserver serves HTTP answers byte by byte, so that tests can cut them anywhere.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is the text of an answer.
type Answer struct {
	Name, Method string // method of the request
	Text         string // %s stands for further header fields, each with its line end
	UntilClose   bool   // the end of the connection ends the body
}

// WholeAnswers are answers whose ends are found in all ways that HTTP/1.1 has.
var WholeAnswers = []Answer{
	{"length", http.MethodGet, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"no content", http.MethodGet, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"length first", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n", false},
	{"trailer", http.MethodGet, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n", false},
	{"empty chunked", http.MethodGet, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
	{"interim", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"no reason", http.MethodGet, "HTTP/1.1 200\r\n%sX:\r\nContent-Length: 0\r\n\r\n", false},
	{"line feeds", http.MethodGet, "HTTP/1.1 200 OK\n%sContent-Length: 0\n\n", false},
	{"status 204", http.MethodGet, "HTTP/1.1 204 No Content\r\n%s\r\n", false},
	{"status 304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 9\r\n\r\n", false},
	{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n", false},
	{"HEAD without length", http.MethodHead, "HTTP/1.1 200 OK\r\n%s\r\n", false},
	{"until close", http.MethodGet, "HTTP/1.1 200 OK\r\n%s\r\nbody", true},
	{"until close, line feeds", http.MethodGet, "HTTP/1.1 200 OK\n%s\nbody", true},
	{"until close, announced", http.MethodGet, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\nbody", true},
	{"HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n%s\r\nbody", true},
}

// MalformedAnswers are no HTTP/1.1 answers.
var MalformedAnswers = []Answer{
	{"status 000", http.MethodGet, "HTTP/1.1 000 OK\r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"status 000, chunked", http.MethodGet, "HTTP/1.1 000 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
	{"status 000, until close", http.MethodGet, "HTTP/1.1 000 OK\r\n%s\r\nbody", true},
	{"status 000 after interim", http.MethodGet, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status 007", http.MethodGet, "HTTP/1.1 007 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status 099", http.MethodGet, "HTTP/1.1 099 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status +20", http.MethodGet, "HTTP/1.1 +20 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status -00", http.MethodGet, "HTTP/1.1 -00 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status 600", http.MethodGet, "HTTP/1.1 600 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status 999, no reason", http.MethodGet, "HTTP/1.1 999\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status of two digits", http.MethodGet, "HTTP/1.1 20\r\n%sContent-Length: 0\r\n\r\n", false},
	{"status of four digits", http.MethodGet, "HTTP/1.1 2000 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"two spaces", http.MethodGet, "HTTP/1.1  200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"HTTP/0.9", http.MethodGet, "HTTP/0.9 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"HTTP/2.0", http.MethodGet, "HTTP/2.0 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"control byte in the reason", http.MethodGet, "HTTP/1.1 200 O\x01K\r\n%sContent-Length: 0\r\n\r\n", false},
	{"CR in the reason", http.MethodGet, "HTTP/1.1 200 O\rK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"two CR", http.MethodGet, "HTTP/1.1 200 OK\r\r\n%sContent-Length: 0\r\n\r\n", false},
	{"blank in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX Y: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"blank after a name", http.MethodGet, "HTTP/1.1 200 OK\r\nX : 1\r\n%sContent-Length: 0\r\n\r\n", false},
	{"blank after a name, status 500", http.MethodGet, "HTTP/1.1 500 Failed\r\n%sX : 1\r\nContent-Length: 0\r\n\r\n", false},
	{"blank in a name, line feeds", http.MethodGet, "HTTP/1.1 200 OK\nX Y: 1\n%sContent-Length: 0\n\n", false},
	{"blank in a name, interim", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", false},
	{"blank after Content-Length", http.MethodGet, "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\nbody", true},
	{"blank after Transfer-Encoding", http.MethodGet, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
	{"tab in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\tY: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"control byte in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\x01Y: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"NUL after a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\x00: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"DEL in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\x7f: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"CR in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\rY: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"CR before a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%s\rX: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"byte above 127 in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\xc3\xbc: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"delimiter in a name", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX/Y: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"no name", http.MethodGet, "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"no colon", http.MethodGet, "HTTP/1.1 200 OK\r\n%sX\r\nContent-Length: 0\r\n\r\n", false},
	{"HTTP/1.0 with chunks", http.MethodGet, "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
	{"length and chunks", http.MethodGet, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
	{"chunks and length", http.MethodGet, "HTTP/1.1 200 OK\r\n%stransfer-encoding: chunked\r\ncontent-length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
	{"blank before the first name", http.MethodGet, "HTTP/1.1 200 OK\r\n X: 1\r\n%sContent-Length: 0\r\n\r\n", false},
}

// UnusualAnswers are whole answers in forms that are rarely sent. HTTP/1.1 allows recipients to accept them; trailers may be discarded.
var UnusualAnswers = []Answer{
	{"HTTP/1.2", http.MethodGet, "HTTP/1.2 200 OK\r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"empty reason", http.MethodGet, "HTTP/1.1 200 \r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"tab and bytes above 127 in the reason", http.MethodGet, "HTTP/1.1 200 \tgr\xc3\xbc\xc3\x9f \r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"status 599", http.MethodGet, "HTTP/1.1 599 OK\r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"all characters of names", http.MethodGet, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"blank line as a fold", http.MethodGet, "HTTP/1.1 200 OK\r\nX: 1\r\n\t\r\n%sContent-Length: 4\r\n\r\nbody", false},
	{"blank in the name of a trailer", http.MethodGet, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: trailer\r\n\r\n", false},
	{"folded field", http.MethodGet, "HTTP/1.1 200 OK\r\nX: 1,\r\n 2\r\n%sContent-Length: 4\r\n\r\nbody", false},
}

// With returns the text of the answer with further header fields, which end their lines with CR LF.
func (a Answer) With(fields string) string {
	if !strings.Contains(a.Text, "\r\n") {
		fields = strings.ReplaceAll(fields, "\r\n", "\n")
	}
	return strings.Replace(a.Text, "%s", fields, 1)
}

// HeadBytes returns the length of the head of text, a result of With, with its interim responses.
func HeadBytes(text string) int {
	begin := 0
	for strings.HasPrefix(text[begin:], "HTTP/1.1 1") {
		begin += strings.Index(text[begin:], "\r\n\r\n") + len("\r\n\r\n")
	}
	blank := "\r\n\r\n"
	if !strings.Contains(text, blank) {
		blank = "\n\n"
	}
	return begin + strings.Index(text[begin:], blank) + len(blank)
}

// EndAt returns the number of bytes of text, a result of With, from which on a client has to take the answer for whole if the connection is closed, or is
// reset, behind them.
func (a Answer) EndAt(text string, reset bool) int {
	switch {
	case !a.UntilClose:
		return len(text)
	case reset:
		return len(text) + 1 // never
	}
	return HeadBytes(text)
}

// End says what a Server does with a connection after an answer.
type End int

// Values of End.
const (
	Keep End = iota
	Close
	Reset
	ResetLater   // a millisecond after the answer
	EndThenReset // ends the server's side of the connection behind the answer, and resets it a millisecond later
)

// LateResets are the Ends that reset a connection while a long request is still being written, by name.
var LateResets = map[string]End{"reset": ResetLater, "end, then reset": EndThenReset}

// Server answers requests with bytes that need not be HTTP.
type Server struct {
	listener net.Listener
	// answer returns what is written for a request, the nth of its connection, counted from 0.
	answer func(nth int, r *http.Request) (text string, end End)
}

// New starts a server on a free port.
func New(answer func(nth int, r *http.Request) (text string, end End)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{l, answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Address returns the IP:port at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the listener. Connections stay open until their clients close them.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for nth := 0; ; nth++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text, end := s.answer(nth, r)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		switch end {
		case Reset, ResetLater, EndThenReset:
			tcp, ok := c.(*net.TCPConn)
			if ok && end == EndThenReset {
				_ = tcp.CloseWrite() // fails only if the connection has ended
			}
			if end != Reset {
				time.Sleep(time.Millisecond)
			}
			if ok {
				_ = tcp.SetLinger(0) // fails only if the connection has ended
			}
			return
		case Close:
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}
