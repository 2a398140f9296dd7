// This file defines Graph and how it is read.

// Package graph is the replicated state of jobs that are made of steps and
// tasks: the catalog of queues, the jobs, and which run of which task may
// exist on which agent.
//
// Apply is pure: time enters only as data of a committed command. A run is in
// this state before the first order for it leaves, so any leader knows every
// run that may exist. It leaves the state only with an end that is certain.
package graph

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Agent is a registered incarnation of a worker and what may run there.
	Agent struct {
		Record *wire.Agent
		// Tasks are those whose present run may exist on this agent.
		Tasks map[*Task]bool
		// Silence is nil for one that answers.
		LeaseExpiry *LeaseExpiry
	}

	// Graph is the state. The zero value isn't usable; see New. It isn't safe
	// for concurrent use.
	Graph struct {
		catalog       *wire.Catalog
		queues        map[string]*wire.Queue
		queuesByHost  map[string][]*wire.Queue
		pools         map[string]*wire.WorkerPool
		jobs          map[string]*Job
		agents        map[string]*Agent
		removedAgents map[string]time.Time
		readyStages   map[*Stage]bool
		pendingJobs   map[string]int // accepted jobs without a begun task, by queue
		sequence      uint64
		estimates     *wire.Learned
		drains        drainState
		// Changed is called after each command that may have changed what is to
		// be placed or where it may go; nil is allowed.
		OnChange func()
		// Touched is called with the id of each agent whose record, runs or runs' jobs a
		// command changed; nil is allowed. Whoever follows the state looks at those
		// alone, and not at every run of thousands of agents in each turn.
		OnAgentChange func(agent string)
		// Readied is called with each stage that comes to have tasks to place; nil is
		// allowed.
		OnStageReady func(*Stage)
		// Finished is called with each job that reaches its final state by a
		// command; nil is allowed.
		OnJobFinished func(*Job)
		// Boot is a clock that also counts suspension. What it shows is no part of the
		// replicated state.
		BootClock func() time.Duration
	}
)

// New returns the empty state.
func New() *Graph {
	g := &Graph{BootClock: boot.Now}
	g.reset()
	return g
}

func (g *Graph) reset() {
	g.catalog = &wire.Catalog{}
	g.queues = map[string]*wire.Queue{}
	g.queuesByHost = map[string][]*wire.Queue{}
	g.pools = map[string]*wire.WorkerPool{}
	g.jobs = map[string]*Job{}
	g.agents = map[string]*Agent{}
	g.removedAgents = map[string]time.Time{}
	g.readyStages = map[*Stage]bool{}
	g.pendingJobs = map[string]int{}
	g.sequence = 0
	g.estimates = nil
	g.drains = drainState{since: map[string]time.Time{}}
}

// Catalog returns the catalog in force; version 0 is the empty one. It must
// not be changed.
func (g *Graph) Catalog() *wire.Catalog { return g.catalog }

// Queue returns the queue of a name, or nil.
func (g *Graph) Queue(name string) *wire.Queue { return g.queues[name] }

// Pool returns the pool of a name, or nil.
func (g *Graph) Pool(name string) *wire.WorkerPool { return g.pools[name] }

// Job returns a job, or nil.
func (g *Graph) Job(id string) *Job { return g.jobs[id] }

// Jobs returns all jobs in the order in which they were accepted.
func (g *Graph) Jobs() []*Job {
	jobs := make([]*Job, 0, len(g.jobs))
	for _, j := range g.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].Sequence < jobs[k].Sequence })
	return jobs
}

// Agent returns a registered agent, or nil.
func (g *Graph) Agent(id string) *Agent { return g.agents[id] }

// Agents returns the registered agents by id. It must not be changed.
func (g *Graph) Agents() map[string]*Agent { return g.agents }

// Dropped tells whether an agent of this id was dropped, and must not come
// back: what it reports was sent before its end was settled.
func (g *Graph) AgentRemoved(id string) bool {
	_, ok := g.removedAgents[id]
	return ok
}

// Learned is what earlier leaders learned of the work, or nil. It must not be
// changed.
func (g *Graph) Estimates() *wire.Learned { return g.estimates }

// Pending is the number of accepted jobs of a queue of which no task has begun.
func (g *Graph) PendingJobs(queue string) int { return g.pendingJobs[queue] }

// Ready returns the stages that have tasks to place, whether due yet or not,
// in the order in which their jobs were accepted.
func (g *Graph) SortedReadyStages() []*Stage {
	stages := g.ReadyStages()
	sort.Slice(stages, func(i, k int) bool { return stages[i].Before(stages[k]) })
	return stages
}

// ReadyStages returns the same stages in no order.
func (g *Graph) ReadyStages() []*Stage {
	stages := make([]*Stage, 0, len(g.readyStages))
	for s := range g.readyStages {
		stages = append(stages, s)
	}
	return stages
}

// Find returns the task that a run id names, or nil.
func (g *Graph) FindTask(id *wire.RunId) *Task {
	j := g.jobs[id.GetJob()]
	if j == nil || int(id.Occurrence) >= len(j.Occurrences) {
		return nil
	}
	stages := j.Occurrences[id.Occurrence]
	if int(id.Step) >= len(stages) || int(id.Index) >= len(stages[id.Step].Tasks) {
		return nil
	}
	return stages[id.Step].Tasks[id.Index]
}

func (g *Graph) notifyChange() {
	if g.OnChange != nil {
		g.OnChange()
	}
}

func (g *Graph) notifyAgentChange(agent string) {
	if g.OnAgentChange != nil && agent != "" {
		g.OnAgentChange(agent)
	}
}
