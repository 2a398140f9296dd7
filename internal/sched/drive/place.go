// This file defines which task goes where, and in which order.

package drive

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	// maxPlacements bounds one proposal, so that one burst doesn't hold up the
	// log for long; 300 placements are about 15 KB.
	maxPlacements = 300
	// standingUse is the part of its declared processors that a standing task
	// uses on average; what it leaves is given to opportunistic tasks.
	standingUse = 0.5
	// alikeGain is what an agent full of standing tasks of the same image is
	// worth to another of them, in run times; more than an empty agent is. It
	// raised the worth of opportunistic work from 0.38 to 0.69 of what was owed
	// in a day of 14 jobs a second on 66 agents, n=1 without processor time.
	alikeGain = 3.0
	// lateFactor objectives are how long a job's end still has a worth.
	lateFactor = 3
	// reserveFactor is how much room is kept for ordinary work when standing
	// tasks come: the most of it that lately ran or waited, and some.
	reserveFactor = 1.2
	// needDecay is what is left of a past need after needInterval: half of it
	// after 14 s, some bursts long.
	needDecay    = 0.95
	needInterval = time.Second
	// otherRackFactor is how much longer a task may take away from its data;
	// it decides whether an agent elsewhere is worth having now.
	otherRackFactor = 3.0
)

type (
	// room is what an agent has left while a pass places tasks.
	room struct {
		agent  *agent
		cpu    float64 // thousandths of a processor not promised to anyone
		memory float64 // MB
		accel  float64
		// idle is what opportunistic tasks may use: thousandths of a processor
		// that others leave unused.
		idle     float64
		capacity float64
		standing int
		images   map[string]int // standing tasks by image
		served   []served
		stages   map[*graph.Stage]int
	}

	// served is a standing task with a latency target on an agent.
	served struct {
		image string
		// expected is the logarithm of its tail with all that is placed beside
		// it at full pace, limit that of what it should stay below.
		expected, limit float64
	}

	// pass is one round of placing.
	pass struct {
		engine *Engine
		rooms  map[string][]*room // by pool
		wall   time.Time
		placed []*wire.RunPlacement
		// full remembers for which tasks no room was found in this pass.
		full map[fullKey]need
	}

	// fullKey tells which tasks are alike but for their size.
	fullKey struct {
		pool, image             string
		opportunistic, standing bool
	}

	// need is the size of a task.
	need struct{ cpu, memory, accel uint64 }
)

// place proposes runs for the tasks that are ready. One proposal is under way
// at a time: the next is planned on what became of it.
func (e *Engine) place() {
	if e.placing || e.now < e.nextPass || (!e.dirty && e.now < e.nextTimed) {
		return
	}
	e.dirty, e.nextTimed = false, e.now+timedInterval
	began := e.options.Boot()
	defer func() { e.nextPass = e.now + max(passShare*(e.options.Boot()-began), passInterval) }()
	stages := e.graph.ReadyStages()
	e.noteNeed(stages)
	e.noteReady(stages)
	if len(stages) == 0 {
		return
	}
	p := &pass{engine: e, rooms: e.rooms(), wall: e.options.Wall()}
	for _, r := range e.ordered(stages, p.wall) {
		if len(p.placed) >= maxPlacements {
			e.dirty = true
			break
		}
		before := len(p.placed)
		p.placeStage(r.stage)
		if len(p.placed) > before {
			e.logPlaced(r, p.placed[before:])
		}
	}
	if len(p.placed) == 0 {
		return
	}
	e.placing = true
	placements := p.placed
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Place{Place: &wire.PlaceRuns{Placements: placements}}},
		func(res state.Result, err error) { e.placementsCommitted(placements, res, err) })
}

// noteReady keeps since when stages have tasks to place.
func (e *Engine) noteReady(stages []*graph.Stage) {
	for _, s := range stages {
		if _, known := e.readySince[s]; !known {
			e.readySince[s] = e.now
		}
	}
	for s := range e.readySince {
		if s.Job.Ended() {
			delete(e.readySince, s)
			delete(e.advice, s)
		}
	}
}

