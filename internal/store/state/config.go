// This file defines the commands for the configuration and dispatch records.

package state

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// applyConfiguration is a compare-and-set on the version. Of two concurrent requests with
// the same expected version one succeeds, and the other gets the current version. A retried
// operation ID gets the original answer.
func (m *Machine) applyConfiguration(c *wire.Command, r *wire.ApplyConfigurationRequest) Result {
	hash := contentHash(r.Configuration)
	if o := m.operationByID[r.OperationId]; o != nil {
		if o.ContentHash != hash {
			return Result{Err: ErrOperationReuse}
		}
		return m.appliedResult(m.findVersion(o.Version, r))
	}
	current := m.Configuration()
	if r.ExpectedVersion != current.Version {
		return Result{Apply: &wire.ApplyConfigurationResponse{
			Outcome: wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT, Current: current,
		}}
	}
	next := &wire.ConfigurationVersion{
		Version: current.Version + 1, Configuration: r.Configuration,
		OperationId: r.OperationId, AppliedAt: c.At,
	}
	earlier := m.terms()
	m.addConfiguration(next)
	m.recordOperation(&wire.AppliedOperation{OperationId: r.OperationId, Version: next.Version, ContentHash: hash})
	m.indexConfiguration()
	m.keepTerms(earlier)
	return m.appliedResult(next)
}

// addConfiguration adds the latest version and removes the oldest ones beyond the limits.
func (m *Machine) addConfiguration(v *wire.ConfigurationVersion) {
	m.configurations = append(m.configurations, v)
	m.historyBytes += proto.Size(v)
	extra := 0
	for ; extra < len(m.configurations)-1 && (len(m.configurations)-extra > maxConfigurationHistory || m.historyBytes > maxHistoryBytes); extra++ {
		m.historyBytes -= proto.Size(m.configurations[extra])
	}
	if extra > 0 {
		m.configurations = append([]*wire.ConfigurationVersion(nil), m.configurations[extra:]...)
	}
}

func (m *Machine) appliedResult(v *wire.ConfigurationVersion) Result {
	return Result{Apply: &wire.ApplyConfigurationResponse{
		Outcome: wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, Current: v,
	}}
}

// findVersion returns a past version. One that is no longer in the history is reconstructed
// from the retried request, whose content is the same.
func (m *Machine) findVersion(number uint64, r *wire.ApplyConfigurationRequest) *wire.ConfigurationVersion {
	for _, v := range m.configurations {
		if v.Version == number {
			return v
		}
	}
	return &wire.ConfigurationVersion{Version: number, Configuration: r.Configuration, OperationId: r.OperationId}
}

func (m *Machine) recordOperation(o *wire.AppliedOperation) {
	m.operations = append(m.operations, o)
	m.operationByID[o.OperationId] = o
	if len(m.operations) > maxOperationHistory {
		delete(m.operationByID, m.operations[0].OperationId)
		m.operations = m.operations[1:]
	}
}

func contentHash(c *wire.Configuration) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return 0 // unreachable: c was decoded from a message
	}
	return xxhash.Sum64(data)
}

// openDispatch grants sending a non-idempotent request to the first nonce only. A retry
// with the same nonce is granted again, because its answer may have been lost.
func (m *Machine) openDispatch(d *wire.DispatchRecord) Result {
	key := accountKey(d.ClientAccount, d.RequestId)
	record := m.dispatches[key]
	if record == nil {
		record = proto.Clone(d).(*wire.DispatchRecord)
		record.State = wire.DispatchState_DISPATCH_STATE_OPEN
		m.dispatches[key] = record
	}
	granted := record.Nonce == d.Nonce && record.State == wire.DispatchState_DISPATCH_STATE_OPEN
	return Result{Dispatch: &wire.OpenDispatchResponse{Granted: granted, Recorded: proto.Clone(record).(*wire.DispatchRecord)}}
}

func (m *Machine) closeDispatch(d *wire.CloseDispatch) Result {
	key := accountKey(d.ClientAccount, d.RequestId)
	record := m.dispatches[key]
	if record == nil || record.Nonce != d.Nonce {
		return Result{}
	}
	if d.NotRun {
		delete(m.dispatches, key)
		return Result{}
	}
	record.State = wire.DispatchState_DISPATCH_STATE_COMPLETED
	return Result{}
}

func sortedTasks(w *Worker) []*wire.Job {
	var jobs []*wire.Job
	for _, j := range w.Tasks {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].Sequence < jobs[k].Sequence })
	return jobs
}
