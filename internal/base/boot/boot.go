// This file defines Now, which reads the boot-time clock.

// Package boot reads the boot-time clock, which includes the time that the instance
// was suspended. Go's monotonic clock excludes it, so that a process can't detect by
// that clock that its leases expired during a suspension.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock. Leases are unsafe
		// without it.
		panic("boot: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
