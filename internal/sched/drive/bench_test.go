// This file defines the benchmark of Engine.Tick for several numbers of agents.

package drive_test

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

// newLoadedSim returns a simulation without faults, with standing and opportunistic runs on
// all agents and twice as many opportunistic stages that can't be placed.
func newLoadedSim(agents int) *sim {
	s := newSim(1, agents, true, faults{})
	s.run(2*time.Second, 0)
	image := func(kind string, n int) string { return fmt.Sprintf("%s%d", kind, n) }
	for i := range agents {
		s.submitJob(&wire.Step{Count: 4, CpuMillis: 1500, MemoryMb: 100, EstimateMs: 60000, Standing: true, TailTargetMs: 50, Image: image("s", i%5)})
	}
	s.run(3*time.Second, 0)
	for i := range agents * 5 / 2 {
		s.submitJob(&wire.Step{Count: 8, CpuMillis: 2500, MemoryMb: 100, EstimateMs: 600000, Opportunistic: true, Image: image("f", i%9)})
	}
	s.run(8*time.Second, 0)
	return s
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{48, 490, 1800, 6900} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := newLoadedSim(n)
			waiting := len(s.graph.SortedReadyStages())
			b.ReportAllocs()
			for b.Loop() {
				s.now += simTick
				b.StopTimer()
				s.runEvents()
				s.graph.OnChange()
				b.StartTimer()
				s.engine.Tick(s.now)
			}
			b.ReportMetric(float64(waiting), "stages-waiting")
		})
	}
}
