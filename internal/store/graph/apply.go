// This file defines Apply and the commands for the catalog, jobs and agents.

package graph

import (
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// Errors of commands that change nothing.
var (
	ErrUnknownQueue        = errors.New("no such queue")
	ErrUnknownJob          = errors.New("no such job")
	ErrUnknownAgent        = errors.New("no such agent")
	ErrContentMismatch     = errors.New("the id names a job with other content")
	ErrSuperseded          = errors.New("the run isn't newer than the task's latest run")
	ErrNotReady            = errors.New("the task isn't ready to be placed")
	ErrIncarnationMismatch = errors.New("another incarnation is registered under the id")
	ErrAgentLeaving        = errors.New("the agent is leaving")
)

// Result is the outcome of a command.
type Result struct {
	Err error
	// PlacementErrors has an entry for each placement; nil if it was accepted.
	PlacementErrors []error
}

// Apply applies one committed command. At is the time recorded with the command.
func (g *Graph) Apply(at time.Time, c *wire.WorkCommand) Result {
	defer g.compactEndedJobs()
	switch body := c.GetBody().(type) {
	case *wire.WorkCommand_PutCatalog:
		return g.putCatalog(body.PutCatalog)
	case *wire.WorkCommand_Submit:
		return Result{Err: g.submit(at, body.Submit)}
	case *wire.WorkCommand_Cancel:
		return Result{Err: g.cancel(at, body.Cancel)}
	case *wire.WorkCommand_PutAgent:
		return Result{Err: g.putAgent(body.PutAgent)}
	case *wire.WorkCommand_TerminateAgent:
		return Result{Err: g.terminateAgent(body.TerminateAgent.Id)}
	case *wire.WorkCommand_DropAgent:
		return Result{Err: g.removeAgent(at, body.DropAgent)}
	case *wire.WorkCommand_Place:
		return g.placeRuns(at, body.Place)
	case *wire.WorkCommand_End:
		for _, e := range body.End.Ends {
			g.endRun(at, e)
		}
		return Result{}
	case *wire.WorkCommand_Learned:
		g.estimates = body.Learned
		return Result{}
	case *wire.WorkCommand_DrainDomain:
		return Result{Err: g.setDrained(at, body.DrainDomain)}
	case *wire.WorkCommand_SilentAgents:
		g.setLeaseExpiries(body.SilentAgents.Agents)
		return Result{}
	case *wire.WorkCommand_CrashReports:
		g.setCrashReports(body.CrashReports.Agents)
		return Result{}
	case *wire.WorkCommand_StateVersion:
		g.raiseVersion(at, body.StateVersion)
		return Result{}
	case *wire.WorkCommand_Forget:
		g.removeExpired(body.Forget.EndedBefore.AsTime())
		return Result{}
	default:
		return Result{}
	}
}

// putCatalog replaces the catalog by one of a higher version. Any other version is a late
// or repeated command and is ignored without an error.
func (g *Graph) putCatalog(c *wire.Catalog) Result {
	if c.Version <= g.catalog.Version {
		return Result{}
	}
	queues, pools := g.terms()
	g.setCatalog(c)
	if g.KeepsTerms() {
		g.keepTerms(queues, pools)
	}
	g.notifyChange()
	return Result{}
}

func (g *Graph) setCatalog(c *wire.Catalog) {
	g.catalog, g.catalogBytes = c, proto.Size(c)
	clear(g.queues)
	clear(g.queuesByHost)
	clear(g.pools)
	for _, q := range c.Queues {
		g.queues[q.Name] = q
		g.queuesByHost[q.Host] = append(g.queuesByHost[q.Host], q)
	}
	for _, p := range c.Pools {
		g.pools[p.Name] = p
	}
}

// submit accepts a job. It is idempotent: the same id with the same content is the same job. A
// job that was cancelled before is accepted as cancelled.
func (g *Graph) submit(at time.Time, s *wire.SubmitWork) error {
	if existing := g.jobs[s.Job]; existing != nil {
		if existing.Queue != s.Queue || !proto.Equal(existing.Spec, s.Spec) {
			return ErrContentMismatch
		}
		return nil
	}
	q := g.queues[s.Queue]
	if q == nil {
		return ErrUnknownQueue
	}
	g.sequence++
	j := &Job{
		ID: s.Job, Queue: s.Queue, Pool: q.Pool, Spec: s.Spec,
		State: wire.WorkState_WORK_STATE_QUEUED, AcceptedAt: at, Sequence: g.sequence,
	}
	j.buildStages()
	g.addJob(j)
	if g.earlyCancels.take(j.ID, j.Queue) {
		g.finishJob(at, j, wire.WorkState_WORK_STATE_CANCELLED)
	}
	g.notifyChange()
	return nil
}

func (g *Graph) addJob(j *Job) {
	g.jobs[j.ID] = j
	if !j.Started() {
		g.pendingJobs[j.Queue]++
	}
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			g.updateReady(s)
		}
	}
}

// updateReady updates the membership of a stage in the set of ready stages.
func (g *Graph) updateReady(s *Stage) {
	if !s.Ready() {
		delete(g.readyStages, s)
		return
	}
	if !g.readyStages[s] && g.OnStageReady != nil {
		g.OnStageReady(s)
	}
	g.readyStages[s] = true
}

