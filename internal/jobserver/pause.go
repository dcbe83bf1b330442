package jobserver

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector detects that the process did not run for a while. The monotonic
// clock stands still while a VM is suspended, so the boot-time clock, which runs
// on, is read too. It is safe for concurrent use.
type pauseDetector struct {
	mu            sync.Mutex
	lastMonotonic time.Time
	lastBoot      time.Duration
}

func newPauseDetector() *pauseDetector {
	d := &pauseDetector{}
	d.mark()
	return d
}

// mark records that the process runs now.
func (d *pauseDetector) mark() {
	now, boot := time.Now(), bootTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastMonotonic, d.lastBoot = now, boot
}

// gap returns the time since the last call of mark, by the clock that advanced more.
func (d *pauseDetector) gap() time.Duration {
	now, boot := time.Now(), bootTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastMonotonic)
	if boot > 0 && d.lastBoot > 0 {
		gap = max(gap, boot-d.lastBoot)
	}
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
