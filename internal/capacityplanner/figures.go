// Package capacityplanner derives from measured figures what each role of a
// deployment needs at a given size.
//
// Its input is the output of Go benchmarks, so that anyone can repeat the
// measurement; its output is the tables of docs/CAPACITY.md.
package capacityplanner

import (
	"bufio"
	"bytes"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Figures holds the metrics of benchmarks, by benchmark name and unit.
type Figures map[string]map[string]float64

// MissingFigureError reports a figure that is missing in the benchmarks' output.
type MissingFigureError struct {
	Benchmark string
	Unit      string
}

// Error names the figure.
func (e *MissingFigureError) Error() string {
	return "the output of the benchmarks lacks " + e.Benchmark + " in " + e.Unit
}

// gomaxprocsSuffix matches the suffix that Go adds to the name of a benchmark.
var gomaxprocsSuffix = regexp.MustCompile(`-\d+$`)

// ParseFigures reads the output of Go benchmarks. For a benchmark that ran several
// times it keeps the median.
func ParseFigures(data []byte) (figures Figures, err error) {
	defer func() { err = errors.Wrap(err, "reading the benchmarks' output") }()
	samples := make(map[string]map[string][]float64)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := gomaxprocsSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")
		if samples[name] == nil {
			samples[name] = make(map[string][]float64)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "%s", name)
			}
			samples[name][fields[i+1]] = append(samples[name][fields[i+1]], value)
		}
	}
	return medians(samples), scanner.Err()
}

func medians(samples map[string]map[string][]float64) Figures {
	figures := make(Figures, len(samples))
	for name, units := range samples {
		figures[name] = make(map[string]float64, len(units))
		for unit, values := range units {
			slices.Sort(values)
			figures[name][unit] = values[len(values)/2]
		}
	}
	return figures
}

// Value returns one figure.
func (f Figures) Value(benchmark, unit string) (float64, error) {
	value, ok := f[benchmark][unit]
	if !ok {
		return 0, &MissingFigureError{Benchmark: benchmark, Unit: unit}
	}
	return value, nil
}

// Slope returns by how much a total grows with each item, and the number of sizes
// measured. It fits a line by least squares through the sub-benchmarks named
// prefix=N, whose figure is the total divided by N.
func (f Figures) Slope(benchmark, prefix, unit string) (slope float64, sizes int, err error) {
	return f.slope(slopeSpec{benchmark: benchmark, prefix: prefix, unit: unit})
}

func (f Figures) slope(s slopeSpec) (slope float64, sizes int, err error) {
	var xs, ys []float64
	for _, name := range slices.Sorted(maps.Keys(f)) {
		units := f[name]
		text, ok := strings.CutPrefix(name, s.benchmark+"/"+s.prefix+"=")
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, 0, errors.Wrapf(err, "%s", name)
		}
		figure, ok := units[s.unit]
		if !ok {
			continue
		}
		if !s.total {
			figure *= n
		}
		xs = append(xs, n)
		ys = append(ys, figure)
	}
	if len(xs) < minSlopeSizes {
		return 0, len(xs), &MissingFigureError{Benchmark: s.benchmark + "/" + s.prefix + "=… at four sizes", Unit: s.unit}
	}
	return leastSquares(xs, ys), len(xs), nil
}

// minSlopeSizes is the minimum number of sizes from which a slope is computed.
const minSlopeSizes = 4

// leastSquares returns the slope of the line fitted through points. Each point is
// weighted by 1/x, so that the largest size doesn't dominate.
func leastSquares(xs, ys []float64) float64 {
	var w, wx, wy, wxx, wxy float64
	for i, x := range xs {
		weight := 1 / x
		w += weight
		wx += weight * x
		wy += weight * ys[i]
		wxx += weight * x * x
		wxy += weight * x * ys[i]
	}
	return (w*wxy - wx*wy) / (w*wxx - wx*wx)
}
