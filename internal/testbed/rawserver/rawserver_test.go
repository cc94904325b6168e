package rawserver

import (
	"testing"

	"github.com/matryer/is"
)

// TestHeadBytes guards against cuts that are counted to the wrong part of an answer: the head includes interim responses, with either line end.
func TestHeadBytes(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"HTTP/1.1 200 OK\r\nX: 1\r\n\r\n", "HTTP/1.1 200 OK\nX: 1\n\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		is.Equal(HeadBytes(text+"body"), len(text))
	}
	closed := Answer{Text: "HTTP/1.1 200 OK\n%s\nbody", UntilClose: true}
	text := closed.With("X: 1\r\n")
	is.Equal(text, "HTTP/1.1 200 OK\nX: 1\n\nbody")
	is.Equal(closed.EndAt(text, false), len(text)-len("body"))
	is.Equal(closed.EndAt(text, true), len(text)+1)
}
