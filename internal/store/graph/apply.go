// This file defines Apply and the commands about the catalog, jobs and agents.

package graph

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// Why a command changes nothing.
var (
	ErrUnknownQueue        = errors.New("no such queue")
	ErrUnknownJob          = errors.New("no such job")
	ErrUnknownAgent        = errors.New("no such agent")
	ErrContentMismatch     = errors.New("the id names a job with other content")
	ErrSuperseded          = errors.New("the run isn't the task's present one")
	ErrNotReady            = errors.New("the task isn't to be placed")
	ErrIncarnationMismatch = errors.New("another incarnation is registered under the id")
	ErrAgentLeaving        = errors.New("the agent is leaving")
)

// Result is what a command came to.
type Result struct {
	Err error
	// Placed tells for each placement whether it holds.
	PlacementErrors []error
}

// Apply carries out one committed command, at the time that it bears.
func (g *Graph) Apply(at time.Time, c *wire.WorkCommand) Result {
	switch body := c.GetBody().(type) {
	case *wire.WorkCommand_PutCatalog:
		return g.putCatalog(body.PutCatalog)
	case *wire.WorkCommand_Submit:
		return Result{Err: g.submit(at, body.Submit)}
	case *wire.WorkCommand_Cancel:
		return Result{Err: g.cancel(at, body.Cancel)}
	case *wire.WorkCommand_PutAgent:
		return Result{Err: g.putAgent(body.PutAgent)}
	case *wire.WorkCommand_DropAgent:
		return Result{Err: g.dropAgent(at, body.DropAgent)}
	case *wire.WorkCommand_Place:
		return g.place(body.Place)
	case *wire.WorkCommand_End:
		for _, e := range body.End.Ends {
			g.end(at, e)
		}
		return Result{}
	case *wire.WorkCommand_Learned:
		g.learned = body.Learned
		return Result{}
	case *wire.WorkCommand_DrainDomain:
		return Result{Err: g.drain(at, body.DrainDomain)}
	case *wire.WorkCommand_SilentAgents:
		g.noteSilence(body.SilentAgents.Agents)
		return Result{}
	case *wire.WorkCommand_Forget:
		g.forget(body.Forget.EndedBefore.AsTime())
		return Result{}
	default:
		return Result{}
	}
}

// putCatalog replaces the catalog by one of a higher version. Another one is
// a late or repeated send and changes nothing, which is no error.
func (g *Graph) putCatalog(c *wire.Catalog) Result {
	if c.Version <= g.catalog.Version {
		return Result{}
	}
	g.setCatalog(c)
	g.changed()
	return Result{}
}

func (g *Graph) setCatalog(c *wire.Catalog) {
	g.catalog = c
	clear(g.queues)
	clear(g.byHost)
	clear(g.pools)
	for _, q := range c.Queues {
		g.queues[q.Name] = q
		g.byHost[q.Host] = append(g.byHost[q.Host], q)
	}
	for _, p := range c.Pools {
		g.pools[p.Name] = p
	}
}

// submit accepts a job. The same id with the same content is the same job.
func (g *Graph) submit(at time.Time, s *wire.SubmitWork) error {
	if known := g.jobs[s.Job]; known != nil {
		if known.Queue != s.Queue || !proto.Equal(known.Spec, s.Spec) {
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
	j.build()
	g.addJob(j)
	g.changed()
	return nil
}

func (g *Graph) addJob(j *Job) {
	g.jobs[j.ID] = j
	if !j.begun && !j.Ended() {
		g.pending[j.Queue]++
	}
	for _, stages := range j.Occurrences {
		for _, s := range stages {
			g.noteReady(s)
		}
	}
}

// noteReady keeps the set of ready stages true for one stage.
func (g *Graph) noteReady(s *Stage) {
	if !s.Ready() {
		delete(g.ready, s)
		return
	}
	if !g.ready[s] && g.OnStageReady != nil {
		g.OnStageReady(s)
	}
	g.ready[s] = true
}

func (g *Graph) begin(j *Job) {
	if j.begun {
		return
	}
	j.begun = true
	g.pending[j.Queue]--
	if !j.Ended() {
		j.State = wire.WorkState_WORK_STATE_RUNNING
	}
}

// cancel ends a job. Its runs are stopped by the leader.
func (g *Graph) cancel(at time.Time, c *wire.CancelWork) error {
	j := g.jobs[c.Job]
	if j == nil || j.Queue != c.Queue {
		return ErrUnknownJob
	}
	g.finish(at, j, wire.WorkState_WORK_STATE_CANCELLED)
	return nil
}

func (g *Graph) finish(at time.Time, j *Job, state wire.WorkState) {
	if j.Ended() {
		return
	}
	if !j.begun {
		g.pending[j.Queue]--
		j.begun = true
	}
	j.State, j.EndedAt = state, at
	for _, stages := range j.Occurrences {
		for _, s := range stages {
			delete(g.ready, s)
			g.touchRuns(s)
		}
	}
	if g.OnJobFinished != nil {
		g.OnJobFinished(j)
	}
	j.thin()
	g.changed()
}

// touchRuns touches the agents on which runs of a stage may exist: they are to be
// stopped.
func (g *Graph) touchRuns(s *Stage) {
	for _, t := range s.Tasks {
		g.touch(t.Agent)
	}
}

// putAgent registers an agent or renews what is known of it. Leaving is for
// good: a report that says otherwise is an older one.
func (g *Graph) putAgent(r *wire.Agent) error {
	if g.AgentRemoved(r.Id) {
		return ErrUnknownAgent
	}
	defer g.touch(r.Id)
	known := g.agents[r.Id]
	if known == nil {
		g.agents[r.Id] = &Agent{Record: r, Tasks: map[*Task]bool{}}
		g.changed()
		return nil
	}
	if known.Record.Incarnation != 0 && r.Incarnation != known.Record.Incarnation {
		// Two processes of the agent reported before either was committed. The runs here
		// are the first one's.
		return ErrIncarnationMismatch
	}
	if known.Record.Leaving && !r.Leaving {
		// The command may be on its way to other replicas yet.
		r = proto.Clone(r).(*wire.Agent)
		r.Leaving = true
	}
	known.Record = r
	g.changed()
	return nil
}

// dropAgent forgets an agent that is surely gone, and with it all that ran
// there.
func (g *Graph) dropAgent(at time.Time, d *wire.DropAgent) error {
	r := g.agents[d.Id]
	if r == nil {
		return ErrUnknownAgent
	}
	for _, t := range sortedTasks(r.Tasks) {
		g.release(t)
	}
	delete(g.agents, d.Id)
	g.dropped[d.Id] = at
	g.touch(d.Id)
	g.changed()
	return nil
}

func (g *Graph) forget(endedBefore time.Time) {
	for id, j := range g.jobs {
		if j.Ended() && j.EndedAt.Before(endedBefore) && !j.mayRun() {
			delete(g.jobs, id)
		}
	}
	for id, at := range g.dropped {
		if at.Before(endedBefore) {
			delete(g.dropped, id)
		}
	}
}

// mayRun tells whether a run of the job may still exist somewhere.
func (j *Job) mayRun() bool { return j.placed > 0 }
