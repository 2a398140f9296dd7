// This file defines the simulated clients and the check that their history is linearizable.

package quorum_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

type (
	simInput struct {
		write    bool
		expected uint64
	}

	simOutput struct {
		known   bool
		applied bool
		version uint64
	}
)

// write performs a compare-and-set on the configuration version, as concurrent operators
// do.
func (s *sim) write(r *simReplica) {
	expected := r.machine.Configuration().Version
	if s.chance(0.2) && expected > 0 {
		expected--
	}
	client, began := s.clients, s.step
	s.clients++
	command := &wire.Command{Body: &wire.Command_ApplyConfiguration{ApplyConfiguration: &wire.ApplyConfigurationRequest{
		OperationId: fmt.Sprint(client), ExpectedVersion: expected, Configuration: &wire.Configuration{},
	}}}
	index, ok := r.core.Propose([]*wire.Command{command})
	if !ok {
		return
	}
	r.waiters[index] = simWaiter{r.core.Status().Term, func(result *state.Result) {
		out := simOutput{}
		if result != nil {
			out = simOutput{true, result.Apply.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, result.Apply.Current.Version}
		}
		s.record(client, began, simInput{true, expected}, out)
	}}
}

func (s *sim) read(r *simReplica, commit uint64) {
	client, began := s.clients, s.step
	s.clients++
	round := r.core.Heartbeat()
	r.reads = append(r.reads, simRead{round, commit, func(version uint64, ok bool) {
		if ok {
			s.record(client, began, simInput{}, simOutput{known: true, version: version})
		}
	}})
}

func (s *sim) record(client int, began int64, in simInput, out simOutput) {
	ended := s.step
	if !out.known {
		ended = 1 << 60 // may take effect at any later time, or never
	}
	s.operations = append(s.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: 2 * began, Return: 2*ended + 1,
	})
}

// registerModel is a sequential specification of the configuration version.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(st, input, output any) []any {
		version, in, out := st.(uint64), input.(simInput), output.(simOutput)
		fits := in.expected == version
		switch {
		case !in.write && out.version == version:
			return []any{version}
		case !in.write:
			return nil
		case !out.known && fits:
			return []any{version, version + 1}
		case !out.known:
			return []any{version}
		case out.applied && fits && out.version == version+1:
			return []any{version + 1}
		case !out.applied && !fits && out.version == version:
			return []any{version}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable checks the recorded history. Writes without a result may or may not have
// taken effect.
func (s *sim) linearizable() bool {
	for _, id := range sortedKeys(s.replicas) {
		for _, i := range sortedKeys(s.replicas[id].waiters) {
			s.replicas[id].waiters[i].done(nil)
		}
	}
	result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), s.operations, 30*time.Second)
	return result != porcupine.Illegal
}
