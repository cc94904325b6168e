// Package errtext bounds the texts of errors that quote what a remote host has sent. net/http quotes a malformed line in full, which may have
// many kilobytes, and such texts get into log lines and refusals.
package errtext

import "strings"

// maxBytes is the maximum size of a text in bytes.
const maxBytes = 200

// Bound returns err, or an error that wraps err and whose text has only the first 200 bytes of the text of err.
func Bound(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxBytes {
		return err
	}
	return &boundedError{strings.ToValidUTF8(strings.Clone(text[:maxBytes]), "") + "...", err}
}

type boundedError struct {
	text string
	err  error
}

func (e *boundedError) Error() string { return e.text }

// Unwrap returns the error whose text is shortened.
func (e *boundedError) Unwrap() error { return e.err }
