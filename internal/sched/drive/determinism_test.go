// This file defines the test that decisions are deterministic.

package drive_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against decisions that depend on map iteration order, which would make simulation runs
// impossible to reproduce.
func TestDecisionsAreDeterministic(t *testing.T) {
	for i := range uint64(4) {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			t.Parallel()
			first := decisionLog(i)
			for range 3 {
				assert.Equal(t, decisionLog(i), first)
			}
		})
	}
}

// decisionLog returns all log lines of a simulation with interference and faults.
func decisionLog(seed uint64) string {
	s := newSim(seed, 6, true, faults{leaderChange: 0.0005, late: 0.02, lost: 0.02, crash: 0.001, leave: 0.0005, cancel: 0.002, failedRun: 0.02})
	s.tailLatencyOf = func(agent *modelAgent, run *modelRun) int {
		tail := 0.8 * float64(run.step.TailTargetMs)
		for _, k := range agent.runKeys() {
			if other := agent.runs[k]; other.step.Opportunistic {
				tail += 1.7 * float64(other.cpuPercent) / 100
			}
		}
		return int(tail)
	}
	var log bytes.Buffer
	s.logger = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Duration(slog.TimeKey, s.now)
		}
		return a
	}}))
	s.depose()
	s.run(5*time.Second, 0)
	s.submitJob(&wire.Step{Count: 6, CpuMillis: 2000, EstimateMs: 500, Standing: true, TailTargetMs: 40, Image: "standing"})
	for i := range 100 {
		s.submitJob(&wire.Step{
			Count: 3, CpuMillis: 700, MemoryMb: 10, EstimateMs: 900, Opportunistic: true, Checkpointable: i%2 == 0, Image: fmt.Sprint("beside-", i%5),
		})
		s.run(200*time.Millisecond, 1)
	}
	return log.String()
}
