// This file defines the test that decisions don't depend on chance.

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

// A test of one seed passed in 32 of 40 runs and failed in 8, and no day could be
// played again as it was. The engine went over agents and runs in the order of a map,
// which differs from run to run: of two slowed runs that may go on, which one does; in
// which order orders leave; in which order fractions are added up.
func TestSameScheduleSameDecisions(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			first := decisions(seed)
			for range 3 {
				assert.Equal(t, decisions(seed), first)
			}
		})
	}
}

// decisions are all log lines of a schedule with disturbances and faults.
func decisions(seed uint64) string {
	s := newSim(seed, 6, true, faults{leader: 0.0005, late: 0.02, lost: 0.02, crash: 0.001, leave: 0.0005, cancel: 0.002, fail: 0.02})
	s.tailOf = func(r *modelAgent, run *modelRun) int {
		tail := 0.8 * float64(run.step.TailTargetMs)
		for _, key := range r.keys() {
			if other := r.runs[key]; other.step.Opportunistic {
				tail += 1.7 * float64(other.pace) / 100
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
	s.submitSpec(&wire.Step{Count: 6, CpuMillis: 2000, EstimateMs: 500, Standing: true, TailTargetMs: 40, Image: "standing"})
	for i := range 100 {
		s.submitSpec(&wire.Step{
			Count: 3, CpuMillis: 700, MemoryMb: 10, EstimateMs: 900, Opportunistic: true, Checkpointable: i%2 == 0, Image: fmt.Sprint("beside-", i%5),
		})
		s.run(200*time.Millisecond, 1)
	}
	return log.String()
}
