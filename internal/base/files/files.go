// This file defines Budget and how files are opened when descriptors are scarce.

// Package files divides the file descriptors of a process between its uses.
//
// Connections and files share one limit. Without a division, connections to thousands
// of agents use up all descriptors, and snapshots, votes or elections fail.
package files

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors remain for the log, snapshots, the admin address and the
	// runtime (about 200), and for connections of replicas and entries.
	reservedDescriptors = 400
	// agentShare and callerShare are the shares of the rest for connections to agents
	// and from agents and operators. An agent needs two of the former, for a long poll
	// and for orders, and one of the latter.
	agentShare  = 0.6
	callerShare = 0.3
	// entryCallerShare is the share of the rest for connections from clients to an entry,
	// which has none to agents.
	entryCallerShare = 0.8
	// reservedPeers and peerShare are the connections to the gRPC port, of the reserve and
	// of the rest.
	reservedPeers = 200
	peerShare     = 0.1
	// minShare is the minimum of each share, so that the process remains usable under
	// a small limit.
	minShare = 16
	// defaultLimit applies if the limit can't be read, maxLimit if there is none.
	defaultLimit = 1024
	maxLimit     = 1 << 20
	// openRetryInterval and openTimeout apply to opening a file when no descriptor is
	// free. The timeout is longer than connections take to close.
	openRetryInterval = 10 * time.Millisecond
	openTimeout       = 3 * time.Second
)

// Budget is the number of connections of each kind that a process may have open.
type Budget struct {
	// Limit is the total number of descriptors.
	Limit int
	// Agents limits the connections to agents, Callers those from agents and
	// operators.
	Agents, Callers int
	// Peers limits the connections to the gRPC port.
	Peers int
}

// NewBudget divides up the system's limit on descriptors, or that of the setting if it
// is lower and not 0.
func NewBudget(setting uint32) Budget {
	limit := systemLimit()
	if setting > 0 {
		limit = min(limit, int(setting))
	}
	rest := float64(max(limit-reservedDescriptors, 0))
	return Budget{
		Limit:   limit,
		Agents:  max(int(rest*agentShare), minShare),
		Callers: max(int(rest*callerShare), minShare),
		Peers:   peers(limit, rest),
	}
}

func peers(limit int, rest float64) int { return min(reservedPeers, limit/4) + int(rest*peerShare) }

// NewEntryBudget does the same for an entry.
func NewEntryBudget(setting uint32) Budget {
	b := NewBudget(setting)
	rest := float64(max(b.Limit-reservedDescriptors, 0))
	return Budget{Limit: b.Limit, Callers: max(int(rest*entryCallerShare), minShare), Peers: b.Peers}
}

func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultLimit
	}
	return int(min(limit.Cur, maxLimit))
}

// IsDescriptorExhausted reports whether an error means that the process or the system
// has no free descriptor. Unlike a failed disk, this is a temporary condition.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Open opens a file like os.OpenFile, but waits up to openTimeout for a free descriptor.
// OnWait is called once when it starts to wait. It may be nil.
//
// Treating the lack of a descriptor as a failed disk would stop the replica, and then
// the next leader, which opens as many connections.
func Open(path string, flag int, mode os.FileMode, onWait func(error)) (*os.File, error) {
	return openWithRetry(func() (*os.File, error) { return os.OpenFile(path, flag, mode) }, time.Sleep, onWait)
}

func openWithRetry(open func() (*os.File, error), sleep func(time.Duration), onWait func(error)) (*os.File, error) {
	for waited := time.Duration(0); ; waited += openRetryInterval {
		file, err := open()
		if !IsDescriptorExhausted(err) || waited >= openTimeout {
			return file, err
		}
		if waited == 0 && onWait != nil {
			onWait(err)
		}
		sleep(openRetryInterval)
	}
}
