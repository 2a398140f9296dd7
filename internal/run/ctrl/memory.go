// This file defines the memory limit of a control process.

package ctrl

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to three times the live data between collections, which
	// saves CPU time.
	gcPercent = 200
	// heapShare is the fraction of the memory limit that is given to the Go runtime. The
	// rest is for socket buffers and for allocations during a collection.
	heapShare = 0.7
	megabyte  = 1 << 20
)

// limitMemory configures the garbage collector to run as rarely as the memory limit
// allows; 0 means no limit. GOGC and GOMEMLIMIT take precedence.
func limitMemory(megabytes uint32) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(megabytes) * megabyte * heapShare))
	}
}
