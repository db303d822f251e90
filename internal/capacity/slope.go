package capacity

import (
	"fmt"
	"io"
	"strings"
)

// point is one measured size.
type point struct{ x, y float64 }

// slope is a straight line through measured points and its value at the planned size.
type slope struct {
	role    string
	what    string
	unit    string
	per     string // what x counts
	points  []point
	planned float64 // x at the planned size
	budget  float64 // limit of y at the planned size, 0 if none is stated
}

// fit returns the least-squares line.
func (s *slope) fit() (base, gain float64) {
	n := float64(len(s.points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.points {
		sx, sy, sxx, sxy = sx+p.x, sy+p.y, sxx+p.x*p.x, sxy+p.x*p.y
	}
	gain = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - gain*sx) / n, gain
}

func (s *slope) atPlan() float64 {
	base, gain := s.fit()
	return base + gain*s.planned
}

func (s *slope) verdict() string {
	switch {
	case s.budget == 0:
		return ""
	case s.atPlan() <= s.budget:
		return "within"
	}
	return "over"
}

// writeTable renders slopes as a Markdown table.
func writeTable(w io.Writer, slopes []slope) {
	_, _ = fmt.Fprintln(w, "| role | figure | measured | per unit | planned size | at planned size | budget | |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		var measured []string
		for _, p := range s.points {
			measured = append(measured, fmt.Sprintf("%s: %s", number(p.x), number(p.y)))
		}
		_, gain := s.fit()
		budget := ""
		if s.budget > 0 {
			budget = number(s.budget) + " " + s.unit
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s %s per %s | %s | %s %s | %s | %s |\n", s.role, s.what, strings.Join(measured, "; "),
			number(gain), s.unit, s.per, number(s.planned), number(s.atPlan()), s.unit, budget, s.verdict())
	}
}

// number prints three or four significant digits without an exponent.
func number(v float64) string {
	switch {
	case v == float64(int64(v)) && v < 1e7 && v > -1e7:
		return fmt.Sprintf("%d", int64(v))
	case v >= 1e6 || v <= -1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
