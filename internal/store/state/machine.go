// This file defines Machine, its queries and its snapshots.

// Package state implements the replicated state machine of the control replicas:
// configuration, jobs, workers and their resources, and the dispatch records of non-idempotent
// requests.
//
// Apply is deterministic: time and randomness only come from the committed command. All
// invariants of placements are checked here rather than in the planner, because a proposal may
// be based on an older state.
package state

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// maxConfigurationHistory and maxHistoryBytes limit the configuration versions kept, by number and
	// by size. The current version is always kept.
	maxConfigurationHistory = 200
	maxHistoryBytes         = 4 << 20
	// maxOperationHistory is the number of operation IDs kept to detect retries. At 3,700
	// changes a day they cover more than two days of retries.
	maxOperationHistory = 10000
	// defaultMaxFailures applies to job kinds that don't set MaxFailures.
	defaultMaxFailures = 3
	// maxWorkerCrashes is the number of worker crashes soon after a job's start at which
	// the job fails. Each crash affects all jobs on the worker, at most one of which is the
	// cause, so the limit must not be reached by coincidence.
	maxWorkerCrashes = 5
	// crashWindow is the time after a job's start in which a lost worker counts as a crash.
	// It covers some seconds of execution and the expiry of the worker's lease. The lease is
	// 4 s unless set otherwise.
	crashWindow = 20 * time.Second
)

type (
	// Worker is a registered worker and the tasks running on it.
	Worker struct {
		Record *wire.Worker
		// Quarantine is the reason why the worker gets no tasks, or empty.
		Quarantine string
		// Committed is the sum of the resources of Tasks.
		Committed Resources
		// Tasks holds the running attempts by job ID.
		Tasks map[string]*wire.Job
	}

	// Options configures a Machine. It must be the same at all replicas.
	Options struct {
		// Retention is how long a job is kept after its end.
		Retention time.Duration
		// Unversioned makes the state follow the rules of earlier releases until a snapshot or a
		// command says that all replicas know later ones.
		Unversioned bool
		// OnJobChange is called after each change of a job, which it must not modify.
		OnJobChange func(*wire.Job)
	}

	// Machine is the replicated state machine. It isn't safe for concurrent use.
	Machine struct {
		options        Options
		configurations []*wire.ConfigurationVersion
		historyBytes   int // of configurations
		jobs           map[string]*wire.Job
		jobIDByKey     map[string]string
		workers        map[string]*Worker
		sortedWorkers  []*Worker // nil after a worker was added or removed
		quarantines    map[string]string
		dispatches     map[string]*wire.DispatchRecord
		operations     []*wire.AppliedOperation
		operationByID  map[string]*wire.AppliedOperation
		usedByAccount  map[string]Resources
		queues         map[string]*queue
		runningCount   int
		nextSequence   uint64
		finishedCount  uint64
		jobKinds       map[string]*wire.JobKind
		accounts       map[string]*wire.ClientAccount
		removed        terms // that the configuration no longer has
		graph          *graph.Graph
	}
)

// New returns an empty state machine.
func New(options Options) *Machine {
	m := &Machine{options: options, graph: graph.New()}
	if options.Unversioned {
		m.graph.AssumeUnversioned()
	}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.configurations, m.historyBytes, m.operations = nil, 0, nil
	m.jobs = map[string]*wire.Job{}
	m.jobIDByKey = map[string]string{}
	m.workers, m.sortedWorkers = map[string]*Worker{}, nil
	m.quarantines = map[string]string{}
	m.dispatches = map[string]*wire.DispatchRecord{}
	m.operationByID = map[string]*wire.AppliedOperation{}
	m.usedByAccount = map[string]Resources{}
	m.queues = map[string]*queue{}
	m.jobKinds = map[string]*wire.JobKind{}
	m.accounts = map[string]*wire.ClientAccount{}
	m.removed = terms{}
	m.runningCount, m.nextSequence, m.finishedCount = 0, 0, 0
}

// Configuration returns the current configuration; version 0 is the empty one.
func (m *Machine) Configuration() *wire.ConfigurationVersion {
	if len(m.configurations) == 0 {
		return &wire.ConfigurationVersion{Configuration: &wire.Configuration{}}
	}
	return m.configurations[len(m.configurations)-1]
}

// History returns up to limit configuration versions, newest first.
func (m *Machine) History(limit int) []*wire.ConfigurationVersion {
	var versions []*wire.ConfigurationVersion
	for i := len(m.configurations) - 1; i >= 0 && len(versions) < limit; i-- {
		versions = append(versions, m.configurations[i])
	}
	return versions
}

// ConfigurationBytes returns the size of the configuration with its history and of the catalog. A new
// version replaces others, unlike a job, which adds to the state.
func (m *Machine) ConfigurationBytes() int { return m.historyBytes + m.graph.CatalogBytes() }

// Graph returns the part of the state that manages jobs with steps.
func (m *Machine) Graph() *graph.Graph { return m.graph }

// Job returns a job, or nil. The job must not be modified.
func (m *Machine) Job(id string) *wire.Job {
	return m.jobs[id]
}

