package jobserver

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector detects that the process did not run for a while. The monotonic
// clock stands still while a VM is suspended, so the boot-time clock, which runs
// on, is read too.
type pauseDetector struct {
	lastMonotonic time.Time
	lastBoot      time.Duration
}

func newPauseDetector() *pauseDetector {
	return &pauseDetector{lastMonotonic: time.Now(), lastBoot: bootTime()}
}

// gap returns the time since its last call, by the clock that advanced more.
func (d *pauseDetector) gap() time.Duration {
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