// placementsCommitted orders the starts. Only now may they leave: a later
// leader has to know of every run that may exist.
func (e *Engine) placementsCommitted(placements []*wire.RunPlacement, res state.Result, err error) {
	e.placing = false
	if err != nil {
		return
	}
	for i, p := range placements {
		if res.Placed[i] != nil {
			if !errors.Is(res.Placed[i], graph.ErrNotReady) {
				e.options.Logger.Info("placement refused", "job", p.Id.Job, "agent", p.Agent, "error", res.Placed[i])
			}
			continue
		}
		t, at := e.graph.Find(p.Id), e.agents[p.Agent]
		if t == nil || at == nil || t.Agent != p.Agent || t.Run != p.Id.Run {
			continue
		}
		e.followTask(at, t)
		r := e.runs[t]
		if e.wantsStop(r) != "" {
			e.settle(r, wire.RunOutcome_RUN_OUTCOME_NOT_STARTED, "not wanted any more before it was ordered")
			continue
		}
		e.start(r)
	}
}

// rooms works out what each usable agent has left. A run that may exist
// holds its room, whatever is known of it.
func (e *Engine) rooms() map[string][]*room {
	rooms := map[string][]*room{}
	for _, r := range e.agents {
		if !e.usable(r) {
			continue
		}
		c := r.record
		m := &room{
			agent: r, cpu: float64(c.CpuMillis), memory: float64(c.MemoryMb), accel: float64(c.Accelerators),
			idle: float64(c.CpuMillis), capacity: float64(c.CpuMillis), stages: map[*graph.Stage]int{}, images: map[string]int{},
		}
		e.expectTails(m)
		for t := range r.runs {
			m.take(t.Stage)
		}
		rooms[c.Pool] = append(rooms[c.Pool], m)
	}
	for _, list := range rooms {
		sort.Slice(list, func(i, k int) bool { return list[i].agent.record.Id < list[k].agent.record.Id })
	}
	return rooms
}

// expectTails works out what tails the standing tasks on an agent will have
// with all that is placed beside them at full pace.
func (e *Engine) expectTails(m *room) {
	beside := load{}
	for t, r := range m.agent.runs {
		if t.Stage.Step.Opportunistic && r.stopReason == "" {
			beside[t.Stage.Step.Image] += r.fullShare()
		}
	}
	for t, r := range m.agent.runs {
		target := float64(t.Stage.Step.TailTargetMs)
		if target == 0 {
			continue
		}
		quiet := logOf(target * usualQuiet)
		if r.quietKnown {
			quiet = r.quiet
		}
		image := t.Stage.Step.Image
		m.served = append(m.served, served{image: image, expected: quiet + e.pressure.added(image, beside), limit: logOf(target * goalShare)})
	}
}

// disturbs is how much a task would add to the tails of the standing tasks on
// an agent, and whether all of them are expected to stay below their limits.
func (p *pass) disturbs(s *graph.Stage, m *room) (adds float64, bearable bool) {
	share := m.agent.share(float64(s.Step.CpuMillis) * usualUse)
	bearable = true
	for _, v := range m.served {
		more := p.engine.pressure.weight(v.image, s.Step.Image) * share
		adds += more
		bearable = bearable && v.expected+more <= v.limit
	}
	return adds, bearable
}

func (m *room) take(s *graph.Stage) {
	step := s.Step
	cpu := float64(step.CpuMillis)
	switch {
	case step.Opportunistic:
		m.idle -= cpu
	case step.Standing:
		m.cpu -= cpu
		m.idle -= cpu * standingUse
		m.standing++
		m.images[step.Image]++
	default:
		m.cpu -= cpu
		m.idle -= cpu
	}
	m.memory -= float64(step.MemoryMb)
	m.accel -= float64(step.Accelerators)
	m.stages[s]++
}

