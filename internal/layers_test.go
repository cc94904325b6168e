// Package internal_test checks rules that apply to all packages.
package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// layerOf maps the top-level directories to their layers. A package may import only packages of its own layer or lower ones.
var layerOf = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3, "host": 4, "gateway": 4, "eventlog": 0}

// TestImportsPointOneWay guards against imports of a higher layer by a lower one, and against imports of test packages, which have
// no layer, by non-test code.
func TestImportsPointOneWay(t *testing.T) {
	const module = "github.com/arbutusspan/arbutusspan/internal/"
	checked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		fromLayer, known := layerOf[strings.Split(path, "/")[0]]
		if !known {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, internal := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module)
			if !internal {
				continue
			}
			checked++
			toLayer, known := layerOf[strings.Split(name, "/")[0]]
			if !known || toLayer > fromLayer {
				t.Errorf("%s imports %s: move the shared part to a lower layer, or pass it in through an interface", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Fatal("no import was checked: the directory walk found no packages of the layers")
	}
}
