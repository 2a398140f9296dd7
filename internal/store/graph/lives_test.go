// This file tests random lives of a job against the sentences of its state: completed once all
// tasks are done, failed once a task or a gang has failed as often as its queue allows.

package graph

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// livesPlayed is the number of lives, unless SYCAMOREDECK_SEEDS says otherwise.
	livesPlayed   = 500
	eventsPerLife = 70
)

// What can be wrong in a life.
var (
	errPanic   = errors.New("a replica panics")
	errState   = errors.New("wrong state")
	errReady   = errors.New("wrong number of ready stages")
	errDiffers = errors.New("replicas differ")
)

// life plays one job on a replica that applies the log and on one that is loaded from snapshots, and
// keeps what must be true of the job.
type life struct {
	random          *rand.Rand
	applied, loaded *Graph
	steps           []*wire.Step
	at              time.Time
	version         uint64
	// limit is the one of the queue's latest definition.
	limit             uint32
	state             wire.WorkState
	tasks             [][]*lifeTask
	image             []byte // of the applied state, after the latest command
	commands, changes int
	history           []string
}

// lifeTask is a task; of a gang, each member has the failures of the gang.
type lifeTask struct {
	done     bool
	run      uint32
	agent    string
	failures uint32
	// ended is the first end of the gang's run.
	ended wire.RunOutcome
}

func newLife(seed uint64) *life {
	random := rand.New(rand.NewPCG(seed, 61))
	l := &life{random: random, applied: New(), loaded: New(), at: noon, limit: uint32(1 + random.IntN(4)), state: wire.WorkState_WORK_STATE_QUEUED}
	for i := range 1 + random.IntN(4) {
		step := &wire.Step{Count: uint32(1 + random.IntN(2))}
		if random.IntN(2) == 0 {
			step.Gang, step.Count = true, uint32(2+random.IntN(2))
		}
		for d := range i {
			if random.IntN(3) == 0 {
				step.After = append(step.After, uint32(d))
			}
		}
		l.steps = append(l.steps, step)
		tasks := make([]*lifeTask, step.Count)
		for n := range tasks {
			tasks[n] = &lifeTask{}
		}
		l.tasks = append(l.tasks, tasks)
	}
	return l
}

// apply applies a command on both replicas. A panic becomes an error.
func (l *life) apply(c *wire.WorkCommand) (err error) {
	l.history = append(l.history, fmt.Sprint(c))
	l.at = l.at.Add(time.Second)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	for _, g := range []*Graph{l.applied, l.loaded} {
		g.Apply(l.at, proto.Clone(c).(*wire.WorkCommand))
	}
	l.commands++
	before := l.image
	if l.image, err = imageOf(l.applied); !bytes.Equal(l.image, before) {
		l.changes++
	}
	return err
}

// imageOf returns what a snapshot of a state holds.
func imageOf(g *Graph) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(g.Save())
}

func (l *life) putCatalog(routed bool) error {
	l.version++
	c := catalog(l.version, l.limit)
	if !routed {
		c.GetPutCatalog().Queues = c.GetPutCatalog().Queues[1:]
	}
	return l.apply(c)
}

func (l *life) ready(step int) bool {
	for _, d := range l.steps[step].After {
		for _, t := range l.tasks[d] {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// nextRun returns the number of a task's next run, which the members of a gang share.
func (l *life) nextRun(step, index int) uint32 {
	if !l.steps[step].Gang {
		return l.tasks[step][index].run + 1
	}
	latest := uint32(0)
	for _, t := range l.tasks[step] {
		latest = max(latest, t.run)
	}
	return latest + 1
}

// place starts a task, or all members of a gang, if a step has one to start. Now and then the placement of
// one member is rejected.
func (l *life) place() error {
	for _, step := range l.random.Perm(len(l.steps)) {
		var placed []*wire.RunPlacement
		for index, t := range l.tasks[step] {
			switch {
			case !l.ready(step) || t.done || t.agent != "":
				if l.steps[step].Gang {
					placed = nil
				}
				continue
			case l.steps[step].Gang && len(placed) != index, !l.steps[step].Gang && len(placed) > 0:
				continue
			}
			agent := fmt.Sprintf("a%d", 1+l.random.IntN(2))
			placed = append(placed, &wire.RunPlacement{Agent: agent, Id: runID(uint32(step), uint32(index), l.nextRun(step, index))})
		}
		if len(placed) == 0 || l.steps[step].Gang && len(placed) < len(l.tasks[step]) {
			continue
		}
		if l.steps[step].Gang && l.random.IntN(8) == 0 {
			rejected := l.random.IntN(len(placed))
			placed = slices.Delete(placed, rejected, rejected+1)
		}
		for _, p := range placed {
			t := l.tasks[step][p.Id.Index]
			t.run, t.agent, t.ended = p.Id.Run, p.Agent, wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED
		}
		l.state = wire.WorkState_WORK_STATE_RUNNING
		return l.apply(&wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: placed}}})
	}
	return nil
}

