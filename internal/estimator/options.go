package estimator

// Options configure an Estimator.
type Options struct {
	MaxProfiles int // 0 takes DefaultMaxProfiles
}
