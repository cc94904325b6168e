// Package jsonfile reads settings files.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
)

// Load decodes a file and refuses fields that into does not have, which are mostly misspelt ones.
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
	return nil
}
