// Package jsonfile reads settings files.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/gravitational/trace"
)

// Load decodes the JSON file at path into the given value. Unknown fields are an error because they are usually misspelt.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return trace.BadParameter("settings %s: %v; see docs/CONFIG.md", path, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("settings %s: something follows the JSON document; see docs/CONFIG.md", path)
	}
	return nil
}
