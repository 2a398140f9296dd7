// This file defines the orders to agents and their answers.

package drive

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Kind is the kind of an order.
	Kind int

	// Verdict is the outcome of an order.
	Verdict int

	// Order is one request to an agent. It is idempotent and may be sent again.
	Order struct {
		Kind  Kind
		Agent *wire.Agent
		// Incarnation identifies the process that the order is for; 0 if unknown. Any other
		// process must not execute it, even under the same id and address, and answers
		// OtherIncarnation.
		Incarnation uint64
		// Fence is the leader's term. An agent refuses orders with a lower fence than the
		// highest that it has seen.
		Fence uint64
		// Run is the run to start, stop or throttle.
		Run *wire.RunId
		// Payload and Checkpoint are parameters of a start.
		Payload, Checkpoint string
		// Ticket authorizes a start, for queues with an advice policy.
		Ticket string
		// Deadline is when the lease of all runs on the agent expires, on the agent's
		// clock; 0 leaves it unchanged.
		Deadline time.Duration
		// LastAcked acknowledges all completions up to this number. Set for polls.
		LastAcked uint64
		// Wait is how long the agent may hold back its answer to a poll while no run ends.
		Wait time.Duration
		// CPUPercent is the share of its CPU that a throttled run may use, in percent.
		CPUPercent int
		// first marks a poll of an agent that this leader hasn't polled before.
		first bool
		// waited is how long before the start its run was placed, or found by this leader.
		waited time.Duration
		// SentAt is when the order was sent, on the boot clock.
		SentAt time.Duration
	}

	// Answer is the answer to an order.
	Answer struct {
		Order   Order
		Verdict Verdict
		// ClockKnown indicates that Clock is the agent's clock at the time of the answer.
		ClockKnown bool
		Clock      time.Duration
		// Incarnation identifies the process that answered a poll; 0 if unknown.
		Incarnation uint64
		Running     []RunStatus
		Completions []Completion
		// ConnectionClosed indicates that the order got no answer because the peer closed
		// or refused the connection, as happens when its process has ended. An
		// unreachable peer leaves it false.
		ConnectionClosed bool
		// ConnectionRefused indicates that no process listens at the agent's address.
		ConnectionRefused bool
		// CalledAt and ReturnedAt are when the call to the agent began and ended, on the
		// boot clock; 0 if unknown.
		CalledAt, ReturnedAt time.Duration
		// Detail describes a failure, for logs.
		Detail string
	}

	// RunStatus is the status of a run that is present on an agent.
	RunStatus struct {
		Run             *wire.RunId
		Checkpoint      string
		ProgressPercent int
		// Usage is, over the last half second, the tail latency in milliseconds of a
		// standing task with a latency target; for other tasks the CPU usage in
		// millicores.
		Usage int
	}

	// Completion reports a run that ended on an agent.
	Completion struct {
		Number     uint64
		Run        *wire.RunId
		Outcome    wire.RunOutcome
		Checkpoint string
	}
)

// Order kinds.
const (
	Poll Kind = iota // renews the lease, acknowledges completions, lists runs
	Start
	Stop
	Throttle
)

// Verdicts.
const (
	// NoAnswer: the order may have been executed, or may be executed later.
	NoAnswer Verdict = iota
	// NotSent: the order is known not to have reached the agent.
	NotSent
	// Accepted: the order was executed, now or by an earlier copy.
	Accepted
	// RefusedCapacity: the agent lacks free resources.
	RefusedCapacity
	// RefusedStale: the run was already stopped or has ended.
	RefusedStale
	// RefusedExpired: the order arrived after its deadline.
	RefusedExpired
	// RefusedFence: the agent has seen a higher fence.
	RefusedFence
	// RefusedTicket: the ticket is not valid.
	RefusedTicket
	// RefusedOther: the agent refused for another reason.
	RefusedOther
	// OtherIncarnation: another incarnation runs at the address.
	OtherIncarnation
	// NoConnection: the order was not sent because this process had no free connection.
	// It says nothing about the agent.
	NoConnection
	// Outdated: the order was not sent because it had been decided too long before.
	Outdated
)

var kindNames = [...]string{Poll: "hold", Start: "start", Stop: "stop", Throttle: "pace"}

var verdictNames = [...]string{
	NoAnswer: "no answer", NotSent: "not sent", Accepted: "accepted", RefusedCapacity: "refused: room",
	RefusedStale: "refused: run is old", RefusedExpired: "refused: late", RefusedFence: "refused: fence", RefusedTicket: "refused: ticket",
	RefusedOther: "refused", OtherIncarnation: "other incarnation",
	NoConnection: "no connection", Outdated: "outdated",
}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }
