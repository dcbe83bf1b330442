package capacityplanner

import (
	"strings"
	"testing"
)

func TestSlopeIgnoresFixedCost(t *testing.T) {
	// A fixed cost of 1,000 bytes and 50 bytes for each item.
	figures, err := ParseFigures([]byte(`
BenchmarkTeam/size=100-10   1  5 ns/op  60.0 bytes/item
BenchmarkTeam/size=200-10   1  5 ns/op  55.0 bytes/item
BenchmarkTeam/size=500-10   1  5 ns/op  52.0 bytes/item
BenchmarkTeam/size=1000-10  1  5 ns/op  51.0 bytes/item
`))
	if err != nil {
		t.Fatal(err)
	}
	slope, sizes, err := figures.Slope("Team", "size", "bytes/item")
	if err != nil {
		t.Fatal(err)
	}
	if sizes != 4 || slope < 49.99 || slope > 50.01 {
		t.Errorf("got %v over %d sizes, want 50 over 4", slope, sizes)
	}
	if _, _, err := figures.Slope("Peer", "size", "bytes/item"); err == nil {
		t.Error("Slope returned a value for a benchmark without figures")
	}
}

func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 0.01234: "0.0123", 1.5: "1.50", 12.34: "12.3", 999.6: "1,000", 1234: "1,230", 970_000: "970,000", 31e6: "31,000,000",
	} {
		if got := formatNumber(v); got != want {
			t.Errorf("formatNumber(%v) = %s, want %s", v, got, want)
		}
	}
}

func TestOnlyTheSectionIsReplaced(t *testing.T) {
	page := "a\n<!-- derived: x -->\nold\n<!-- end -->\nb\n"
	got, err := replaceSection(page, section{name: "x", text: "new\n"})
	if err != nil {
		t.Fatal(err)
	}
	if want := strings.Replace(page, "old", "new", 1); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if _, err := replaceSection(page, section{name: "y"}); err == nil {
		t.Error("replaceSection accepted a section that the page lacks")
	}
}
