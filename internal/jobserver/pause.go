package jobserver

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector notices that the process did not run for a while. A suspended
// VM's steady clock stands still, so the clock that counts on is read too.
type pauseDetector struct {
	steady time.Time
	boot   time.Duration
}

func newPauseDetector() *pauseDetector {
	return &pauseDetector{steady: time.Now(), boot: bootTime()}
}

// gap returns the time since its last call, by the clock that counted more.
func (d *pauseDetector) gap() time.Duration {
	now, boot := time.Now(), bootTime()
	gap := now.Sub(d.steady)
	if boot > 0 && d.boot > 0 {
		gap = max(gap, boot-d.boot)
	}
	d.steady, d.boot = now, boot
	return gap
}

// bootTime returns the time since the VM started, pauses included; 0 when the
// system has no such clock, and the steady clock alone has to do.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
