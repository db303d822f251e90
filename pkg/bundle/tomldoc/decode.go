package tomldoc

import (
	"errors"
	"fmt"
	"reflect"
	"sort"

	"github.com/BurntSushi/toml"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// Decode decodes a document into dst, a pointer to a struct with toml tags, and
// returns the findings. Only a syntax error has a line, and no key; Locate adds
// the lines of the others.
func Decode(file string, text []byte, dst any) finding.List {
	var found finding.List
	raw := map[string]any{}
	if _, err := toml.Decode(string(text), &raw); err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			found.Add(file, parse.Position.Line, "", "%s", parse.Message)
			return found
		}
		found.Add(file, 0, "", "%v", err)
		return found
	}
	d := &decoder{file: file, found: &found}
	d.table("", raw, reflect.ValueOf(dst).Elem())
	return found
}

// decoder assigns decoded values to fields and collects findings.
type decoder struct {
	file  string
	found *finding.List
}

func (d *decoder) add(key, format string, args ...any) {
	d.found.Add(d.file, 0, key, format, args...)
}

// table assigns a table to a struct and reports unknown keys in sorted order.
func (d *decoder) table(path string, raw map[string]any, dst reflect.Value) {
	fields := fieldsOf(dst.Type())
	seen := 0
	for name, index := range fields {
		if value, ok := raw[name]; ok {
			seen++
			d.value(join(path, name), value, dst.Field(index))
		}
	}
	if seen == len(raw) {
		return
	}
	for _, name := range sortedKeys(raw) {
		if _, ok := fields[name]; !ok {
			d.add(join(path, name), "unknown key")
		}
	}
}

// value assigns any value to a field and reports a wrong type.
func (d *decoder) value(path string, raw any, dst reflect.Value) {
	switch dst.Kind() {
	case reflect.Struct:
		if table, ok := raw.(map[string]any); ok {
			d.table(path, table, dst)
			return
		}
	case reflect.Slice:
		if d.slice(path, raw, dst) {
			return
		}
	case reflect.Array:
		if list, ok := raw.([]any); ok {
			d.array(path, list, dst)
			return
		}
	case reflect.Map:
		if table, ok := raw.(map[string]any); ok {
			d.stringMap(path, table, dst)
			return
		}
	default:
		if d.scalar(path, raw, dst) {
			return
		}
	}
	d.add(path, "must be %s, not %s", describeType(dst.Type()), describeValue(raw))
}

// slice assigns an array of values or of tables. It returns false if the type
// does not fit.
func (d *decoder) slice(path string, raw any, dst reflect.Value) bool {
	switch list := raw.(type) {
	case []map[string]any:
		if dst.Type().Elem().Kind() != reflect.Struct {
			return false
		}
		out := reflect.MakeSlice(dst.Type(), len(list), len(list))
		for i, table := range list {
			d.table(index(path, i), table, out.Index(i))
		}
		dst.Set(out)
	case []any:
		out := reflect.MakeSlice(dst.Type(), len(list), len(list))
		for i, element := range list {
			if text, ok := element.(string); ok && dst.Type().Elem().Kind() == reflect.String {
				out.Index(i).SetString(text)
				continue
			}
			d.value(index(path, i), element, out.Index(i))
		}
		dst.Set(out)
	default:
		return false
	}
	return true
}

func (d *decoder) array(path string, list []any, dst reflect.Value) {
	if len(list) != dst.Len() {
		d.add(path, "must have %d elements, not %d", dst.Len(), len(list))
		return
	}
	for i, element := range list {
		d.value(index(path, i), element, dst.Index(i))
	}
}

func (d *decoder) stringMap(path string, table map[string]any, dst reflect.Value) {
	out := reflect.MakeMap(dst.Type())
	for _, name := range sortedKeys(table) {
		element := reflect.New(dst.Type().Elem()).Elem()
		d.value(join(path, name), table[name], element)
		out.SetMapIndex(reflect.ValueOf(name), element)
	}
	dst.Set(out)
}

// scalar assigns a string, boolean or number. It returns false if the type does
// not fit.
func (d *decoder) scalar(path string, raw any, dst reflect.Value) bool {
	switch dst.Kind() {
	case reflect.String:
		text, ok := raw.(string)
		dst.SetString(text)
		return ok
	case reflect.Bool:
		flag, ok := raw.(bool)
		dst.SetBool(flag)
		return ok
	case reflect.Float64:
		switch number := raw.(type) {
		case float64:
			dst.SetFloat(number)
			return true
		case int64:
			dst.SetFloat(float64(number))
			return true
		}
	case reflect.Int:
		number, ok := raw.(int64)
		dst.SetInt(number)
		return ok
	case reflect.Uint64:
		number, ok := raw.(int64)
		if ok && number < 0 {
			d.add(path, "must not be negative")
			return true
		}
		dst.SetUint(uint64(number))
		return ok
	}
	return false
}

// fieldsOf returns the indexes of a struct's fields by their toml names.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedKeys(table map[string]any) []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
