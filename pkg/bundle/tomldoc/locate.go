package tomldoc

import (
	"strings"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// Locate sets the lines of findings by their keys. A key that the document lacks
// gets the line of the innermost existing table or array that would contain it.
// Lines that are already set stay.
func Locate(text []byte, found finding.List) {
	wanted := map[string]int{}
	for _, f := range found {
		if f.Line == 0 {
			for key := f.Key; key != ""; key = parent(key) {
				wanted[key] = 0
			}
		}
	}
	if len(wanted) == 0 {
		return
	}
	s := &scanner{text: text, line: 1, wanted: wanted, counts: map[string]int{}}
	s.run()
	for i := range found {
		for key := found[i].Key; key != "" && found[i].Line == 0; key = parent(key) {
			found[i].Line = wanted[key]
		}
	}
}

// parent returns the key of the table or array that contains key, or an empty
// text for a key at the top level.
func parent(key string) string {
	if cut := strings.LastIndexAny(key, ".["); cut >= 0 {
		return key[:cut]
	}
	return ""
}
