package ctrl

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine started, with the time for which it
// was suspended. Unlike the monotonic clock it can't lose a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("ctrl: the boot clock can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