// fits tells whether a task of the stage may be placed.
func (m *room) fits(s *graph.Stage) bool {
	step := s.Step
	switch {
	case m.memory < float64(step.MemoryMb) || m.accel < float64(step.Accelerators):
		return false
	case !step.Opportunistic && m.cpu < float64(step.CpuMillis):
		return false
	case step.Opportunistic && m.idle < float64(step.CpuMillis):
		return false
	case step.SpreadLimit > 0 && m.stages[s] >= int(step.SpreadLimit):
		return false
	case step.RequiredLabel != "" && !hasLabel(m.agent.record, step.RequiredLabel):
		return false
	default:
		return true
	}
}

func hasLabel(r *wire.Agent, label string) bool {
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// ordered puts the stages in the order in which they are served: standing work
// that ran before, then by their queue's priority and what their jobs can still
// earn.
func (e *Engine) ordered(stages []*graph.Stage, wall time.Time) []ranked {
	list := make([]ranked, 0, len(stages))
	for _, s := range stages {
		if !s.Due.After(wall) {
			list = append(list, e.rank(s, wall))
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].before(list[k]) })
	return list
}

// logPlaced says where a stage's tasks go, and on what grounds it came now.
func (e *Engine) logPlaced(r ranked, placed []*wire.RunPlacement) {
	runsPlaced.Add(len(placed))
	var text strings.Builder
	for i, p := range placed {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%d#%d@%s", p.Id.Index, p.Id.Run, p.Agent)
	}
	e.options.Logger.Info("runs placed", "job", r.stage.Job.ID, "occurrence", r.stage.Occurrence, "step", r.stage.Index,
		"priority", r.priority, "slack_ms", r.slack.Milliseconds(), "prospect", prospectNames[r.prospect],
		"waited_ms", (e.now - e.readySince[r.stage]).Milliseconds(), "unplaced", r.stage.Unplaced, "runs", text.String())
}

// The prospects of a job.
const (
	inTime  = iota // it can still keep its objective
	late           // it can still end within lateFactor objectives
	tooLate        // neither
)

var prospectNames = [...]string{inTime: "in time", late: "late", tooLate: "too late"}

// ranked is a stage with what decides when it is served.
type ranked struct {
	stage    *graph.Stage
	again    bool // standing work that ran before
	priority uint32
	prospect int
	begun    bool
	slack    time.Duration
}

func (r ranked) before(other ranked) bool {
	switch {
	case r.again != other.again:
		return r.again
	case r.priority != other.priority:
		return r.priority < other.priority
	case r.prospect != other.prospect:
		return r.prospect < other.prospect
	case r.begun != other.begun:
		return r.begun
	case r.slack != other.slack:
		return r.slack < other.slack
	default:
		return r.stage.Before(other.stage)
	}
}

// rank works out what decides when a stage is served.
func (e *Engine) rank(s *graph.Stage, wall time.Time) ranked {
	q := e.graph.Queue(s.Job.Queue)
	begin := s.Job.AcceptedAt
	if !s.Due.IsZero() {
		begin = s.Due
	}
	objective := e.objective(s, q)
	age := wall.Sub(begin)
	r := ranked{stage: s, priority: q.GetPriority(), begun: s.Job.Begun()}
	r.again = s.Standing() && s.Ran()
	r.slack = objective - age - s.Longest
	if r.slack < 0 {
		r.prospect = late
		r.slack = lateFactor*objective - age - s.Longest
	}
	if r.slack < 0 {
		r.prospect = tooLate
	}
	return r
}

// objective is the time in which a job should be done.
func (e *Engine) objective(s *graph.Stage, q *wire.Queue) time.Duration {
	var chain time.Duration
	for _, first := range s.Job.Occurrences[s.Occurrence] {
		chain = max(chain, first.Longest)
	}
	return time.Duration(float64(chain)*max(q.GetStretch(), 1)) + q.GetTarget().AsDuration()
}

