package estimator

import (
	"math"
	"time"
)

const (
	// enoughTasks is the number of observed tasks from which a profile's own
	// history is used.
	enoughTasks = 5

	// minError keeps a predictor without error so far from taking all trust.
	minError = 0.02

	// errorMemory is the share of the latest task in a predictor's error.
	errorMemory = 0.02

	// lowestRatio is the logarithm of the least ratio of actual to expected
	// run time that is told apart.
	lowestRatio = -bucketWidth * bucketCount / 2
)

// history is what is known of one profile's tasks.
type history struct {
	runTimes      logHistogram // logarithms of run times in milliseconds
	declaredBias  logHistogram // logarithms of actual over declared
	residuals     logHistogram // logarithms of actual over expected
	declaredError float64      // mean error of the corrected declaration, as a logarithm
	runTimeError  float64      // mean error of the median run time, as a logarithm
	lastUse       uint64

	median float64 // of runTimes
	bias   float64 // median of declaredBias
	above  float64 // high quantile of residuals
}

func (h *history) observe(declared, actual time.Duration) {
	actual = max(minRunTime, actual)
	expected, _ := h.estimate(declared)
	x := logMillis(actual)
	h.residuals.lowest = lowestRatio
	h.residuals.add(x - logMillis(expected))
	if h.runTimes.total > 0 {
		h.runTimeError = blend(h.runTimeError, math.Abs(x-h.median))
	}
	h.runTimes.add(x)
	if declared > 0 {
		h.observeDeclared(logMillis(declared), x)
	}
	h.median = h.runTimes.quantile(0.5)
	h.bias = h.declaredBias.quantile(0.5)
	h.above = max(0, h.residuals.quantile(highQuantile))
}

func (h *history) observeDeclared(declared, actual float64) {
	h.declaredBias.lowest = lowestRatio
	if h.declaredBias.total > 0 {
		corrected := declared + h.bias
		h.declaredError = blend(h.declaredError, math.Abs(actual-corrected))
	}
	h.declaredBias.add(actual - declared)
}

// estimate returns the expected and the high run time.
func (h *history) estimate(declared time.Duration) (expected, high time.Duration) {
	if h.runTimes.total < enoughTasks {
		expected = declared
		if expected == 0 {
			expected = unknownRunTime
		}
		return expected, bound(time.Duration(firstHigh * float64(expected)))
	}
	x := h.predict(declared)
	return fromLogMillis(x), fromLogMillis(x + h.above)
}

// predict weighs the corrected declaration against the median run time, each by
// the inverse square of its error so far.
func (h *history) predict(declared time.Duration) float64 {
	if declared == 0 || h.declaredBias.total < enoughTasks {
		return h.median
	}
	corrected := logMillis(declared) + h.bias
	trust := precision(h.declaredError)
	return (trust*corrected + precision(h.runTimeError)*h.median) / (trust + precision(h.runTimeError))
}

func precision(meanError float64) float64 {
	e := max(minError, meanError)
	return 1 / (e * e)
}

func blend(mean, x float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + errorMemory*(x-mean)
}

func logMillis(d time.Duration) float64 {
	return math.Log(float64(d) / float64(time.Millisecond))
}

func fromLogMillis(x float64) time.Duration {
	return bound(time.Duration(math.Exp(x) * float64(time.Millisecond)))
}
