// This file defines how the state is saved to and loaded from snapshots.

package graph

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/schema/wire"
)

// Save returns the state for a snapshot. It shares records with the state and
// must be serialized before the next Apply.
func (g *Graph) Save() *wire.WorkImage {
	image := &wire.WorkImage{Catalog: g.catalog, NextSequence: g.sequence, Learned: g.estimates, Dropped: map[string]*timestamppb.Timestamp{}, StateVersion: g.stateVersion}
	for _, j := range g.Jobs() {
		image.Jobs = append(image.Jobs, saveJob(j))
	}
	for _, a := range g.agents {
		image.Agents = append(image.Agents, a.Record)
	}
	sort.Slice(image.Agents, func(i, k int) bool { return image.Agents[i].Id < image.Agents[k].Id })
	for id, at := range g.removedAgents {
		image.Dropped[id] = timestamppb.New(at)
	}
	g.removed.save(image)
	g.drains.save(image)
	image.SilentAgents = g.saveLeaseExpiries()
	image.CrashReports = g.saveCrashReports()
	image.EarlyCancellations = g.earlyCancels.save()
	return image
}

// Record returns the job with all its tasks that were placed. It shares the spec with the
// state.
func (j *Job) Record() *wire.WorkJob {
	record := saveJob(j)
	for _, s := range record.EndedStages {
		record.Tasks = append(record.Tasks, tasksFromSummary(s)...)
	}
	record.EndedStages = nil
	return record
}

func saveJob(j *Job) *wire.WorkJob {
	saved := &wire.WorkJob{
		Id: j.ID, Queue: j.Queue, Pool: j.Pool, Spec: j.Spec, State: j.State, Sequence: j.Sequence,
		AcceptedAt: timestamppb.New(j.AcceptedAt),
	}
	if j.Ended() {
		saved.EndedAt = timestamppb.New(j.EndedAt)
	}
	for _, ss := range j.Occurrences {
		for _, s := range ss {
			if s.summary != nil {
				saved.EndedStages = append(saved.EndedStages, s.summary)
			}
			for _, t := range s.Tasks {
				if t.Run == 0 && !t.Done && t.savedFailures() == 0 {
					continue
				}
				saved.Tasks = append(saved.Tasks, saveTask(t))
			}
		}
	}
	return saved
}

// savedFailures returns the failures that are saved with the task. Those of a gang are saved with its
// first member, as earlier releases do.
func (t *Task) savedFailures() uint32 {
	if t.Index == 0 {
		return t.attemptFailures()
	}
	return t.Failures
}

func saveTask(t *Task) *wire.WorkTask {
	saved := &wire.WorkTask{
		Occurrence: t.Stage.Occurrence, Step: t.Stage.Index, Index: t.Index, Run: t.Run, Failures: t.savedFailures(),
		Done: t.Done, Checkpoint: t.Checkpoint, Agent: t.Agent,
		Crashes: t.Crashes, StartCrashes: t.StartCrashes, PresumedCrashes: t.PresumedCrashes,
	}
	if t.Index == 0 {
		saved.FailedRun = t.Stage.failedRun
	}
	if t.Agent != "" && t.PlacedAt != 0 {
		saved.PlacedAt = timestamppb.New(time.UnixMilli(t.PlacedAt))
	}
	return saved
}

// Load replaces the state by a saved one; nil is the empty state.
func (g *Graph) Load(image *wire.WorkImage) error {
	g.reset()
	if image == nil {
		return nil
	}
	if image.StateVersion > Version {
		return ErrLaterVersion
	}
	g.stateVersion = max(g.stateVersion, image.StateVersion)
	if image.Catalog != nil {
		g.setCatalog(image.Catalog)
	}
	g.sequence = image.NextSequence
	g.estimates = image.Learned
	g.removed.load(image)
	g.drains.load(image)
	for _, r := range image.Agents {
		g.addAgent(r)
	}
	g.setLeaseExpiries(image.SilentAgents)
	g.setCrashReports(image.CrashReports)
	g.earlyCancels.load(image.EarlyCancellations)
	for id, at := range image.Dropped {
		g.removedAgents[id] = at.AsTime()
	}
	for _, s := range image.Jobs {
		if err := g.loadJob(s); err != nil {
			return err
		}
	}
	g.notifyChange()
	return nil
}

func (g *Graph) loadJob(saved *wire.WorkJob) error {
	j := &Job{
		ID: saved.Id, Queue: saved.Queue, Pool: saved.Pool, Spec: saved.Spec, State: saved.State,
		AcceptedAt: saved.AcceptedAt.AsTime(), Sequence: saved.Sequence,
	}
	if saved.EndedAt != nil {
		j.EndedAt = saved.EndedAt.AsTime()
	}
	j.buildStages()
	g.jobs[j.ID] = j
	for _, s := range saved.EndedStages {
		for _, t := range tasksFromSummary(s) {
			if err := g.loadTask(j, t); err != nil {
				return err
			}
		}
	}
	for _, t := range saved.Tasks {
		if err := g.loadTask(j, t); err != nil {
			return err
		}
	}
	j.recount()
	g.addJob(j)
	j.compact()
	return nil
}

func (g *Graph) loadTask(j *Job, saved *wire.WorkTask) error {
	id := &wire.RunId{Job: j.ID, Occurrence: saved.Occurrence, Step: saved.Step, Index: saved.Index}
	t, agent := g.FindTask(id), g.agents[saved.Agent]
	switch {
	case t == nil:
		return fmt.Errorf("%w: %v is saved, which its job doesn't have", ErrInvalid, id)
	case saved.Agent != "" && agent == nil:
		return fmt.Errorf("%w: %v is saved as running on agent %q, which isn't registered", ErrInvalid, id, saved.Agent)
	}
	s := t.Stage
	t.Run, t.Done, t.Checkpoint = saved.Run, saved.Done, saved.Checkpoint
	if s.Step.Gang {
		s.failures += saved.Failures
		s.failedRun = max(s.failedRun, saved.FailedRun)
	} else {
		t.Failures = saved.Failures
	}
	t.Crashes, t.StartCrashes, t.PresumedCrashes = saved.Crashes, saved.StartCrashes, saved.PresumedCrashes
	if saved.PlacedAt != nil {
		t.PlacedAt = saved.PlacedAt.AsTime().UnixMilli()
	}
	if saved.Agent != "" {
		t.Agent = saved.Agent
		agent.Tasks[t] = true
	}
	return nil
}

// HasRemovableJobs reports whether a job ended before the given time and has no run that
// may exist, or an early cancellation is from before that time.
func (g *Graph) HasRemovableJobs(endedBefore time.Time) bool {
	if g.earlyCancels.anyBefore(endedBefore) {
		return true
	}
	for _, j := range g.jobs {
		if j.Ended() && j.EndedAt.Before(endedBefore) && !j.mayHaveRuns() {
			return true
		}
	}
	return false
}
