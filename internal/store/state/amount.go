// This file defines sums of resources.

package state

import (
	"fmt"

	"sycamoredeck.example/internal/schema/wire"
)

// Amount is an immutable quantity of the resources that tasks hold.
type Resources struct {
	MilliProcessors uint64
	MemoryBytes     uint64
	Accelerators    uint64
}

// ResourcesOf turns the message into an Amount; nil is nothing.
func ResourcesOf(r *wire.Resources) Resources {
	return Resources{r.GetMilliProcessors(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Message turns the amount into its message.
func (a Resources) ToProto() *wire.Resources {
	return &wire.Resources{MilliProcessors: a.MilliProcessors, MemoryBytes: a.MemoryBytes, Accelerators: a.Accelerators}
}

// With returns the sum.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MilliProcessors + b.MilliProcessors, a.MemoryBytes + b.MemoryBytes, a.Accelerators + b.Accelerators}
}

// Sub returns the difference; what would be below nothing is nothing.
func (a Resources) Sub(b Resources) Resources {
	return Resources{
		below(a.MilliProcessors, b.MilliProcessors),
		below(a.MemoryBytes, b.MemoryBytes),
		below(a.Accelerators, b.Accelerators),
	}
}

// Fits tells whether a is at most b in every resource.
func (a Resources) FitsIn(b Resources) bool {
	return a.MilliProcessors <= b.MilliProcessors && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}

// FitsQuota is Fits where a resource of the quota that is 0 has no bound.
func (a Resources) FitsQuota(quota Resources) bool {
	return (quota.MilliProcessors == 0 || a.MilliProcessors <= quota.MilliProcessors) &&
		(quota.MemoryBytes == 0 || a.MemoryBytes <= quota.MemoryBytes) &&
		(quota.Accelerators == 0 || a.Accelerators <= quota.Accelerators)
}

// DominantShare is the largest part of any resource of the whole that a is.
func (a Resources) DominantShare(whole Resources) float64 {
	return max(
		part(a.MilliProcessors, whole.MilliProcessors),
		part(a.MemoryBytes, whole.MemoryBytes),
		part(a.Accelerators, whole.Accelerators),
	)
}

// String is for reasons shown to people.
func (a Resources) String() string {
	return fmt.Sprintf("%d milliprocessors, %d bytes, %d accelerators", a.MilliProcessors, a.MemoryBytes, a.Accelerators)
}

func below(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

func part(a, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(a) / float64(whole)
}
