package httpapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxNestingDepth bounds the nesting of JSON values, which checkValue reads recursively.
const maxNestingDepth = 32

// syntaxError reports a body that decodeStrict rejects although a lenient JSON decoder may accept it.
type syntaxError struct{ detail string }

func (e *syntaxError) Error() string { return e.detail }

// decodeStrict decodes exactly one JSON value. It returns an error for unknown and repeated keys, invalid
// UTF-8, trailing data and deep nesting, which lenient decoders handle in different ways.
func decodeStrict(body []byte, out any) error {
	if !utf8.Valid(body) {
		return &syntaxError{"the body is not UTF-8"}
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := checkValue(dec, 0); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return &syntaxError{"data follows the JSON value"}
	}
	dec = json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}

// checkValue reads one value and returns an error for repeated object keys and nesting deeper than maxNestingDepth.
func checkValue(dec *json.Decoder, depth int) error {
	if depth > maxNestingDepth {
		return &syntaxError{fmt.Sprintf("nested deeper than %d levels", maxNestingDepth)}
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
		if err := checkValue(dec, depth+1); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
