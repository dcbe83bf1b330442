package estimator

import "math"

const (
	// bucketWidth is the natural logarithm of the ratio of two neighbouring
	// buckets' bounds, about 19%.
	bucketWidth = 0.175

	// bucketCount buckets span a ratio of e^(bucketWidth*bucketCount), above
	// that of an hour to a millisecond.
	bucketCount = 88

	// memoryTasks is the number of observations over which the weight of an
	// earlier one falls to 1/e.
	memoryTasks = 500.0
)

// logHistogram counts logarithms in buckets of equal width, of which older
// observations count less.
type logHistogram struct {
	weights [bucketCount]float32
	total   float32
	lowest  float64 // lower bound of the first bucket
}

func (h *logHistogram) add(x float64) {
	if h.total >= memoryTasks {
		h.halve()
	}
	h.weights[h.bucket(x)]++
	h.total++
}

// halve halves all weights.
func (h *logHistogram) halve() {
	for i := range h.weights {
		h.weights[i] /= 2
	}
	h.total /= 2
}

func (h *logHistogram) bucket(x float64) int {
	return min(bucketCount-1, max(0, int((x-h.lowest)/bucketWidth)))
}

// quantile returns the logarithm below which the fraction q of the weight lies.
func (h *logHistogram) quantile(q float64) float64 {
	target := q * float64(h.total)
	var sum float64
	for i, w := range h.weights {
		if w == 0 {
			continue
		}
		if sum+float64(w) >= target {
			within := (target - sum) / float64(w)
			return h.lowest + (float64(i)+within)*bucketWidth
		}
		sum += float64(w)
	}
	return math.Inf(-1)
}
