package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// start stands in for the start of the machine where its clock cannot be read.
var start = time.Now()

// SinceBoot returns the time since the machine started, counting time in which it was suspended. Go's monotonic clock does
// not count that time.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(start)
	}
	return time.Duration(now.Nano())
}
