// This file defines how a control process keeps within its memory.

package ctrl

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to three times what is in use before it is collected:
	// collecting takes processor time, and slows all else while it lasts.
	gcPercent = 200
	// heapShare is the part of its memory that a process fills before it collects sooner.
	// The rest is for bytes that have arrived and weren't read, and for what is allocated
	// while a collection runs.
	heapShare = 0.7
	megabyte  = 1 << 20
)

// limitMemory has garbage collected as seldom as the memory allows; 0 megabytes is as
// much as there is. What the environment says of it goes first.
func limitMemory(megabytes uint32) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(megabytes) * megabyte * heapShare))
	}
}