// end ends a run that may exist, and repeats the end now and then.
func (l *life) end() error {
	for _, step := range l.random.Perm(len(l.steps)) {
		for _, index := range l.random.Perm(len(l.tasks[step])) {
			t := l.tasks[step][index]
			if t.agent == "" {
				continue
			}
			outcome := l.outcome(t)
			c := endCommand(t.agent, runID(uint32(step), uint32(index), t.run), outcome)
			l.recordEnd(step, t, outcome)
			if err := l.apply(c); err != nil || l.random.IntN(4) > 0 {
				return err
			}
			return l.apply(c)
		}
	}
	return nil
}

func (l *life) outcome(t *lifeTask) wire.RunOutcome {
	others := []wire.RunOutcome{wire.RunOutcome_RUN_OUTCOME_STOPPED, wire.RunOutcome_RUN_OUTCOME_FAILED, wire.RunOutcome_RUN_OUTCOME_LOST}
	switch t.ended {
	case wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED:
		others = append(others, wire.RunOutcome_RUN_OUTCOME_DONE, wire.RunOutcome_RUN_OUTCOME_DONE, wire.RunOutcome_RUN_OUTCOME_DONE, wire.RunOutcome_RUN_OUTCOME_FAILED)
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		others = append(others, wire.RunOutcome_RUN_OUTCOME_DONE, wire.RunOutcome_RUN_OUTCOME_DONE, wire.RunOutcome_RUN_OUTCOME_DONE)
	default:
		others = append(others, wire.RunOutcome_RUN_OUTCOME_BROKEN, wire.RunOutcome_RUN_OUTCOME_BROKEN)
	}
	return others[l.random.IntN(len(others))]
}

// recordEnd records what an end means for the job. The members of a gang end done together, and a run
// of a gang fails once.
func (l *life) recordEnd(step int, t *lifeTask, outcome wire.RunOutcome) {
	members, counted := []*lifeTask{t}, t.done
	if l.steps[step].Gang {
		members = l.tasks[step]
		counted = counted || t.ended == wire.RunOutcome_RUN_OUTCOME_FAILED
	}
	t.agent = ""
	for _, m := range members {
		if outcome == wire.RunOutcome_RUN_OUTCOME_FAILED && !counted {
			m.failures++
		}
		if m.ended == wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED || outcome == wire.RunOutcome_RUN_OUTCOME_FAILED {
			m.ended = outcome
		}
		m.done = m.done || outcome == wire.RunOutcome_RUN_OUTCOME_DONE
	}
	allDone := true
	for _, tasks := range l.tasks {
		for _, o := range tasks {
			allDone = allDone && o.done
		}
	}
	switch {
	case l.ended():
	case allDone:
		l.state = wire.WorkState_WORK_STATE_COMPLETED
	case outcome == wire.RunOutcome_RUN_OUTCOME_FAILED && !counted && t.failures >= l.limit:
		l.state = wire.WorkState_WORK_STATE_FAILED
	}
}

func (l *life) ended() bool {
	return l.state != wire.WorkState_WORK_STATE_QUEUED && l.state != wire.WorkState_WORK_STATE_RUNNING
}

