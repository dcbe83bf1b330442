// Package pausedetector tells an event loop that its process did not run for a while.
package pausedetector

import (
	"time"

	"golang.org/x/sys/unix"
)

// Detector measures the time between two iterations of a loop. The monotonic clock
// stands still while a VM is suspended, so the boot-time clock, which runs on, is read
// too. It is not safe for concurrent use.
type Detector struct {
	lastMonotonic time.Time
	lastBoot      time.Duration
}

// New returns a Detector whose first interval begins now.
func New() *Detector {
	return &Detector{lastMonotonic: time.Now(), lastBoot: bootTime()}
}

// Gap returns the time since its last call, or since New, by the clock that advanced
// more.
func (d *Detector) Gap() time.Duration {
	now, boot := time.Now(), bootTime()
	gap := now.Sub(d.lastMonotonic)
	if boot > 0 && d.lastBoot > 0 {
		gap = max(gap, boot-d.lastBoot)
	}
	d.lastMonotonic, d.lastBoot = now, boot
	return gap
}

// bootTime returns the time since the VM started, suspension included. It is 0 when
// the system has no such clock; then only the monotonic clock is used.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
