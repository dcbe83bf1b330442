package capacityplanner

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Row is one line of a table.
type Row struct {
	Role       string
	Quantity   string
	Value      float64
	Unit       string
	Budget     float64 // 0 means none
	Derivation string  // how the value is derived from the figures
	Mechanism  string
}

// OverBudget reports whether the value is above its budget.
func (r Row) OverBudget() bool { return r.Budget > 0 && r.Value > r.Budget }

// markdownTable returns the rows as a Markdown table.
func markdownTable(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | value | budget | follows from | mechanism |\n| --- | --- | ---: | ---: | --- | --- |\n")
	for _, r := range rows {
		budget := "–"
		if r.Budget > 0 {
			budget = formatNumber(r.Budget) + " " + r.Unit
		}
		if r.OverBudget() {
			budget += " **exceeded**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Quantity, formatNumber(r.Value), r.Unit, budget, r.Derivation, r.Mechanism)
	}
	return b.String()
}

// formatNumber returns a value with three significant digits and thousands
// separators.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	scale := math.Pow(10, float64(digits))
	rounded := math.Round(v*scale) / scale
	text := strconv.FormatFloat(rounded, 'f', max(0, digits), 64)
	whole, fraction, found := strings.Cut(text, ".")
	var b strings.Builder
	for i, c := range whole {
		if i > 0 && (len(whole)-i)%3 == 0 && c != '-' {
			b.WriteByte(',')
		}
		b.WriteRune(c)
	}
	if found {
		b.WriteString("." + fraction)
	}
	return b.String()
}
