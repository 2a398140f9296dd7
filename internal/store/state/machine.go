// This file defines Machine, the replicated state, and how it is read.

// Package state is the deterministic state that all control replicas build
// from the log: configuration, jobs, what workers are committed to, and the
// records of non-idempotent requests.
//
// Apply is pure: time and chance enter only as data of a committed command.
// Every promise about commitments is checked here and not by the planner that
// proposes, since a proposal may be older than the state it meets.
package state

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// keptConfigurations is how many versions history shows.
	keptConfigurations = 200
	// keptOperations is how many operation ids are remembered; at 3,700
	// changes a day that is over two days of resends.
	keptOperations = 10000
	// defaultMaxFailures is used where a job kind names none.
	defaultMaxFailures = 3
	// maxWorkerCrashes is how many workers may crash soon after a job has started there
	// before it fails. Each takes all that runs there along; of the jobs that go with it
	// at most one is the cause, and those aren't to reach this by chance.
	maxWorkerCrashes = 5
	// crashWindow is how soon a worker has to be lost after a job's start for the job to
	// be a possible cause: some seconds of work, and the lease that has to run out first,
	// 4 s unless set otherwise.
	crashWindow = 20 * time.Second
)

type (
	// Worker is a registered worker and what is committed on it.
	Worker struct {
		Record *wire.Worker
		// Quarantine is why it gets no tasks; empty when it may.
		Quarantine string
		Committed  Resources
		// Tasks are the running attempts, by job id.
		Tasks map[string]*wire.Job
	}

	// Options are the same at all replicas.
	Options struct {
		// Retention is how long ended jobs are kept after their end.
		Retention time.Duration
		// OnJobChange is called after each change of a job. It must not change it.
		OnJobChange func(*wire.Job)
	}

	// Machine is the state. It isn't safe for concurrent use.
	Machine struct {
		options        Options
		configurations []*wire.ConfigurationVersion
		jobs           map[string]*wire.Job
		keys           map[string]string
		workers        map[string]*Worker
		sorted         []*Worker // nil when workers came or went
		quarantines    map[string]string
		dispatches     map[string]*wire.DispatchRecord
		operations     []*wire.AppliedOperation
		operationByID  map[string]*wire.AppliedOperation
		used           map[string]Resources
		queues         map[string]*queue
		running        int
		nextSequence   uint64
		finished       uint64
		kinds          map[string]*wire.JobKind
		accounts       map[string]*wire.ClientAccount
		graph          *graph.Graph
	}
)

// New returns the empty state.
func New(options Options) *Machine {
	m := &Machine{options: options, graph: graph.New()}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.configurations, m.operations = nil, nil
	m.jobs = map[string]*wire.Job{}
	m.keys = map[string]string{}
	m.workers, m.sorted = map[string]*Worker{}, nil
	m.quarantines = map[string]string{}
	m.dispatches = map[string]*wire.DispatchRecord{}
	m.operationByID = map[string]*wire.AppliedOperation{}
	m.used = map[string]Resources{}
	m.queues = map[string]*queue{}
	m.kinds = map[string]*wire.JobKind{}
	m.accounts = map[string]*wire.ClientAccount{}
	m.running, m.nextSequence, m.finished = 0, 0, 0
}

// Configuration returns the version in force; version 0 is the empty one.
func (m *Machine) Configuration() *wire.ConfigurationVersion {
	if len(m.configurations) == 0 {
		return &wire.ConfigurationVersion{Configuration: &wire.Configuration{}}
	}
	return m.configurations[len(m.configurations)-1]
}

// History returns up to limit versions, the newest first.
func (m *Machine) History(limit int) []*wire.ConfigurationVersion {
	var versions []*wire.ConfigurationVersion
	for i := len(m.configurations) - 1; i >= 0 && len(versions) < limit; i-- {
		versions = append(versions, m.configurations[i])
	}
	return versions
}

// Graph returns the part of the state that holds the jobs of steps.
func (m *Machine) Graph() *graph.Graph { return m.graph }

// Kind returns a job kind of a client account, or nil.
func (m *Machine) Kind(account, kind string) *wire.JobKind {
	return m.kinds[pairKey(account, kind)]
}

// Account returns a client account, or nil.
func (m *Machine) Account(name string) *wire.ClientAccount {
	return m.accounts[name]
}

// Job returns a job, or nil. It must not be changed.
func (m *Machine) Job(id string) *wire.Job {
	return m.jobs[id]
}

// Jobs returns the jobs of an account in submission order; all accounts where
// it is empty, all states where that is unspecified.
func (m *Machine) Jobs(account string, state wire.JobState, after uint64, limit int) []*wire.Job {
	var jobs []*wire.Job
	for _, j := range m.jobs {
		rightAccount := account == "" || j.Spec.ClientAccount == account
		rightState := state == wire.JobState_JOB_STATE_UNSPECIFIED || j.State == state
		if rightAccount && rightState && j.Sequence > after {
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].Sequence < jobs[k].Sequence })
	return jobs[:min(limit, len(jobs))]
}

// Worker returns a registered worker, or nil.
func (m *Machine) Worker(id string) *Worker {
	return m.workers[id]
}

