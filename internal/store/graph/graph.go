// This file defines Graph and its read methods.

// Package graph is the replicated state of jobs made of steps and tasks: the catalog of
// queues, the jobs, and the runs of tasks that may exist on each agent.
//
// Apply is deterministic: times come only from committed commands. A run is added to the
// state before the first order for it is sent, so every leader knows all runs that may
// exist. It is removed only when it has certainly ended.
package graph

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Agent is a registered agent and the tasks that may run there.
	Agent struct {
		Record *wire.Agent
		// Tasks are the tasks whose latest run may exist on this agent.
		Tasks map[*Task]bool
		// LeaseExpiry is nil unless the agent is unreachable.
		LeaseExpiry *LeaseExpiry
		// CrashReport is nil unless the agent has probably crashed.
		CrashReport *wire.CrashReport
	}

	// Graph is the replicated state of jobs and agents. New returns an empty one; the zero
	// value isn't usable. It isn't safe for concurrent use.
	Graph struct {
		catalog       *wire.Catalog
		catalogBytes  int
		queues        map[string]*wire.Queue // of the catalog, like queuesByHost and pools
		queuesByHost  map[string][]*wire.Queue
		pools         map[string]*wire.WorkerPool
		removed       removedTerms
		jobs          map[string]*Job
		agents        map[string]*Agent
		agentsByName  map[string][]*Agent  // by the agents' own ids
		removedAgents map[string]time.Time // when each was removed
		readyStages   map[*Stage]bool
		uncompacted   []*Job         // jobs to compact at the end of the current command
		pendingJobs   map[string]int // accepted jobs without a placed task, by queue
		sequence      uint64
		estimates     *wire.Learned
		drains        drainState
		// stateVersion is the version of the rules; initialVersion is that of a state without one.
		stateVersion, initialVersion uint32
		earlyCancels                 earlyCancellations
		// OnChange, if set, is called after each command that may have changed which
		// tasks are ready or where they can be placed.
		OnChange func()
		// OnAgentChange, if set, is called with the id of each agent whose record, runs or
		// runs' jobs a command changed, so that only those agents need to be synced.
		OnAgentChange func(agent string)
		// OnStageReady, if set, is called with each stage that becomes ready.
		OnStageReady func(*Stage)
		// OnJobFinished, if set, is called with each job that a command brings to its final
		// state.
		OnJobFinished func(*Job)
		// BootClock is a clock that also runs while the machine is suspended. Its readings
		// aren't part of the replicated state.
		BootClock func() time.Duration
	}
)

// New returns an empty state.
func New() *Graph {
	g := &Graph{BootClock: boot.Now, initialVersion: Version}
	g.reset()
	return g
}

func (g *Graph) reset() {
	g.catalog, g.catalogBytes = &wire.Catalog{}, 0
	g.queues = map[string]*wire.Queue{}
	g.queuesByHost = map[string][]*wire.Queue{}
	g.pools = map[string]*wire.WorkerPool{}
	g.removed = removedTerms{}
	g.jobs = map[string]*Job{}
	g.agents, g.agentsByName = map[string]*Agent{}, map[string][]*Agent{}
	g.removedAgents = map[string]time.Time{}
	g.readyStages = map[*Stage]bool{}
	g.pendingJobs = map[string]int{}
	g.sequence = 0
	g.stateVersion = g.initialVersion
	g.estimates = nil
	g.drains = drainState{since: map[string]time.Time{}}
	g.earlyCancels = earlyCancellations{}
}

// Catalog returns the current catalog; version 0 is the empty one. It must not be modified.
func (g *Graph) Catalog() *wire.Catalog { return g.catalog }

// CatalogBytes returns the size of the current catalog.
func (g *Graph) CatalogBytes() int { return g.catalogBytes }

// Job returns a job, or nil.
func (g *Graph) Job(id string) *Job { return g.jobs[id] }

// Jobs returns all jobs in the order of their acceptance.
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

// Agents returns the registered agents by id. The map must not be modified.
func (g *Graph) Agents() map[string]*Agent { return g.agents }

// AgentsByName returns the registered processes of the agent with an own id, in no
// particular order.
func (g *Graph) AgentsByName(name string) []*Agent { return g.agentsByName[name] }

// AgentName returns the agent's own id, under which its processes are the same agent.
func AgentName(r *wire.Agent) string {
	if r.Name != "" {
		return r.Name
	}
	return r.Id
}

// AgentRemoved reports whether an agent with this id was removed. It must not be registered
// again: its reports were sent before its removal.
func (g *Graph) AgentRemoved(id string) bool {
	_, ok := g.removedAgents[id]
	return ok
}

// Estimates returns the estimates saved by earlier leaders, or nil. They must not be
// modified.
func (g *Graph) Estimates() *wire.Learned { return g.estimates }

// PendingJobs returns the number of accepted jobs of a queue without a placed task.
func (g *Graph) PendingJobs(queue string) int { return g.pendingJobs[queue] }

// SortedReadyStages returns the ready stages, due or not, in the order of Stage.Before.
func (g *Graph) SortedReadyStages() []*Stage {
	stages := g.ReadyStages()
	sort.Slice(stages, func(i, k int) bool { return stages[i].Before(stages[k]) })
	return stages
}

// ReadyStages returns the ready stages, due or not, in no particular order.
func (g *Graph) ReadyStages() []*Stage {
	stages := make([]*Stage, 0, len(g.readyStages))
	for s := range g.readyStages {
		stages = append(stages, s)
	}
	return stages
}

// FindTask returns the task of a run id, or nil.
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
