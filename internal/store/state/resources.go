// This file defines Resources and its arithmetic.

package state

import (
	"fmt"

	"sycamoredeck.example/internal/schema/wire"
)

// Resources is an immutable amount of the resources that a task uses or a worker has.
type Resources struct {
	MilliProcessors uint64
	MemoryBytes     uint64
	Accelerators    uint64
}

// ResourcesOf converts from the protobuf message. A nil message is the zero value.
func ResourcesOf(r *wire.Resources) Resources {
	return Resources{r.GetMilliProcessors(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// ToProto converts to the protobuf message.
func (a Resources) ToProto() *wire.Resources {
	return &wire.Resources{MilliProcessors: a.MilliProcessors, MemoryBytes: a.MemoryBytes, Accelerators: a.Accelerators}
}

// Add returns the sum.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MilliProcessors + b.MilliProcessors, a.MemoryBytes + b.MemoryBytes, a.Accelerators + b.Accelerators}
}

// Sub returns the difference, with negative results replaced by 0.
func (a Resources) Sub(b Resources) Resources {
	return Resources{
		saturatingSub(a.MilliProcessors, b.MilliProcessors),
		saturatingSub(a.MemoryBytes, b.MemoryBytes),
		saturatingSub(a.Accelerators, b.Accelerators),
	}
}

// FitsIn reports whether a is at most b in every resource.
func (a Resources) FitsIn(b Resources) bool {
	return a.MilliProcessors <= b.MilliProcessors && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}

// FitsQuota is like FitsIn, but a resource that is 0 in the quota is unlimited.
func (a Resources) FitsQuota(quota Resources) bool {
	return (quota.MilliProcessors == 0 || a.MilliProcessors <= quota.MilliProcessors) &&
		(quota.MemoryBytes == 0 || a.MemoryBytes <= quota.MemoryBytes) &&
		(quota.Accelerators == 0 || a.Accelerators <= quota.Accelerators)
}

// DominantShare returns the largest fraction of total that a has of any one resource.
func (a Resources) DominantShare(total Resources) float64 {
	return max(
		fraction(a.MilliProcessors, total.MilliProcessors),
		fraction(a.MemoryBytes, total.MemoryBytes),
		fraction(a.Accelerators, total.Accelerators),
	)
}

// String formats the resources for error messages.
func (a Resources) String() string {
	return fmt.Sprintf("%d milliprocessors, %d bytes, %d accelerators", a.MilliProcessors, a.MemoryBytes, a.Accelerators)
}

func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

func fraction(a, total uint64) float64 {
	if total == 0 {
		return 0
	}
	return float64(a) / float64(total)
}
