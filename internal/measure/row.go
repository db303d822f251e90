package measure

import (
	"fmt"
	"io"
	"strings"
)

// Row holds one measured figure and its target, if one is stated.
type Row struct {
	Deployment string `json:"deployment"`
	Case       string `json:"case"`
	Policy     string `json:"policy"`
	Figure     string `json:"figure"`
	Value      string `json:"value"`
	Target     string `json:"target,omitempty"`
	Verdict    string `json:"verdict,omitempty"` // met, not met, or empty for a comparison
}

// verdict returns the text for a stated target that was met or not.
func verdict(met bool) string {
	if met {
		return "met"
	}
	return "not met"
}

// WriteTable renders rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) {
	_, _ = fmt.Fprintln(w, "| deployment | case | policy | figure | value | target | verdict |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		cells := []string{r.Deployment, r.Case, r.Policy, r.Figure, r.Value, r.Target, r.Verdict}
		_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
}
