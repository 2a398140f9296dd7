// This file defines how agents that give notice of their shutdown are dropped.

package drive

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// terminationProof is what shows that the runs of a terminating agent have ended.
type terminationProof string

const (
	// proofRefused: its address refuses connections since its notice, so its process has ended.
	proofRefused terminationProof = "connection refused"
	// proofStopped: the agent has reported the ends of all its runs.
	proofStopped terminationProof = "all runs ended"
	// proofExpired: its leases have expired.
	proofExpired terminationProof = "leases expired"
	// proofSuperseded: another process answers in its place.
	proofSuperseded terminationProof = "superseded"
)

// terminationSeconds are the times from a notice of shutdown until the agent was dropped.
var terminationSeconds = map[terminationProof]*metrics.Histogram{
	proofRefused:    metrics.NewHistogram(`sycamoredeck_agent_termination_seconds{proof="refused"}`),
	proofStopped:    metrics.NewHistogram(`sycamoredeck_agent_termination_seconds{proof="stopped"}`),
	proofExpired:    metrics.NewHistogram(`sycamoredeck_agent_termination_seconds{proof="expired"}`),
	proofSuperseded: metrics.NewHistogram(`sycamoredeck_agent_termination_seconds{proof="superseded"}`),
}

// handleGone records an agent's notice that its process ends. The process may take seconds to
// end if the answer to its notice is lost, and its runs with it. So the notice only stops them;
// they are released with the agent, by dropTerminated, or once their ends are reported.
func (e *Engine) handleGone(reported *wire.Agent, done func(error)) {
	gone := e.goneProcess(reported.Id)
	if gone == nil {
		done(nil)
		return
	}
	e.options.Logger.Info("agent terminates", "agent", gone.Record.Id, "incarnation", gone.Record.Incarnation, "leaving", gone.Record.Leaving, "runs", len(gone.Tasks))
	e.commitReport(&wire.WorkCommand{Body: &wire.WorkCommand_TerminateAgent{TerminateAgent: &wire.TerminateAgent{Id: gone.Record.Id}}}, done)
}

// goneProcess returns the process that a notice of shutdown refers to, which it doesn't
// identify: the earliest one that is leaving and hasn't given notice, or one without an
// incarnation, whose id no other process uses. It returns nil if there is none. The notice is
// then a repeated one, or a late one of an earlier process, which must not end the runs of the
// current one.
func (e *Engine) goneProcess(name string) *graph.Agent {
	var gone *graph.Agent
	for _, o := range e.graph.AgentsByName(name) {
		switch r := o.Record; {
		case r.Terminating:
		case r.Incarnation == 0:
			return o
		case r.Leaving && (gone == nil || r.Incarnation < gone.Record.Incarnation):
			gone = o
		}
	}
	return gone
}

// noteTermination records when this leader learned that an agent terminates. The agent is
// polled at once, as the end of its process closes the connection of a waiting poll.
func (e *Engine) noteTermination(a *agent) {
	if a.record.Terminating && a.terminatingSince == 0 {
		a.terminatingSince, a.nextPoll = e.now, e.now
	}
}

// dropTerminated drops a terminating agent once it is certain that its runs have ended. It
// returns whether it did.
func (e *Engine) dropTerminated(a *agent) bool {
	if !a.record.Terminating {
		return false
	}
	switch {
	case a.connectionRefused:
		e.dropAgent(a, terminated, string(proofRefused))
	case len(a.sortedRuns) > 0 || a.failedPolls == 0:
		// While it answers it is kept, so that its heartbeats don't register it again.
		return false
	case e.leaseExpired(a):
		e.dropAgent(a, terminated, string(proofExpired))
	default:
		e.dropAgent(a, terminated, string(proofStopped))
	}
	return true
}

// recordTermination records how long the shutdown of a dropped agent took, and by which proof
// it was dropped. It returns the former, or 0 if the agent wasn't terminating.
func (e *Engine) recordTermination(a *agent, cause dropCause, reason string) time.Duration {
	if !a.record.Terminating {
		return 0
	}
	proof := proofSuperseded
	if cause == terminated {
		proof = terminationProof(reason)
	}
	took := e.now - a.terminatingSince
	terminationSeconds[proof].Update(took.Seconds())
	return took
}