func (p *pass) placeStage(s *graph.Stage) {
	rooms := p.rooms[p.engine.poolOf(s.Job)]
	if p.engine.policyOf(s) != nil {
		all := rooms
		rooms = p.advised(s, all)
		defer func() {
			if p.leftOf(s) {
				p.askAdvice(s, all)
			}
		}()
	}
	if s.Step.Gang {
		p.placeGang(s, rooms)
		return
	}
	advised := p.engine.policyOf(s) != nil
	if !advised && p.knownFull(s) {
		return
	}
	for _, t := range s.Tasks {
		if !t.Placeable() {
			continue
		}
		if s.Standing() && t.Run == 0 && !p.spares(s, rooms) {
			return
		}
		m := p.choose(t, rooms)
		if m == nil {
			if s.Step.SpreadLimit == 0 && s.Step.RequiredLabel == "" && !advised {
				p.noteFull(s)
				return // the others are like it
			}
			continue
		}
		p.take(t, m, t.Run+1)
	}
}

// leftOf tells whether this pass left tasks of a stage unplaced.
func (p *pass) leftOf(s *graph.Stage) bool {
	placed := 0
	for _, r := range p.placed {
		if r.Id.Job == s.Job.ID && r.Id.Occurrence == s.Occurrence && r.Id.Step == s.Index {
			placed++
		}
	}
	return placed < s.Unplaced
}

func (p *pass) fullKey(s *graph.Stage) fullKey {
	return fullKey{p.engine.poolOf(s.Job), s.Step.Image, s.Step.Opportunistic, s.Standing()}
}

// knownFull tells whether a smaller task of the same kind found no room in this
// pass already. Under overload most stages end here, instead of looking at
// every agent in vain.
func (p *pass) knownFull(s *graph.Stage) bool {
	n, ok := p.full[p.fullKey(s)]
	return ok && s.Step.CpuMillis >= n.cpu && s.Step.MemoryMb >= n.memory && s.Step.Accelerators >= n.accel
}

func (p *pass) noteFull(s *graph.Stage) {
	if p.full == nil {
		p.full = map[fullKey]need{}
	}
	p.full[p.fullKey(s)] = need{s.Step.CpuMillis, s.Step.MemoryMb, s.Step.Accelerators}
}

// spares tells whether enough room is left for ordinary work if a new standing
// task is placed. Standing tasks stay; without a reserve they take, one by one,
// all that others leave for a moment, and short urgent work then waits for as
// long as they stay.
func (p *pass) spares(s *graph.Stage, rooms []*room) bool {
	free := -float64(s.Step.CpuMillis)
	for _, m := range rooms {
		free += m.cpu
	}
	return free >= p.engine.ordinaryNeed[p.engine.poolOf(s.Job)]*reserveFactor
}

// noteNeed keeps in mind how many processors ordinary work lately needed at
// most, running or waiting, by pool.
func (e *Engine) noteNeed(stages []*graph.Stage) {
	if e.ordinaryNeed == nil {
		e.ordinaryNeed = map[string]float64{}
	}
	need := map[string]float64{}
	for _, s := range stages {
		if !s.Step.Opportunistic && !s.Standing() {
			need[e.poolOf(s.Job)] += float64(s.Step.CpuMillis) * float64(s.Unplaced)
		}
	}
	for t := range e.runs {
		if step := t.Stage.Step; !step.Opportunistic && !step.Standing {
			need[e.poolOf(t.Stage.Job)] += float64(step.CpuMillis)
		}
	}
	for pool, n := range need {
		e.ordinaryNeed[pool] = max(n, e.ordinaryNeed[pool])
	}
	if e.now < e.nextNeed {
		return
	}
	e.nextNeed = e.now + needInterval
	for pool := range e.ordinaryNeed {
		e.ordinaryNeed[pool] = max(need[pool], e.ordinaryNeed[pool]*needDecay)
	}
}

// poolOf is where a job's tasks run: what its queue says now, or said when it
// was taken if the queue is gone.
func (e *Engine) poolOf(j *graph.Job) string {
	if q := e.graph.Queue(j.Queue); q != nil {
		return q.Pool
	}
	return j.Pool
}

