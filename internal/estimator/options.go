package estimator

// Options configure an Estimator.
type Options struct {
	MaxProfiles int // bound on the profiles kept at once; 0 means DefaultMaxProfiles
}
