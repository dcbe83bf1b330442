package estimator

import (
	"math"
	"time"
)

const (
	// minTasks is how many tasks must be observed before a profile's own history
	// is used.
	minTasks = 5

	// minError bounds a predictor's mean error from below, so that a predictor
	// without any error so far doesn't get all the weight.
	minError = 0.02

	// latestErrorWeight is the weight of the latest task in a predictor's mean
	// error.
	latestErrorWeight = 0.02

	// minLogRatio is the lower bound of the histograms of ratios of run times, as a
	// logarithm. Lower ratios count in the first bucket.
	minLogRatio = -bucketWidth * bucketCount / 2
)

// history holds what the observed tasks of one profile show. Run times and their
// ratios are kept as natural logarithms.
type history struct {
	runTimes      logHistogram // logarithms of run times in milliseconds
	declaredBias  logHistogram // logarithms of actual over declared run time
	residuals     logHistogram // logarithms of actual over expected run time
	declaredError float64      // mean error of the corrected declared run time, as a logarithm
	runTimeError  float64      // mean error of the median run time, as a logarithm
	lastObserved  uint64       // Estimator.observed at the latest task

	median       float64 // of runTimes
	bias         float64 // median of declaredBias
	highResidual float64 // highQuantile of residuals, at least 0
}

func (h *history) observe(declared, actual time.Duration) {
	actual = max(minRunTime, actual)
	expected, _ := h.estimate(declared)
	x := logMillis(actual)
	h.residuals.lowest = minLogRatio
	h.residuals.add(x - logMillis(expected))
	if h.runTimes.total > 0 {
		h.runTimeError = movingMean(h.runTimeError, math.Abs(x-h.median))
	}
	h.runTimes.add(x)
	if declared > 0 {
		h.observeDeclared(logMillis(declared), x)
	}
	h.median = h.runTimes.quantile(0.5)
	h.bias = h.declaredBias.quantile(0.5)
	h.highResidual = max(0, h.residuals.quantile(highQuantile))
}

func (h *history) observeDeclared(declared, actual float64) {
	h.declaredBias.lowest = minLogRatio
	if h.declaredBias.total > 0 {
		corrected := declared + h.bias
		h.declaredError = movingMean(h.declaredError, math.Abs(actual-corrected))
	}
	h.declaredBias.add(actual - declared)
}

// estimate returns the expected run time and the high estimate.
func (h *history) estimate(declared time.Duration) (expected, high time.Duration) {
	if h.runTimes.total < minTasks {
		expected = declared
		if expected == 0 {
			expected = defaultRunTime
		}
		return expected, clampRunTime(time.Duration(defaultHighRatio * float64(expected)))
	}
	x := h.predict(declared)
	return fromLogMillis(x), fromLogMillis(x + h.highResidual)
}

// predict returns the expected run time, as the logarithm of milliseconds: the mean
// of the corrected declared run time and the median run time, each weighted by the
// inverse square of its mean error so far.
func (h *history) predict(declared time.Duration) float64 {
	if declared == 0 || h.declaredBias.total < minTasks {
		return h.median
	}
	corrected := logMillis(declared) + h.bias
	declaredWeight := precision(h.declaredError)
	return (declaredWeight*corrected + precision(h.runTimeError)*h.median) / (declaredWeight + precision(h.runTimeError))
}

func precision(meanError float64) float64 {
	e := max(minError, meanError)
	return 1 / (e * e)
}

// movingMean returns the exponentially weighted mean after the value x.
func movingMean(mean, x float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + latestErrorWeight*(x-mean)
}

func logMillis(d time.Duration) float64 {
	return math.Log(float64(d) / float64(time.Millisecond))
}

func fromLogMillis(x float64) time.Duration {
	return clampRunTime(time.Duration(math.Exp(x) * float64(time.Millisecond)))
}
