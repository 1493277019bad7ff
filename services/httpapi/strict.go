package httpapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth bounds the nesting of a body.
const maxDepth = 32

// syntaxError reports a body that is not one strict JSON value.
type syntaxError struct{ detail string }

func (e *syntaxError) Error() string { return e.detail }

// decodeStrict decodes exactly one JSON value. It returns an error for unknown and repeated keys, invalid
// UTF-8, trailing data and deep nesting, which lenient decoders resolve in different ways.
func decodeStrict(body []byte, out any) error {
	if !utf8.Valid(body) {
		return &syntaxError{"the body is not UTF-8"}
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := checkKeys(dec, 0); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return &syntaxError{"data follows the JSON value"}
	}
	dec = json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}

// checkKeys reads one value and refuses objects with a repeated key.
func checkKeys(dec *json.Decoder, depth int) error {
	if depth > maxDepth {
		return &syntaxError{fmt.Sprintf("nested deeper than %d levels", maxDepth)}
	}
	t, err := dec.Token()
	if err != nil {
		return err
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	seen := make(map[string]bool)
	for dec.More() {
		if delim == '{' {
			key, err := dec.Token()
			if err != nil {
				return err
			}
			if seen[key.(string)] {
				return &syntaxError{fmt.Sprintf("repeated key %q", key)}
			}
			seen[key.(string)] = true
		}
		if err := checkKeys(dec, depth+1); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
