package estimator

import "math"

const (
	// bucketWidth is the width of a bucket of natural logarithms: the bounds of
	// neighboring buckets differ by about 19%.
	bucketWidth = 0.175

	// bucketCount is the number of buckets. They span a ratio of
	// e^(bucketWidth*bucketCount), more than that of an hour to a millisecond.
	bucketCount = 88

	// maxTotalWeight is the total weight at which all weights are halved. The
	// weight of an observation is halved with every 250 later ones.
	maxTotalWeight = 500.0
)

// logHistogram is a histogram of logarithms in buckets of equal width. Older
// observations have less weight.
type logHistogram struct {
	weights [bucketCount]float32
	total   float32
	lowest  float64 // lower bound of the first bucket
}

func (h *logHistogram) add(x float64) {
	if h.total >= maxTotalWeight {
		h.halve()
	}
	h.weights[h.bucket(x)]++
	h.total++
}

func (h *logHistogram) halve() {
	for i := range h.weights {
		h.weights[i] /= 2
	}
	h.total /= 2
}

func (h *logHistogram) bucket(x float64) int {
	return min(bucketCount-1, max(0, int((x-h.lowest)/bucketWidth)))
}

// quantile returns the logarithm below which the fraction q of the weight lies,
// interpolated within its bucket, or -Inf if the histogram is empty.
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
