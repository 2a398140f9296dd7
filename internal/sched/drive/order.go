// This file defines what the leader asks of agents and what they answer.

package drive

import (
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Kind tells what an order asks for.
	Kind int

	// Verdict is what became of an order.
	Verdict int

	// Order is one call to an agent. It is idempotent: the same order may be
	// sent again.
	Order struct {
		Kind  Kind
		Agent *wire.Agent
		// Incarnation is that of the process that the order is for. No other process
		// may carry it out, also none that has the agent's id and address: its answer is
		// OtherIncarnation then. 0 where it isn't known; the id alone has to do.
		Incarnation uint64
		// Fence is the leader's term. An agent refuses a lower one than it has
		// seen.
		Fence uint64
		// Run is what is started, stopped or paced.
		Run *wire.RunId
		// Payload and Checkpoint belong to a start.
		Payload, Checkpoint string
		// Ticket allows a start, where the queue needs one.
		Ticket string
		// Deadline is when the lease of all that runs there ends, on the
		// agent's clock; 0 leaves it as it is.
		Deadline time.Duration
		// LastAcked acknowledges all ends up to this number; of a hold.
		LastAcked uint64
		// Wait is how long a hold's answer may wait for an end.
		Wait time.Duration
		// Percent is the share at which a paced run may work.
		CPUPercent int
		// SentAt is when the order was handed over, on the boot clock.
		SentAt time.Duration
	}

	// Answer is what came back on an order.
	Answer struct {
		Order   Order
		Verdict Verdict
		// ClockKnown tells that Clock is the agent's clock as it answered.
		ClockKnown bool
		Clock      time.Duration
		// Incarnation is that of the agent that answered a hold; 0 where it isn't told.
		Incarnation uint64
		Running     []RunStatus
		Completions []Completion
		// Closed tells of an order without an answer that the other end closed or refused
		// the connection, as happens where a process has ended. One that is cut off says
		// nothing.
		ConnectionClosed bool
		// Detail is for logs.
		Detail string
	}

	// RunStatus is a run that exists on an agent.
	RunStatus struct {
		Run             *wire.RunId
		Checkpoint      string
		ProgressPercent int
		// Usage is the tail latency in milliseconds of a standing task with a
		// target, else the thousandths of a processor in use; over the last
		// half second.
		Usage int
	}

	// Completion is a run that ended on an agent.
	Completion struct {
		Number     uint64
		Run        *wire.RunId
		Outcome    wire.RunOutcome
		Checkpoint string
	}
)

// The kinds of orders.
const (
	Poll Kind = iota // renew the lease, acknowledge ends, ask what runs
	Start
	Stop
	Throttle
)

// The verdicts.
const (
	// NoAnswer: the order may have been carried out, or may be yet.
	NoAnswer Verdict = iota
	// Unsent: the order surely didn't reach the agent.
	NotSent
	// Accepted: it was carried out, now or before.
	Accepted
	// RefusedCapacity: the agent's room doesn't suffice.
	RefusedCapacity
	// RefusedStale: this run was stopped or has ended there.
	RefusedStale
	// RefusedExpired: the deadline has gone by.
	RefusedExpired
	// RefusedFence: a leader with a higher fence was there.
	RefusedFence
	// RefusedTicket: the start's ticket doesn't hold.
	RefusedTicket
	// RefusedOther: the agent won't take the order, for another reason.
	RefusedOther
	// OtherIncarnation: another incarnation lives at the address.
	OtherIncarnation
	// NoConnection: the order surely didn't leave, for want of a connection that this
	// process may open. It says nothing about the agent.
	NoConnection
)

var kindNames = [...]string{Poll: "hold", Start: "start", Stop: "stop", Throttle: "pace"}

var verdictNames = [...]string{
	NoAnswer: "no answer", NotSent: "not sent", Accepted: "accepted", RefusedCapacity: "refused: room",
	RefusedStale: "refused: run is old", RefusedExpired: "refused: late", RefusedFence: "refused: fence", RefusedTicket: "refused: ticket",
	RefusedOther: "refused", OtherIncarnation: "other incarnation",
	NoConnection: "no connection",
}

// String names the kind for logs.
func (k Kind) String() string { return kindNames[k] }

// String names the verdict for logs.
func (v Verdict) String() string { return verdictNames[v] }
