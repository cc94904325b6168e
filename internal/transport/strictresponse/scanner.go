// Package strictresponse refuses bytes that net/http takes for a response although HTTP/1.1 (RFC 9110, RFC 9112) does not allow them.
package strictresponse

import (
	"bytes"
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Errors of Scan.
var (
	errStatusLine = errors.New("the status line of the response is malformed")
	errField      = errors.New("a field in the header of the response has no valid name")
	errAmbiguous  = errors.New("the response has a Transfer-Encoding beside a Content-Length, or in HTTP/1.0")
)

// Scanner checks the head of a response as its bytes arrive. The head consists of interim (1xx) responses and the final status line and header; what
// follows it is ignored. Lines may end with LF alone (RFC 9112, section 2.2).
type Scanner struct {
	lines     int
	column    int  // length of the current line so far
	inHead    bool // the current line is a field or ends the header; otherwise it is a status line
	anyField  bool // the current header has a field
	nameEnded bool // the current line is past the name of its field
	cr        bool // the last byte of the current line so far is a CR
	ended     bool
	err       error // why the head is malformed
	status    int   // digits of the current status
	minor     int   // digit of the current minor version

	name         [len(transferEncoding)]byte // the beginning of the current field's name, in lower case
	codings      bool                        // the current header has a Transfer-Encoding
	statesLength bool                        // the current header has a Content-Length
}

// Names of the fields that say where a body ends, in lower case.
const (
	transferEncoding = "transfer-encoding"
	contentLength    = "content-length"
)

// Scan scans the next bytes. Once the head is malformed, it returns the same error for the rest of the response.
func (s *Scanner) Scan(b []byte) error {
	for len(b) > 0 && !s.ended && s.err == nil {
		line, rest, found := bytes.Cut(b, []byte{'\n'})
		b = rest
		for i, c := range line {
			if !s.inHead {
				s.scanStatusLine(c, s.column+i)
			} else if !s.nameEnded {
				s.scanName(c, s.column+i)
			} else {
				break
			}
		}
		if len(line) > 0 {
			s.column += len(line)
			s.cr = line[len(line)-1] == '\r'
		}
		if found && s.err == nil {
			s.endLine()
		}
	}
	return s.err
}

// require records that the head is malformed unless ok.
func (s *Scanner) require(ok bool, err error) {
	if !ok && s.err == nil {
		s.err = err
	}
}

// statusLineStart is the form of a status line up to its reason: d stands for a digit, and c for the class of the status, from 1 to 5. Higher minor versions
// of HTTP/1 are read like HTTP/1.1 (RFC 9110, section 2.5); statuses outside 100 to 599 are invalid (section 15).
const statusLineStart = "HTTP/1.d cdd "

// Columns of the minor version and the status in statusLineStart.
const (
	minorColumn = len("HTTP/1.")
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
	switch {
	case column == minorColumn:
		s.minor = int(c - '0')
	case column >= statusBegin && column < statusEnd:
		s.status = 10*s.status + int(c-'0')
	}
	s.require(ok, errStatusLine)
}

// scanName checks the byte c of a line of the header, up to the colon after the name. net/http checks the values of fields.
func (s *Scanner) scanName(c byte, column int) {
	ok := !s.cr // a CR can only precede the LF of the line that ends the header
	s.cr = c == '\r'
	switch {
	case s.cr:
		ok = ok && column == 0
	case c == ':':
		ok = ok && column > 0
		s.endName(column)
	case column == 0 && (c == ' ' || c == '\t'): // the value of the last field continues (RFC 9112, section 5.2)
		ok = ok && s.anyField
		s.nameEnded = true
	default:
		ok = ok && httpguts.IsTokenRune(rune(c))
		if column < len(s.name) {
			s.name[column] = c | 0x20 // the lower case of letters; what it makes of others is in neither of the names
		}
	}
	s.require(ok, errField)
}

// endName records the end of the name of a field.
func (s *Scanner) endName(length int) {
	s.nameEnded, s.anyField = true, true
	if length > len(s.name) {
		return
	}
	switch string(s.name[:length]) {
	case transferEncoding:
		s.codings = true
	case contentLength:
		s.statesLength = true
	}
}

// isAmbiguous reports whether recipients may disagree about the end of the current response's body. HTTP/1.0 knows no Transfer-Encoding, and a Content-Length
// beside it says something else (RFC 9112, sections 6.1 and 6.3). net/http reads the first until the connection ends, and ignores the length.
func (s *Scanner) isAmbiguous() bool { return s.codings && (s.minor == 0 || s.statesLength) }

// endLine records the end of a line.
func (s *Scanner) endLine() {
	s.lines++
	length := s.column
	if s.cr {
		length--
	}
	nameEnded := s.nameEnded
	s.column, s.nameEnded, s.cr = 0, false, false
	switch {
	case !s.inHead:
		s.inHead, s.anyField, s.codings, s.statesLength = true, false, false, false
		s.require(length >= statusEnd, errStatusLine)
	case length > 0:
		s.require(nameEnded, errField)
	case s.isAmbiguous():
		s.err = errAmbiguous
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

// EndsWithConnection reports whether the head is complete and states neither a length nor chunks. A body that follows it then ends with the connection.
func (s *Scanner) EndsWithConnection() bool {
	return s.ended && !s.codings && !s.statesLength && s.status != http.StatusNoContent && s.status != http.StatusNotModified
}

// Begun reports whether a part of a status line or header has arrived, but not its end.
func (s *Scanner) Begun() bool { return s.inHead && !s.ended || s.column > 0 }
