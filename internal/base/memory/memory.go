// This file defines the memory limit of a process and its shares.

// Package memory divides the memory of a process between its uses.
//
// Callers decide how much they send and how many of them come at once. Without a budget
// that all requests share, a limit for each of them still lets enough callers use up the
// memory of the instance.
package memory

import (
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	megabyte = 1 << 20
	// heapShare is the share of the limit that is given to the Go runtime. The rest is for
	// socket buffers and for allocations during a collection.
	heapShare = 0.7
	// requestShare is the share of the limit for the requests of all callers, and
	// connectionShare that for their connections.
	requestShare    = 0.2
	connectionShare = 0.2
	// jobShare is the share of the limit for the jobs that a control replica knows.
	jobShare = 0.25
	// agentShare is the share for the agents that a control replica knows.
	agentShare = 0.1
	// messageShare is the share for unfinished messages of gRPC, and callShare that for calls
	// without their messages, which take callBytes each.
	messageShare = 0.15
	callShare    = 0.1
	callBytes    = 12 << 10
	// callConnectionShare is the share for gRPC connections, which take callConnectionBytes
	// each for their buffers.
	callConnectionShare = 0.1
	callConnectionBytes = 80 << 10
	// connectionBytes is what an active connection takes besides its body: a goroutine,
	// the buffers of the header and of the response, and the parsed header.
	connectionBytes = 48 << 10
	// minConnections keeps a process usable under a small limit.
	minConnections = 64
	// defaultLimit applies if the memory of the instance can't be read.
	defaultLimit = 256 * megabyte
)

// Limit is the memory that a process may use, in bytes.
type Limit int64

// NewLimit returns the limit of a setting in megabytes, or the memory of the instance if it
// is 0.
func NewLimit(megabytes uint32) Limit {
	if megabytes > 0 {
		return Limit(megabytes) * megabyte
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultLimit
	}
	return Limit(uint64(info.Totalram) * uint64(info.Unit)) //nolint:unconvert // differs by platform
}

// Requests returns the bytes that the requests of all callers may hold together.
func (l Limit) Requests() int64 { return int64(float64(l) * requestShare) }

// Jobs returns the bytes that the jobs of a control replica may take.
func (l Limit) Jobs() int64 { return int64(float64(l) * jobShare) }

// Agents returns the bytes that the agents of a control replica may take.
func (l Limit) Agents() int64 { return int64(float64(l) * agentShare) }

// Messages returns the bytes that unfinished messages may hold together.
func (l Limit) Messages() int64 { return int64(float64(l) * messageShare) }

// Calls returns how many gRPC calls fit into their share.
func (l Limit) Calls() int { return max(int(float64(l)*callShare/callBytes), minConnections) }

// CallConnections returns how many gRPC connections fit into their share.
func (l Limit) CallConnections() int {
	return max(int(float64(l)*callConnectionShare/callConnectionBytes), minConnections)
}

// Connections returns how many connections of callers fit into their share.
func (l Limit) Connections() int {
	return max(int(float64(l)*connectionShare/connectionBytes), minConnections)
}

// Apply makes the garbage collector keep the heap below the limit, and otherwise lets it
// grow by gcPercent between collections. GOGC and GOMEMLIMIT take precedence.
func (l Limit) Apply(gcPercent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(l) * heapShare))
	}
}
