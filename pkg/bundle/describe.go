package bundle

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Describe returns the change as readable text with the value as JSON, or as
// hexadecimal digits if it cannot be decoded.
func (c *Change) Describe() string {
	if c.Removed {
		return "remove " + c.Key
	}
	name, key, _ := strings.Cut(c.Key, "/")
	for _, k := range recordKinds {
		if k.name() != name {
			continue
		}
		if value, err := k.describe(key, c.Value); err == nil {
			return "set " + c.Key + " " + value
		}
	}
	return fmt.Sprintf("set %s %x", c.Key, c.Value)
}

func (k *listKind[T]) describe(key string, value []byte) (string, error) {
	item, err := k.decode(&Bundle{}, key, value)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(item)
	return string(text), err
}

func (metaKind) describe(_ string, value []byte) (string, error) { return string(value), nil }
