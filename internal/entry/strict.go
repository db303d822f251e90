package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// decodeStrict reads one JSON object. It refuses unknown and repeated fields,
// fields in another case, and anything after the object.
func decodeStrict(body []byte, v any) error {
	if err := checkFields(body); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// checkFields returns an error for field names that are repeated or contain
// anything but lower-case letters. encoding/json would accept such names: it
// ignores case and uses the last of several fields with the same name.
func checkFields(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		return errors.New("not a JSON object")
	}
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		switch {
		case !ok:
			return errors.New("field name is not a string")
		case seen[name]:
			return fmt.Errorf("field %.100q is given twice", name)
		case bytes.ContainsFunc([]byte(name), func(r rune) bool { return r < 'a' || r > 'z' }):
			return fmt.Errorf("unknown field %.100q", name)
		}
		seen[name] = true
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return err
		}
	}
	return nil
}
