// This file bounds the memory that agents take.

package drive

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// ErrTooManyAgents rejects the heartbeat of an agent that isn't registered and finds no
// memory. Nothing was changed.
var ErrTooManyAgents = errors.New("drive: the registered agents leave no memory for this one")

var agentsRefused = metrics.NewCounter("sycamoredeck_agents_refused_total")

// agentMemory estimates what the registered agents and those proposed since take, in bytes.
type agentMemory struct {
	bytes      int64
	measuredAt time.Duration
	measured   bool
}

// admitAgent returns an error if there is no memory for another agent.
func (e *Engine) admitAgent(record *wire.Agent) error {
	if e.options.AgentMemory == 0 {
		return nil
	}
	m := &e.agentMemory
	if !m.measured || e.now-m.measuredAt >= memoryMaxAge {
		*m = agentMemory{e.graph.AgentBytes(), e.now, true}
	}
	size := graph.RecordBytes(record)
	if m.bytes+size > e.options.AgentMemory {
		agentsRefused.Inc()
		return ErrTooManyAgents
	}
	m.bytes += size
	return nil
}
