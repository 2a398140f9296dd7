// This file defines the tests of the election after a restart of all voters.

package quorum_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
)

// Guards against a second leader while another holds its lease, and against lost entries, when
// replicas lose power together, restart again, freeze or change while some of them ask for an
// election.
func TestRestartElectionUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		faults simFaults
	}{
		{"power", 3, simFaults{powerLoss: 0.01, restart: 0.5, crash: 0.008, duplicate: 0.1, freeze: 0.01}},
		{"partitions", 5, simFaults{powerLoss: 0.003, restart: 0.2, crash: 0.002, cut: 0.02, heal: 0.02, drop: 0.03, duplicate: 0.02, freeze: 0.005}},
		{"members", 3, simFaults{powerLoss: 0.003, restart: 0.2, crash: 0.002, drop: 0.02, snapshot: 0.01, replace: 0.1, freeze: 0.003}},
		{"lost disks", 5, simFaults{powerLoss: 0.002, restart: 0.2, drop: 0.02, snapshot: 0.01, replace: 0.1, wipe: 0.005, freeze: 0.002, slowDisk: 0.2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.faults.restartElection = true
			elections, operations := 0, 0
			for n := range uint64(seedsPerCase) {
				s := newSim(n, c.size, c.faults)
				s.run(2 * stepsPerSeed)
				assertConsistent(t, n, s)
				elections += len(s.restartElections)
				operations += len(s.operations)
			}
			t.Logf("%d restart elections, %d operations", elections, operations)
		})
	}
}

// Guards against a loss of all power after which there is no leader for an election timeout (10
// ticks), though all replicas are back at once.
func TestElectionAfterLossOfAllPower(t *testing.T) {
	for n := range uint64(100) {
		s := newSim(n, 5, simFaults{restartElection: true})
		s.run(stepsPerSeed)
		s.losePower()
		s.network = nil
		for _, id := range sortedKeys(s.down) {
			s.start(id, s.down[id])
		}
		ticks := 0
		for ; !s.hasLeader() && ticks < 20; ticks++ {
			for _, id := range sortedKeys(s.replicas) {
				s.replicas[id].core.Tick()
				s.processReady(s.replicas[id])
			}
			for len(s.network) > 0 {
				s.deliver()
			}
		}
		t.Log(ticks)
	}
}

func (s *sim) hasLeader() bool {
	for _, r := range s.replicas {
		if r.core.Status().Role == quorum.Leader {
			return true
		}
	}
	return false
}

var _ = wire.PeerMessage{}
var _ = assert.Assert
