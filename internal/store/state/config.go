// This file defines the commands about configuration and dispatch records.

package state

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// applyConfiguration is a compare-and-set on the version. Of two operators
// who race with the same expected version one wins, and the other is told
// what did. An operation id sent again, after its answer was lost, gets the
// answer it had.
func (m *Machine) applyConfiguration(c *wire.Command, r *wire.ApplyConfigurationRequest) Result {
	hash := contentHash(r.Configuration)
	if o := m.operationByID[r.OperationId]; o != nil {
		if o.ContentHash != hash {
			return Result{Err: ErrOperationReuse}
		}
		return m.applied(m.version(o.Version, r))
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
	m.configurations = append(m.configurations, next)
	if extra := len(m.configurations) - keptConfigurations; extra > 0 {
		m.configurations = append([]*wire.ConfigurationVersion(nil), m.configurations[extra:]...)
	}
	m.rememberOperation(&wire.AppliedOperation{OperationId: r.OperationId, Version: next.Version, ContentHash: hash})
	m.indexConfiguration()
	return m.applied(next)
}

func (m *Machine) applied(v *wire.ConfigurationVersion) Result {
	return Result{Apply: &wire.ApplyConfigurationResponse{
		Outcome: wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, Current: v,
	}}
}

// version returns a past version; what history has dropped is made up from
// the request, which has the same content.
func (m *Machine) version(number uint64, r *wire.ApplyConfigurationRequest) *wire.ConfigurationVersion {
	for _, v := range m.configurations {
		if v.Version == number {
			return v
		}
	}
	return &wire.ConfigurationVersion{Version: number, Configuration: r.Configuration, OperationId: r.OperationId}
}

func (m *Machine) rememberOperation(o *wire.AppliedOperation) {
	m.operations = append(m.operations, o)
	m.operationByID[o.OperationId] = o
	if len(m.operations) > keptOperations {
		delete(m.operationByID, m.operations[0].OperationId)
		m.operations = m.operations[1:]
	}
}

func contentHash(c *wire.Configuration) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return 0 // can't be: it came out of a message
	}
	return xxhash.Sum64(data)
}

// openDispatch lets a non-idempotent request be sent once. The same nonce is
// the same dispatch, whose answer was lost; any other must not send.
func (m *Machine) openDispatch(d *wire.DispatchRecord) Result {
	key := pairKey(d.ClientAccount, d.RequestId)
	known := m.dispatches[key]
	if known == nil {
		known = proto.Clone(d).(*wire.DispatchRecord)
		known.State = wire.DispatchState_DISPATCH_STATE_OPEN
		m.dispatches[key] = known
	}
	granted := known.Nonce == d.Nonce && known.State == wire.DispatchState_DISPATCH_STATE_OPEN
	return Result{Dispatch: &wire.OpenDispatchResponse{Granted: granted, Recorded: proto.Clone(known).(*wire.DispatchRecord)}}
}

func (m *Machine) closeDispatch(d *wire.CloseDispatch) Result {
	key := pairKey(d.ClientAccount, d.RequestId)
	known := m.dispatches[key]
	if known == nil || known.Nonce != d.Nonce {
		return Result{}
	}
	if d.NotRun {
		delete(m.dispatches, key)
		return Result{}
	}
	known.State = wire.DispatchState_DISPATCH_STATE_COMPLETED
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