func (p *pass) take(t *graph.Task, m *room, number uint32) {
	m.take(t.Stage)
	p.noteBeside(t.Stage, m)
	id := t.ID()
	id.Run = number
	p.placed = append(p.placed, &wire.RunPlacement{Id: id, Agent: m.agent.record.Id})
}

// noteBeside adds a newly placed task to what is expected of the tails there.
func (p *pass) noteBeside(s *graph.Stage, m *room) {
	step := s.Step
	if step.TailTargetMs > 0 {
		target := float64(step.TailTargetMs)
		m.served = append(m.served, served{image: step.Image, expected: logOf(target * usualQuiet), limit: logOf(target * goalShare)})
	}
	if !step.Opportunistic {
		return
	}
	share := m.agent.share(float64(step.CpuMillis) * usualUse)
	for i := range m.served {
		m.served[i].expected += p.engine.pressure.weight(m.served[i].image, step.Image) * share
	}
}

// choose returns the agent that a task is best placed on, or nil.
func (p *pass) choose(t *graph.Task, rooms []*room) *room {
	var best *room
	bestCost := math.Inf(1)
	for _, m := range rooms {
		if !m.fits(t.Stage) {
			continue
		}
		if cost := p.cost(t, m); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// cost rates an agent for a task; lower is better. Its unit is the task's run
// time on a sound agent near its data.
func (p *pass) cost(t *graph.Task, m *room) float64 {
	step := t.Stage.Step
	cost := p.engine.learned.slowness(m.agent.record.Id)
	if step.DataRack != "" && step.DataRack != m.agent.record.Rack {
		cost *= otherRackFactor
	}
	if t.LastFailedOn == m.agent.record.Id {
		cost += 2
	}
	if step.Opportunistic {
		adds, bearable := p.disturbs(t.Stage, m)
		if !bearable || t.AvoidAgent == m.agent.record.Id {
			return math.Inf(1)
		}
		return cost + adds - m.idle/max(m.capacity, 1)
	}
	if step.Standing {
		// Like images are disturbed by the same ones. Where they are together,
		// there are agents left for each kind of opportunistic work.
		alike := float64(m.images[step.Image]) / float64(m.standing+1)
		return cost - alikeGain*alike - m.cpu/max(m.capacity, 1)
	}
	return cost - 0.5*m.cpu/max(m.capacity, 1)
}

// placeGang places all members or none: some alone would wait for the others
// in vain. Their runs bear one number.
func (p *pass) placeGang(s *graph.Stage, rooms []*room) {
	number := uint32(0)
	for _, t := range s.Tasks {
		if t.Agent != "" {
			return // members of the last run are still to end
		}
		number = max(number, t.Run)
	}
	if s.Step.SameRack {
		for _, rack := range racks(rooms) {
			if p.placeMembers(s, rack, number+1) {
				return
			}
		}
	}
	p.placeMembers(s, rooms, number+1)
}

func racks(rooms []*room) [][]*room {
	byRack := map[string][]*room{}
	var names []string
	for _, m := range rooms {
		rack := m.agent.record.Rack
		if byRack[rack] == nil {
			names = append(names, rack)
		}
		byRack[rack] = append(byRack[rack], m)
	}
	sort.Strings(names)
	list := make([][]*room, 0, len(names))
	for _, name := range names {
		list = append(list, byRack[name])
	}
	return list
}

func (p *pass) placeMembers(s *graph.Stage, rooms []*room, number uint32) bool {
	trial := &pass{engine: p.engine, wall: p.wall}
	copies := make([]*room, len(rooms))
	for i, m := range rooms {
		c := *m
		c.stages = map[*graph.Stage]int{s: m.stages[s]}
		copies[i] = &c
	}
	for _, t := range s.Tasks {
		m := trial.choose(t, copies)
		if m == nil {
			return false
		}
		trial.take(t, m, number)
	}
	for _, placement := range trial.placed {
		for _, m := range rooms {
			if m.agent.record.Id == placement.Agent {
				m.take(s)
			}
		}
	}
	p.placed = append(p.placed, trial.placed...)
	return true
}
