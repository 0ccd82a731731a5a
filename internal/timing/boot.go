package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart replaces the boot time if the boot clock cannot be read.
var processStart = time.Now()

// SinceBoot returns the time since the system booted, including the time for which it was suspended. Go's monotonic
// clock excludes that time.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}