// act plays one event.
func (l *life) act() error {
	switch n := l.random.IntN(40); {
	case n < 12 && !l.ended():
		return l.place()
	case n < 33:
		return l.end()
	case n < 34:
		if !l.ended() {
			l.state = wire.WorkState_WORK_STATE_CANCELLED
		}
		return l.apply(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: jobID, Queue: "q"}}})
	case n < 36:
		return l.putCatalog(false)
	case n < 38:
		if l.random.IntN(3) == 0 {
			l.limit = uint32(1 + l.random.IntN(4))
		}
		return l.putCatalog(true)
	default:
		l.history = append(l.history, "snapshot")
		return reload(l.loaded)
	}
}

// reload replaces a state by what its snapshot holds.
func reload(g *Graph) error {
	data, err := imageOf(g)
	if err != nil {
		return err
	}
	image := &wire.WorkImage{}
	if err := proto.Unmarshal(data, image); err != nil {
		return err
	}
	return g.Load(image)
}

// derived describes all that a state counts.
func derived(g *Graph) string {
	var text strings.Builder
	fmt.Fprintf(&text, "ready %d, pending %d", len(g.readyStages), g.PendingJobs("q"))
	for _, j := range g.Jobs() {
		fmt.Fprintf(&text, "; job %v, %d open, %d active, started %v", j.State, j.openStages, j.activeRuns, j.Started())
		for _, s := range j.Occurrences[0] {
			fmt.Fprintf(&text, "; stage %d: %d unplaced, %d done, waits for %d", s.Index, s.Unplaced, s.doneTasks, s.openDependencies)
		}
	}
	return text.String()
}

// check compares both replicas with each other and with what must be true.
func (l *life) check() error {
	if a, b := derived(l.applied), derived(l.loaded); a != b {
		return fmt.Errorf("%w:\n%s\n%s", errDiffers, a, b)
	}
	loaded, err := imageOf(l.loaded)
	if err != nil {
		return err
	}
	if !bytes.Equal(l.image, loaded) {
		return fmt.Errorf("%w in their snapshots:\n%v\n%v", errDiffers, l.applied.Save(), l.loaded.Save())
	}
	if state := l.applied.Job(jobID).State; state != l.state {
		return fmt.Errorf("%w: %v, not %v", errState, state, l.state)
	}
	ready := 0
	for step, tasks := range l.tasks {
		unplaced := false
		for _, t := range tasks {
			unplaced = unplaced || !t.done && t.agent == ""
		}
		if unplaced && l.ready(step) && !l.ended() {
			ready++
		}
	}
	if got := len(l.applied.readyStages); got != ready {
		return fmt.Errorf("%w: %d, not %d", errReady, got, ready)
	}
	return nil
}

func (l *life) play() error {
	begin := []*wire.WorkCommand{agentCommand("a1", false), agentCommand("a2", false)}
	if err := l.putCatalog(true); err != nil {
		return err
	}
	for _, c := range append(begin, submitCommand(jobID, l.steps...)) {
		if err := l.apply(c); err != nil {
			return err
		}
	}
	for range eventsPerLife {
		if err := l.act(); err != nil {
			return err
		}
		if err := l.check(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a job whose end depends on how many members of a gang report it, on a route that was
// removed, or on whether a replica applied the log or loaded a snapshot; and against records that panic.
func TestLivesOfJobs(t *testing.T) {
	ends := map[wire.WorkState]int{}
	commands, changes, failed := 0, 0, 0
	kinds := map[error]int{}
	lives := livesPlayed
	if n, err := strconv.Atoi(os.Getenv("SYCAMOREDECK_SEEDS")); err == nil {
		lives = n
	}
	for seed := range uint64(lives) {
		l := newLife(seed)
		if err := l.play(); err != nil {
			for _, kind := range []error{errPanic, errState, errReady, errDiffers} {
				if errors.Is(err, kind) {
					kinds[kind]++
				}
			}
			if failed++; failed <= 3 {
				t.Errorf("seed %d: %v\n%s", seed, err, strings.Join(l.history, "\n"))
			}
		}
		ends[l.state]++
		commands += l.commands
		changes += l.changes
	}
	t.Logf("%d lives, %d wrong %v; %d of %d commands changed the state; ends %v", lives, failed, kinds, changes, commands, ends)
	assert.Equal(t, failed, 0)
}
