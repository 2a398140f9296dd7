// This file defines Budget and how files are opened where descriptors are scarce.

// Package files shares out the descriptors that a process may use.
//
// Connections and files come from one limit. Without shares, connections to
// thousands of agents take it whole, and what fails then is whatever needs a
// descriptor next: a snapshot, a vote, an election.
package files

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// reserved descriptors are left for the log, snapshots, replicas, the admin
	// address, and what the runtime and the platform keep for themselves: 200 of
	// that, and as many again for connections of replicas and entries.
	reserved = 400
	// agentShare and callerShare are the parts of the rest for connections to agents
	// and for those that agents and operators open. An agent has two of the first
	// (one holds its lease, one takes orders) and at most one of the second.
	agentShare  = 0.6
	callerShare = 0.3
	// leastShare is what each gets at least, so that a small limit shows as
	// failed connections and not as a process that can do nothing.
	leastShare = 16
	// unknownLimit is taken where the system doesn't tell its limit: the usual one.
	// highestLimit is taken where it says that there is none.
	unknownLimit = 1024
	highestLimit = 1 << 20
	// openRetry is the pause after a file couldn't be opened for want of a
	// descriptor; a connection ends in less than openPatience, which bounds all tries.
	openRetry    = 10 * time.Millisecond
	openPatience = 3 * time.Second
)

// Budget is how many connections of each kind a process may have open.
type Budget struct {
	// Limit is what the process may have open in all.
	Limit int
	// Agents bounds the connections to agents, Callers those from agents and
	// operators.
	Agents, Callers int
}

// Share divides up the descriptors that the process may use: those of a setting, or
// all that the system allows where that is fewer or the setting is 0.
func NewBudget(setting uint32) Budget {
	limit := systemLimit()
	if setting > 0 {
		limit = min(limit, int(setting))
	}
	rest := float64(max(limit-reserved, 0))
	return Budget{
		Limit:   limit,
		Agents:  max(int(rest*agentShare), leastShare),
		Callers: max(int(rest*callerShare), leastShare),
	}
}

func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return unknownLimit
	}
	return int(min(limit.Cur, highestLimit))
}

// Scarce tells whether an error says that no descriptor was left, of the process or
// of the system. It passes; a failed disk doesn't.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Open opens a file like os.OpenFile, and waits for a descriptor if there is none.
// Told is called once when it begins to wait; nil is allowed.
//
// Taken for a failed disk, the want of a descriptor would end the replica, and the
// next leader after it, since each of them opens as many connections.
func Open(path string, flag int, mode os.FileMode, told func(error)) (*os.File, error) {
	return retry(func() (*os.File, error) { return os.OpenFile(path, flag, mode) }, time.Sleep, told)
}

func retry(open func() (*os.File, error), sleep func(time.Duration), told func(error)) (*os.File, error) {
	for waited := time.Duration(0); ; waited += openRetry {
		file, err := open()
		if !IsDescriptorExhausted(err) || waited >= openPatience {
			return file, err
		}
		if waited == 0 && told != nil {
			told(err)
		}
		sleep(openRetry)
	}
}
