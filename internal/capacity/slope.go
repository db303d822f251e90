package capacity

import (
	"fmt"
	"io"
	"strings"
)

// point is a value y measured at size x.
type point struct{ x, y float64 }

// slope holds measurements at several sizes, from which the value at the planned
// size is extrapolated linearly.
type slope struct {
	role    string
	figure  string
	unit    string // of y
	per     string // what x counts
	points  []point
	planned float64 // x at the planned size
	budget  float64 // limit of y at the planned size, 0 if none is stated
}

// fit returns the intercept and the gradient of the least-squares line through the
// points.
func (s *slope) fit() (base, gain float64) {
	n := float64(len(s.points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.points {
		sx, sy, sxx, sxy = sx+p.x, sy+p.y, sxx+p.x*p.x, sxy+p.x*p.y
	}
	gain = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - gain*sx) / n, gain
}

// atPlan returns the extrapolated value at the planned size.
func (s *slope) atPlan() float64 {
	base, gain := s.fit()
	return base + gain*s.planned
}

// verdict compares the value at the planned size with the budget; it is empty if
// there is no budget.
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
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s %s per %s | %s | %s %s | %s | %s |\n", s.role, s.figure, strings.Join(measured, "; "),
			number(gain), s.unit, s.per, number(s.planned), number(s.atPlan()), s.unit, budget, s.verdict())
	}
}

// number formats integers below 10 million exactly, other values from a million with
// the suffix M, values from 100 without decimals and smaller ones with three
// significant digits.
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
