package warmer

import (
	"testing"
	"time"
)

// TestShare checks that a cold server gets a part of its capacity, and more and more of it.
func TestShare(t *testing.T) {
	for _, c := range []struct {
		left, total time.Duration
		want        float64
	}{
		{0, 8 * time.Second, 1},
		{-time.Second, 8 * time.Second, 1},
		{8 * time.Second, 8 * time.Second, minShare},
		{4 * time.Second, 8 * time.Second, 0.625},
		{9 * time.Second, 8 * time.Second, minShare},
		{time.Second, 0, 1},
	} {
		if got := Share(c.left, c.total); got != c.want {
			t.Errorf("%v of %v left: got %v, want %v", c.left, c.total, got, c.want)
		}
	}
}
