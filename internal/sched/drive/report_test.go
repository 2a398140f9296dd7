// This file tests which heartbeats have to reach the leader.

package drive_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Symptom: the leader spends most of its connections and a tenth of its processor on
// heartbeats. Sequence: thousands of agents tell it each second what it knows.
// Cause: a replica that doesn't lead took every heartbeat to it, though it reads the
// same log.
func TestHeartbeatsThatTellNothing(t *testing.T) {
	s := newSim(1, 1, true, faults{})
	s.run(2*time.Second, 0)
	s.depose()
	record := s.agents["10.0.0.0:1"].record
	with := func(change func(*wire.Agent)) *wire.ReportAgentRequest {
		told := proto.Clone(record).(*wire.Agent)
		change(told)
		return &wire.ReportAgentRequest{Agent: told, Sequence: 9}
	}
	cases := []struct {
		name   string
		report *wire.ReportAgentRequest
		knows  bool
	}{
		{"the same", with(func(*wire.Agent) {}), true},
		{"it leaves", with(func(a *wire.Agent) { a.Leaving = true }), false},
		{"it has gone", &wire.ReportAgentRequest{Agent: &wire.Agent{Id: record.Id}, Gone: true}, false},
		{"other room", with(func(a *wire.Agent) { a.CpuMillis++ }), false},
		{"another incarnation", with(func(a *wire.Agent) { a.Id = "other" }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, s.engine.IsRedundant(c.report), c.knows) })
	}
}
