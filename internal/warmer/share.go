// Package warmer decides how much work a backend server gets that has started lately and
// is still slow. After a failure domain is taken back, or many servers have restarted, it
// keeps them from getting as many tasks as warm servers at once.
package warmer

import "time"

// minShare is the share of its capacity that a server gets at first. Below it, a server
// would have too few tasks to get warm by.
const minShare = 0.25

// Share returns the share of its capacity, above 0 and up to 1, that a server gets while it is slow for
// another left of the total time that it takes to get warm.
func Share(left, total time.Duration) float64 {
	if left <= 0 || total <= 0 {
		return 1
	}
	lacking := min(float64(left)/float64(total), 1)
	return 1 - (1-minShare)*lacking
}
