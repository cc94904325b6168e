// Package strictresponse refuses bytes that net/http takes for a response although HTTP/1.1 (RFC 9110, RFC 9112) does not allow them.
package strictresponse

import (
	"bytes"
	"errors"
)

// ErrMalformed is the error of a response whose head HTTP/1.1 does not allow.
var ErrMalformed = errors.New("the status line of the response is malformed")

// Scanner checks the head of a response as its bytes arrive. The head consists of interim (1xx) responses and the final status line and header; what
// follows it is ignored. Lines may end with LF alone (RFC 9112, section 2.2).
type Scanner struct {
	lines     int
	column    int // length of the current line so far
	inHead    bool
	cr        bool // the last byte of the current line so far is a CR
	ended     bool
	malformed bool
	status    int // digits of the current status
}

// Scan scans the next bytes. It returns ErrMalformed for the rest of the response once its head is malformed.
func (s *Scanner) Scan(b []byte) error {
	for len(b) > 0 && !s.ended && !s.malformed {
		line, rest, found := bytes.Cut(b, []byte{'\n'})
		b = rest
		for i := 0; i < len(line) && !s.inHead; i++ {
			s.scanStatusLine(line[i], s.column+i)
		}
		if len(line) > 0 {
			s.column += len(line)
			s.cr = line[len(line)-1] == '\r'
		}
		if found && !s.malformed {
			s.endLine()
		}
	}
	if s.malformed {
		return ErrMalformed
	}
	return nil
}

// statusLineStart is the form of a status line up to its reason: d stands for a digit, and c for the class of the status, from 1 to 5. Higher minor versions
// of HTTP/1 are read like HTTP/1.1 (RFC 9110, section 2.5); statuses outside 100 to 599 are invalid (section 15).
const statusLineStart = "HTTP/1.d cdd "

// statusBegin and statusEnd are the columns of the status in statusLineStart.
const (
	statusBegin = len("HTTP/1.d ")
	statusEnd   = statusBegin + len("cdd")
)

// scanStatusLine checks the byte c of a status line.
func (s *Scanner) scanStatusLine(c byte, column int) {
	ok := !s.cr // a CR can only precede the LF
	s.cr = c == '\r'
	switch {
	case s.cr:
	case column >= len(statusLineStart):
		ok = ok && (c == '\t' || c >= ' ' && c != 0x7f)
	case statusLineStart[column] == 'd':
		ok = ok && c >= '0' && c <= '9'
	case statusLineStart[column] == 'c':
		ok = ok && c >= '1' && c <= '5'
	default:
		ok = ok && c == statusLineStart[column]
	}
	if column >= statusBegin && column < statusEnd {
		s.status = 10*s.status + int(c-'0')
	}
	s.malformed = s.malformed || !ok
}

// endLine records the end of a line.
func (s *Scanner) endLine() {
	s.lines++
	length := s.column
	if s.cr {
		length--
	}
	s.column, s.cr = 0, false
	switch {
	case !s.inHead:
		s.inHead = true
		s.malformed = s.malformed || length < statusEnd
	case length > 0:
	case s.status < 200 && s.status != 101: // no response follows Switching Protocols
		s.inHead, s.status = false, 0
	default:
		s.ended = true
	}
}

// Lines returns the number of lines of the head so far.
func (s *Scanner) Lines() int { return s.lines }

// Ended reports whether the head is complete.
func (s *Scanner) Ended() bool { return s.ended }

// Begun reports whether a part of a status line or header has arrived, but not its end.
func (s *Scanner) Begun() bool { return s.inHead && !s.ended || s.column > 0 }
