package strictresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

// TestScanner guards against malformed heads that pass, and against well-formed ones that do not, also if they arrive byte by byte.
func TestScanner(t *testing.T) {
	check := func(name, text string, malformed bool) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Scanner
			var err error
			for i := range len(text) {
				is.NoErr(err)
				if err = s.Scan([]byte{text[i]}); err != nil {
					break
				}
			}
			is.Equal(err != nil, malformed)
			is.Equal(s.Ended(), !malformed)
			is.Equal(s.Begun(), malformed)
			var whole Scanner
			is.Equal(whole.Scan([]byte(text)) != nil, malformed)
		})
	}
	for _, a := range rawserver.MalformedAnswers {
		check(a.Name, a.With("X: 1\r\n"), true)
	}
	for _, a := range slices.Concat(rawserver.WholeAnswers, rawserver.UnusualAnswers) {
		check(a.Name, a.With("X: 1\r\n"), false)
	}
}

var (
	statusLine  = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])( [\t\x20-\x7e\x80-\xff]*)?\r?$`)
	firstField  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:")
	codings     = regexp.MustCompile("(?i)^transfer-encoding:")
	length      = regexp.MustCompile("(?i)^content-length:")
	furtherLine = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+:|[ \t])")
)

// latin1 returns the bytes as a string with a character for each, since regular expressions match characters.
func latin1(b []byte) string {
	var s strings.Builder
	for _, c := range b {
		s.WriteRune(rune(c))
	}
	return s.String()
}

// isWellFormed reports whether the complete lines of data are those of a well-formed head, or of its beginning.
func isWellFormed(data []byte) bool {
	status, field := "", firstField
	hasCodings, hasLength, http10 := false, false, false
	for line := range bytes.Lines(data) {
		text, complete := strings.CutSuffix(latin1(line), "\n")
		switch {
		case !complete:
			return true
		case status == "":
			match := statusLine.FindStringSubmatch(text)
			if match == nil {
				return false
			}
			http10, status, field = match[1] == "0", match[2], firstField
			hasCodings, hasLength = false, false
		case text != "" && text != "\r":
			if !field.MatchString(text) {
				return false
			}
			field = furtherLine
			hasCodings, hasLength = hasCodings || codings.MatchString(text), hasLength || length.MatchString(text)
		case hasCodings && (http10 || hasLength):
			return false
		case status[0] != '1' || status == "101":
			return true
		default:
			status = ""
		}
	}
	return true
}

// FuzzScanner checks that the result does not depend on how the bytes are divided into reads, that it is that of the regular expressions, that lines which
// follow the head do not count, and that the scanner finds the end of what net/http takes for a response.
func FuzzScanner(f *testing.F) {
	for _, a := range slices.Concat(rawserver.WholeAnswers, rawserver.UnusualAnswers, rawserver.MalformedAnswers) {
		f.Add([]byte(a.With("X: 1\r\n")), 7)
	}
	for _, start := range []string{"HTTP/1.1 200 OK\r\nX: x\r\n", "HTTP/1.1 200 ", "\x00", "hello\r\n", "HTTP/1.1 103 Early Hints\r\n"} {
		f.Add([]byte(strings.Repeat(start, 10)), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		is := is.New(t)
		var whole, parts, lines Scanner
		err := whole.Scan(data)
		size = 1 + max(0, size)%100
		for part := range slices.Chunk(data, size) {
			if partErr := parts.Scan(part); partErr != nil {
				is.Equal(partErr, err)
			}
		}
		is.Equal(whole.Ended(), parts.Ended())
		is.Equal(whole.Lines(), parts.Lines())
		is.True(whole.Lines() <= bytes.Count(data, []byte{'\n'}))
		is.Equal(lines.Scan(data[:bytes.LastIndexByte(data, '\n')+1]) == nil, isWellFormed(data))
		if resp, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil); parseErr == nil && err == nil && resp.StatusCode >= 200 {
			is.True(whole.Ended())
			scanned := whole
			is.NoErr(scanned.Scan([]byte("\n\n\n")))
			is.Equal(scanned, whole)
		}
	})
}