// Jobs returns up to limit jobs with a sequence number above after, in submission order. An
// empty account matches all accounts, and an unspecified state all states.
func (m *Machine) Jobs(account string, state wire.JobState, after uint64, limit int) []*wire.Job {
	var jobs []*wire.Job
	for _, j := range m.jobs {
		matchesAccount := account == "" || j.Spec.ClientAccount == account
		matchesState := state == wire.JobState_JOB_STATE_UNSPECIFIED || j.State == state
		if matchesAccount && matchesState && j.Sequence > after {
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

// Drained reports whether a worker's failure domain is drained, so that it gets no new
// work.
func (m *Machine) Drained(w *Worker) bool { return m.graph.Drained(w.Record.FailureDomain) }

// Workers returns all registered workers by ID. The map must not be modified.
func (m *Machine) Workers() map[string]*Worker {
	return m.workers
}

// SortedWorkers returns the registered workers ordered by ID. The slice must not be
// modified.
func (m *Machine) SortedWorkers() []*Worker {
	if m.sortedWorkers == nil {
		for _, w := range m.workers {
			m.sortedWorkers = append(m.sortedWorkers, w)
		}
		sort.Slice(m.sortedWorkers, func(i, k int) bool {
			return m.sortedWorkers[i].Record.WorkerId < m.sortedWorkers[k].Record.WorkerId
		})
	}
	return m.sortedWorkers
}

// Quarantines returns the quarantine reasons by worker ID, including workers that aren't
// registered. The map must not be modified.
func (m *Machine) Quarantines() map[string]string {
	return m.quarantines
}

// Used returns the resources of an account's running tasks.
func (m *Machine) Used(account string) Resources {
	return m.usedByAccount[account]
}

// Counts returns the number of queued, running and finished jobs.
func (m *Machine) Counts() (queued, running int, finished uint64) {
	for _, q := range m.queues {
		queued += q.len()
	}
	return queued, m.runningCount, m.finishedCount
}

// Dispatch returns the dispatch record of a non-idempotent request, or nil.
func (m *Machine) Dispatch(account, requestID string) *wire.DispatchRecord {
	return m.dispatches[accountKey(account, requestID)]
}

// AccountsWithQueuedJobs returns the names of the accounts that have queued jobs, sorted.
func (m *Machine) AccountsWithQueuedJobs() []string {
	var names []string
	for n, q := range m.queues {
		if q.len() > 0 {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// Queued calls visit for each queued job of an account, urgent ones first and then in
// submission order, until visit returns false.
func (m *Machine) Queued(account string, visit func(*wire.Job) bool) {
	if q := m.queues[account]; q != nil {
		q.forEach(visit)
	}
}

// Save serializes the state for a snapshot.
func (m *Machine) Save() ([]byte, error) {
	s := &wire.MachineState{
		Configurations: m.configurations,
		Operations:     m.operations,
		NextSequence:   m.nextSequence,
		Finished:       m.finishedCount,
		Quarantines:    m.quarantines,
		Work:           m.graph.Save(),
	}
	m.removed.save(s)
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
		return accountKey(s.Dispatches[i].ClientAccount, s.Dispatches[i].RequestId) < accountKey(s.Dispatches[k].ClientAccount, s.Dispatches[k].RequestId)
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Load replaces the state by a saved one. Sums and queues are recomputed.
func (m *Machine) Load(data []byte) error {
	s := &wire.MachineState{}
	if err := proto.Unmarshal(data, s); err != nil {
		return err
	}
	m.reset()
	m.nextSequence, m.finishedCount = s.NextSequence, s.Finished
	for _, v := range s.Configurations {
		m.addConfiguration(v)
	}
	for _, o := range s.Operations {
		m.recordOperation(o)
	}
	if err := m.graph.Load(s.Work); err != nil {
		return err
	}
	m.indexConfiguration()
	m.removed.load(s)
	for id, r := range s.Quarantines {
		m.quarantines[id] = r
	}
	for _, w := range s.Workers {
		m.addWorker(w)
	}
	for _, d := range s.Dispatches {
		m.dispatches[accountKey(d.ClientAccount, d.RequestId)] = d
	}
	for _, j := range s.Jobs {
		m.jobs[j.JobId] = j
		m.jobIDByKey[accountKey(j.Spec.ClientAccount, j.IdempotencyKey)] = j.JobId
		switch j.State {
		case wire.JobState_JOB_STATE_QUEUED:
			m.queueOf(j).push(j)
		case wire.JobState_JOB_STATE_RUNNING:
			m.reserveTask(j)
		default:
		}
	}
	return nil
}

func (m *Machine) addWorker(w *wire.Worker) {
	m.sortedWorkers = nil
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
	clear(m.jobKinds)
	clear(m.accounts)
	c := m.Configuration().Configuration
	for _, a := range c.ClientAccounts {
		m.accounts[a.Name] = a
	}
	for _, k := range c.JobKinds {
		m.jobKinds[accountKey(k.ClientAccount, k.Name)] = k
	}
}

func accountKey(account, name string) string {
	return account + "\x00" + name
}
