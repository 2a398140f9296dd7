// This file defines the clock that counts suspension.

// Package boot reads the clock that runs on while the instance is suspended.
// Go's monotonic clock stands still then, so that a process can't notice by it
// that seconds went by between two of its statements.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the instance started, time of suspension included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel since 2.6.39. Without it there is no
		// safe way to lead.
		panic("boot: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
