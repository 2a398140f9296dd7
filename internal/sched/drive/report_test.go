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