// Drained tells whether a worker's failure domain gets no new work.
func (m *Machine) Drained(w *Worker) bool { return m.graph.Drained(w.Record.FailureDomain) }

// Workers returns all registered workers by id. It must not be changed.
func (m *Machine) Workers() map[string]*Worker {
	return m.workers
}

// SortedWorkers returns the registered workers in the order of their ids. It
// must not be changed.
func (m *Machine) SortedWorkers() []*Worker {
	if m.sorted == nil {
		for _, w := range m.workers {
			m.sorted = append(m.sorted, w)
		}
		sort.Slice(m.sorted, func(i, k int) bool {
			return m.sorted[i].Record.WorkerId < m.sorted[k].Record.WorkerId
		})
	}
	return m.sorted
}

// Quarantines returns the reasons by worker id, of workers that aren't
// registered now as well. It must not be changed.
func (m *Machine) Quarantines() map[string]string {
	return m.quarantines
}

// Used is what an account's running tasks hold.
func (m *Machine) Used(account string) Resources {
	return m.used[account]
}

// Counts returns the number of queued, running and finished jobs.
func (m *Machine) Counts() (queued, running int, finished uint64) {
	for _, q := range m.queues {
		queued += q.len()
	}
	return queued, m.running, m.finished
}

// Dispatch returns the record of a non-idempotent request, or nil.
func (m *Machine) Dispatch(account, requestID string) *wire.DispatchRecord {
	return m.dispatches[pairKey(account, requestID)]
}

// Accounts returns the accounts that have queued jobs, in the order of names.
func (m *Machine) AccountsWithQueuedJobs() []string {
	var names []string
	for name, q := range m.queues {
		if q.len() > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Queued calls visit with the queued jobs of an account, urgent ones first and
// then in submission order, until it returns false.
func (m *Machine) Queued(account string, visit func(*wire.Job) bool) {
	if q := m.queues[account]; q != nil {
		q.each(visit)
	}
}

// Save serializes the state.
func (m *Machine) Save() ([]byte, error) {
	s := &wire.MachineState{
		Configurations: m.configurations,
		Operations:     m.operations,
		NextSequence:   m.nextSequence,
		Finished:       m.finished,
		Quarantines:    m.quarantines,
		Work:           m.graph.Save(),
	}
	for _, j := range m.jobs {
		s.Jobs = append(s.Jobs, j)
	}
	sort.Slice(s.Jobs, func(i, k int) bool { return s.Jobs[i].Sequence < s.Jobs[k].Sequence })
	for _, w := range m.workers {
		s.Workers = append(s.Workers, w.Record)
	}
	sort.Slice(s.Workers, func(i, k int) bool { return s.Workers[i].WorkerId < s.Workers[k].WorkerId })
	for _, d := range m.dispatches {
		s.Dispatches = append(s.Dispatches, d)
	}
	sort.Slice(s.Dispatches, func(i, k int) bool {
		return pairKey(s.Dispatches[i].ClientAccount, s.Dispatches[i].RequestId) < pairKey(s.Dispatches[k].ClientAccount, s.Dispatches[k].RequestId)
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Load replaces the state by a saved one. Sums and queues are worked out anew.
func (m *Machine) Load(data []byte) error {
	s := &wire.MachineState{}
	if err := proto.Unmarshal(data, s); err != nil {
		return err
	}
	m.reset()
	m.configurations, m.nextSequence, m.finished = s.Configurations, s.NextSequence, s.Finished
	for _, o := range s.Operations {
		m.rememberOperation(o)
	}
	m.graph.Load(s.Work)
	m.indexConfiguration()
	for id, reason := range s.Quarantines {
		m.quarantines[id] = reason
	}
	for _, w := range s.Workers {
		m.addWorker(w)
	}
	for _, d := range s.Dispatches {
		m.dispatches[pairKey(d.ClientAccount, d.RequestId)] = d
	}
	for _, j := range s.Jobs {
		m.jobs[j.JobId] = j
		m.keys[pairKey(j.Spec.ClientAccount, j.IdempotencyKey)] = j.JobId
		switch j.State {
		case wire.JobState_JOB_STATE_QUEUED:
			m.queueOf(j).push(j)
		case wire.JobState_JOB_STATE_RUNNING:
			m.commitTask(j)
		default:
		}
	}
	return nil
}

func (m *Machine) addWorker(w *wire.Worker) {
	m.sorted = nil
	m.workers[w.WorkerId] = &Worker{Record: w, Quarantine: m.quarantines[w.WorkerId], Tasks: map[string]*wire.Job{}}
}

func (m *Machine) queueOf(j *wire.Job) *queue {
	q := m.queues[j.Spec.ClientAccount]
	if q == nil {
		q = &queue{}
		m.queues[j.Spec.ClientAccount] = q
	}
	return q
}

func (m *Machine) indexConfiguration() {
	clear(m.kinds)
	clear(m.accounts)
	c := m.Configuration().Configuration
	for _, a := range c.ClientAccounts {
		m.accounts[a.Name] = a
	}
	for _, k := range c.JobKinds {
		m.kinds[pairKey(k.ClientAccount, k.Name)] = k
	}
}

func pairKey(account, name string) string {
	return account + "\x00" + name
}
