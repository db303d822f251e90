package tomldoc

import "reflect"

// describeType returns the TOML name of a Go type, with its article.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Int, reflect.Uint64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		if t.Elem().Kind() == reflect.Struct {
			return "an array of tables"
		}
		return "an array"
	case reflect.Struct, reflect.Map:
		return "a table"
	}
	return t.String()
}

// describeValue returns the name of a decoded value's TOML type, with its article.
func describeValue(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a number with a fraction"
	case []any:
		return "an array"
	case []map[string]any:
		return "an array of tables"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
