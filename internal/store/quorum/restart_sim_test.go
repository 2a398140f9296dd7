// This file defines losses of power, frozen replicas and leader leases in the simulation.

package quorum_test

import "sycamoredeck.example/internal/store/quorum"

const (
	stepsPerTick = 12
	// leaseSteps is the length of the leader lease, 0.8 of an election timeout of 10 ticks.
	leaseSteps = 8 * stepsPerTick
)

// stepClocks ticks the replicas whose turn it is, each once in stepsPerTick, and injects the
// faults that need such clocks.
func (s *sim) stepClocks() {
	if s.chance(s.faults.powerLoss) {
		s.losePower()
		s.darkUntil = s.step + int64(s.random.IntN(2*stepsPerTick))
	}
	if r := s.randomReplica(); r != nil && s.chance(s.faults.freeze) {
		r.frozenUntil = s.step + int64(s.random.IntN(25*stepsPerTick))
	}
	for _, id := range sortedKeys(s.replicas) {
		r := s.replicas[id]
		if s.step >= r.frozenUntil && s.step%stepsPerTick == int64(id)%stepsPerTick {
			r.core.Tick()
			s.processReady(r)
		}
	}
	s.checkLeases()
}

func (s *sim) losePower() {
	for _, id := range sortedKeys(s.replicas) {
		s.crash(s.replicas[id])
	}
}

func (s *sim) recordRound(r *simReplica, status quorum.Status) {
	if _, known := r.sentAt[status.Round]; !known {
		r.sentAt[status.Round] = s.step
	}
	if status.RestartPhase == quorum.RestartElected {
		s.restartElections[status.Term] = true
	}
}

// checkLeases checks that no other replica leads in a later term than one that holds a leader
// lease.
func (s *sim) checkLeases() {
	for _, id := range sortedKeys(s.replicas) {
		r := s.replicas[id]
		status := r.core.Status()
		sentAt, sent := r.sentAt[status.ConfirmedRound]
		if !r.core.MayHoldLease() || !sent || status.ConfirmedRound == 0 || s.step-sentAt >= leaseSteps {
			continue
		}
		for _, o := range s.replicas {
			other := o.core.Status()
			s.check(other.Role != quorum.Leader || other.Term <= status.Term,
				"replica %d leads in term %d while %d holds the lease of term %d", o.id, other.Term, r.id, status.Term)
		}
	}
}
