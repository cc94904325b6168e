package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// difference is one field that differs between two documents.
type difference struct {
	Pointer string `json:"pointer"` // JSON pointer
	Old     string `json:"old"`     // JSON value, or empty if the field is new
	New     string `json:"new"`     // JSON value, or empty if the field was removed
}

// diffDocuments compares two JSON documents field by field. It ignores white space and the order of keys.
func diffDocuments(old, updated []byte) ([]difference, error) {
	a, err := flatten(old)
	if err != nil {
		return nil, err
	}
	b, err := flatten(updated)
	if err != nil {
		return nil, err
	}
	pointers := maps.Clone(a)
	maps.Copy(pointers, b)
	var out []difference
	for _, p := range sortedKeys(pointers) {
		if a[p] != b[p] {
			out = append(out, difference{Pointer: p, Old: a[p], New: b[p]})
		}
	}
	return out, nil
}

// flatten returns the scalar fields of a document by JSON pointer. An empty document has none.
func flatten(doc []byte) (map[string]string, error) {
	fields := map[string]string{}
	if len(bytes.TrimSpace(doc)) == 0 {
		return fields, nil
	}
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, usageError("the document is not valid JSON: %v", err)
	}
	flattenValue("", v, fields)
	return fields, nil
}

func flattenValue(pointer string, v any, into map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for key, child := range v {
			flattenValue(pointer+"/"+pointerEscape.Replace(key), child, into)
		}
	case []any:
		for i, child := range v {
			flattenValue(fmt.Sprintf("%s/%d", pointer, i), child, into)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		into[pointer] = string(text)
	}
}

// pointerEscape escapes a key as RFC 6901 requires.
var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