// setState changes the state of a job, which never becomes queued again.
func (g *Graph) setState(j *Job, state wire.WorkState) {
	if !j.Started() {
		g.pendingJobs[j.Queue]--
	}
	j.State = state
}

// cancel ends a job. The leader stops its runs. If the job isn't known, its submission may come
// later.
func (g *Graph) cancel(at time.Time, c *wire.CancelWork) error {
	j := g.jobs[c.Job]
	if j == nil {
		g.earlyCancels.add(c.Job, c.Queue, at)
	}
	if j == nil || j.Queue != c.Queue {
		return ErrUnknownJob
	}
	g.finishJob(at, j, wire.WorkState_WORK_STATE_CANCELLED)
	return nil
}

func (g *Graph) finishJob(at time.Time, j *Job, state wire.WorkState) {
	if j.Ended() {
		return
	}
	g.setState(j, state)
	j.EndedAt = at
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			delete(g.readyStages, s)
			g.notifyRunAgents(s)
		}
	}
	if g.OnJobFinished != nil {
		g.OnJobFinished(j)
	}
	g.compactLater(j)
	g.notifyChange()
}

// notifyRunAgents reports a change of the agents on which runs of a stage may exist, so
// that the runs are stopped.
func (g *Graph) notifyRunAgents(s *Stage) {
	for _, t := range s.Tasks {
		g.notifyAgentChange(t.Agent)
	}
}

// putAgent registers an agent or updates its record.
func (g *Graph) putAgent(r *wire.Agent) error {
	if g.AgentRemoved(r.Id) {
		return ErrUnknownAgent
	}
	defer g.notifyAgentChange(r.Id)
	existing := g.agents[r.Id]
	if existing == nil {
		g.addAgent(r)
		g.notifyChange()
		return nil
	}
	if existing.Record.Incarnation != 0 && r.Incarnation != existing.Record.Incarnation {
		// Two incarnations of the agent reported before either was committed. The
		// registered runs belong to the first.
		return ErrIncarnationMismatch
	}
	g.setRecord(existing, WithShutdown(r, existing.Record))
	g.notifyChange()
	return nil
}

// WithShutdown returns a reported record with the progress of the shutdown that is registered: a
// report that says otherwise is an older one.
func WithShutdown(reported, registered *wire.Agent) *wire.Agent {
	leaving, terminating := reported.Leaving || registered.Leaving, reported.Terminating || registered.Terminating
	if leaving == reported.Leaving && terminating == reported.Terminating {
		return reported
	}
	r := proto.Clone(reported).(*wire.Agent)
	r.Leaving, r.Terminating = leaving, terminating
	return r
}

// terminateAgent records that an agent's process ends. Until it has, its runs may exist.
func (g *Graph) terminateAgent(id string) error {
	a := g.agents[id]
	if a == nil {
		return ErrUnknownAgent
	}
	g.setRecord(a, WithShutdown(a.Record, &wire.Agent{Leaving: true, Terminating: true}))
	g.notifyAgentChange(id)
	g.notifyChange()
	return nil
}

func (g *Graph) addAgent(r *wire.Agent) {
	a := &Agent{Record: r, Tasks: map[*Task]bool{}}
	g.agents[r.Id] = a
	g.agentsByName[AgentName(r)] = append(g.agentsByName[AgentName(r)], a)
}

// setRecord replaces the record of a registered agent.
func (g *Graph) setRecord(a *Agent, r *wire.Agent) {
	if AgentName(a.Record) != AgentName(r) {
		g.removeName(a)
		g.agentsByName[AgentName(r)] = append(g.agentsByName[AgentName(r)], a)
	}
	a.Record = r
}

// removeName removes an agent from the index by name.
func (g *Graph) removeName(a *Agent) {
	name := AgentName(a.Record)
	others := slices.DeleteFunc(g.agentsByName[name], func(o *Agent) bool { return o == a })
	if len(others) == 0 {
		delete(g.agentsByName, name)
		return
	}
	g.agentsByName[name] = others
}

// removeAgent removes an agent that has certainly ended, and releases its runs.
func (g *Graph) removeAgent(at time.Time, d *wire.DropAgent) error {
	agent := g.agents[d.Id]
	if agent == nil {
		return ErrUnknownAgent
	}
	for _, t := range sortedTasks(agent.Tasks) {
		g.releaseRun(t)
	}
	delete(g.agents, d.Id)
	g.removeName(agent)
	g.removedAgents[d.Id] = at
	g.notifyAgentChange(d.Id)
	g.notifyChange()
	return nil
}

// removeExpired removes ended jobs, early cancellations and the ids of removed agents after their
// retention.
func (g *Graph) removeExpired(endedBefore time.Time) {
	g.earlyCancels.removeBefore(endedBefore)
	for id, j := range g.jobs {
		if j.Ended() && j.EndedAt.Before(endedBefore) && !j.mayHaveRuns() {
			delete(g.jobs, id)
		}
	}
	if len(g.removed.queues) > 0 {
		g.keepTerms(g.terms())
	}
	for id, at := range g.removedAgents {
		if at.Before(endedBefore) {
			delete(g.removedAgents, id)
		}
	}
}

// ActiveRuns returns the number of the job's tasks with a run that may exist.
func (j *Job) ActiveRuns() int { return j.activeRuns }

// mayHaveRuns reports whether a run of the job may still exist.
func (j *Job) mayHaveRuns() bool { return j.activeRuns > 0 }
