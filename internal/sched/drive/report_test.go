// This file defines the tests of redundant heartbeats.

package drive_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against a leader that is loaded by heartbeats without new information: a replica that
// isn't the leader can drop them, since it has the same state.
func TestRedundantHeartbeats(t *testing.T) {
	s := newSim(1, 1, true, faults{})
	s.run(2*time.Second, 0)
	s.depose()
	record := s.agents["10.0.0.0:1"].record
	with := func(change func(*wire.Agent)) *wire.ReportAgentRequest {
		changed := proto.Clone(record).(*wire.Agent)
		change(changed)
		return &wire.ReportAgentRequest{Agent: changed, Sequence: 9}
	}
	cases := []struct {
		name      string
		report    *wire.ReportAgentRequest
		redundant bool
	}{
		{"unchanged", with(func(*wire.Agent) {}), true},
		{"leaving", with(func(a *wire.Agent) { a.Leaving = true }), false},
		{"gone", &wire.ReportAgentRequest{Agent: &wire.Agent{Id: record.Id}, Gone: true}, false},
		{"other capacity", with(func(a *wire.Agent) { a.CpuMillis++ }), false},
		{"another incarnation", with(func(a *wire.Agent) { a.Id = "other" }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, s.engine.IsRedundant(c.report), c.redundant) })
	}
}

// Guards against a heartbeat that is acknowledged though neither its content nor that of a later one
// is committed: the agent takes its leaving as known, and gets further tasks.
func TestHeartbeatIsAcknowledgedOnceCommitted(t *testing.T) {
	cases := []struct {
		name string
		// change prepares what becomes of the later heartbeat, and changes the earlier one.
		change    func(*sim, *wire.Agent)
		committed bool
	}{
		{"overtaken by one that is committed", func(*sim, *wire.Agent) {}, true},
		{"overtaken by one that fails", func(s *sim, _ *wire.Agent) { s.proposalsFail = true }, false},
		{"from another address", func(_ *sim, a *wire.Agent) { a.Address = "10.0.0.9:1" }, false},
		{"of another pool", func(_ *sim, a *wire.Agent) { a.Pool = "other" }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 1, true, faults{})
			s.run(2*time.Second, 0)
			later := proto.Clone(s.agents["10.0.0.0:1"].record).(*wire.Agent)
			later.Leaving = true
			earlier := proto.Clone(later).(*wire.Agent)
			c.change(s, earlier)
			leaves := func() bool { return s.graph.Agent(later.Id).Record.Leaving }
			report := func(a *wire.Agent, sequence uint64) {
				s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: a, Sequence: sequence}, func(err error) {
					assert.Check(t, err != nil || leaves(), "acknowledged before it is committed")
				})
			}
			if earlier.Address == later.Address && earlier.Pool == later.Pool {
				report(later, 1000)
			}
			report(earlier, 999)
			s.run(3*simTick, 0)
			assert.Equal(t, leaves(), c.committed)
			report(earlier, 999)
		})
	}
}
