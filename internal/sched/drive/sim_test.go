// This file defines the seeded simulation of an engine, its leaders and its
// agents.

package drive_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/state"
)

const (
	simTick       = 10 * time.Millisecond
	simBeat       = 1100 * time.Millisecond
	answerTimeout = 600 * time.Millisecond
	commitTime    = 10 * time.Millisecond
	// unwantedTime is how long a run of a cancelled job may be there at most, while
	// its agent can be reached and there is a leader: until it is seen, stopped, and
	// one order of each kind was lost.
	unwantedTime = 7 * time.Second
	// roomKnown is how long after a room has shrunk starts may bring its agent over it:
	// one heartbeat and the three seconds in which the leader surely hears of it.
	roomKnown = simBeat + 3*time.Second
	// maxCrashesSeen is how many agents a task may have ended at most when it is started
	// once more. A third start after three crashes is one too many for those who own
	// the agents.
	maxCrashesSeen = 5
)

// faults are probabilities; those without another unit are for each tick.
type faults struct {
	late, lost     float64 // of each order
	advice         bool    // agents must be allowed by an outside service
	fail           float64 // of each run
	crash, cut     float64
	leader, cancel float64
	leave          float64
	gone           float64 // for good; an empty one comes at another address
	failing        float64 // of each incarnation
	shrink         float64 // an agent's room becomes half of it for a while
	crashing       float64 // of each job: its first task ends every agent that starts it
	restart        float64 // an agent crashes and starts again under its id
	born           bool    // agents tell their incarnations
	drain          float64 // a failure domain is drained for some seconds
	// off are mechanisms that are switched off.
	off map[drive.Feature]bool
}

type (
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	proposal struct {
		command *wire.Command
		done    func(state.Result, error)
		term    uint64
	}

	// sim plays one engine after another against model agents. Every step is
	// drawn from one seed.
	sim struct {
		random     *rand.Rand
		faults     faults
		guarded    bool
		advice     bool
		tickets    int                      // starts refused for their ticket
		issued     map[string]time.Duration // tickets and until when they hold
		now        time.Duration
		events     []event
		seq        int
		graph      *graph.Graph
		engine     *drive.Engine
		term       uint64
		leads      bool
		ledSince   time.Duration
		log        []proposal
		agents     map[string]*modelAgent // by address
		lives      int
		steps      map[string]*wire.Step
		jobs       []string
		born       bool // agents tell their incarnations, also after all faults have ended
		quiet      bool // no faults any more
		quietSince time.Duration

		// tailOf is the tail latency of a standing run, in milliseconds.
		tailOf func(*modelAgent, *modelRun) int

		// crashing are the jobs whose first task ends every agent that starts it, with how
		// long it works before that, 0 for before the start is answered; crashes is how many
		// agents ended while a run of a task was there.
		crashing map[string]time.Duration
		crashes  map[string]int
		// refusing are the addresses at which a process has ended and none has begun, on
		// an instance that is up.
		refusing map[string]bool
		// dark tells that nothing shows that a run ended its agent: its connections had
		// gone silent before.
		dark bool
		// failedRuns counts the runs that ended as failed, acknowledged or not.
		failedRuns map[string]int
		logger     *slog.Logger

		doneNoted map[string]bool
		failures  map[string]int
		cancelled map[string]time.Duration
		completed map[string]bool
		broken    []string
		// drainedAt is since when each drained failure domain is.
		drainedAt map[string]time.Duration
		// connections bounds those to agents; 0 is as many as are wanted. inUse are those on
		// which an answer is waited for.
		connections, inUse int
		// realTimes are how long the tasks of a job take where that isn't what is declared.
		realTimes map[string]time.Duration
	}
)

func newSim(seed uint64, size int, guarded bool, f faults) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 11)), faults: f, guarded: guarded, graph: graph.New(),
		agents: map[string]*modelAgent{}, steps: map[string]*wire.Step{}, doneNoted: map[string]bool{},
		drainedAt: map[string]time.Duration{},
		crashing:  map[string]time.Duration{}, crashes: map[string]int{}, failedRuns: map[string]int{}, refusing: map[string]bool{}, logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		failures: map[string]int{}, issued: map[string]time.Duration{}, cancelled: map[string]time.Duration{}, completed: map[string]bool{},
	}
	s.graph.BootClock = func() time.Duration { return s.now }
	s.tailOf = func(_ *modelAgent, run *modelRun) int { return int(run.step.TailTargetMs) / 2 }
	queue := &wire.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 2}
	if f.advice {
		queue.Advice = &wire.AdvicePolicy{Decide: durationpb.New(50 * time.Millisecond), Interval: durationpb.New(5 * time.Millisecond)}
	}
	s.advice = f.advice
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{
		Version: 1,
		Queues:  []*wire.Queue{queue},
		Pools:   []*wire.WorkerPool{{Name: "p", Guarded: guarded}},
	}}})
	for i := range size {
		s.bear(fmt.Sprintf("10.0.0.%d:1", i))
	}
	s.elect()
	return s
}

func (s *sim) check(ok bool, format string, args ...any) {
	if !ok {
		s.broken = append(s.broken, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) chance(p float64) bool { return !s.quiet && s.random.Float64() < p }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	s.events = append(s.events, event{s.now + d, s.seq, do})
}

func (s *sim) commit(c *wire.WorkCommand) graph.Result {
	return s.graph.Apply(time.Unix(0, 0).Add(s.now), c)
}

// bear starts an agent at an address, under an id of its own.
func (s *sim) bear(address string) { s.bearAs(fmt.Sprintf("r-%d", s.lives+1), address) }

// bearAs starts an agent under an id that another one may have had before: it knows
// nothing of that one, and all that it counts starts anew.
func (s *sim) bearAs(id, address string) {
	s.lives++
	delete(s.refusing, address)
	s.agents[address] = &modelAgent{
		sim: s, offset: time.Duration(s.random.Int64N(int64(time.Hour))), rate: 1 - 0.02*s.random.Float64(),
		record: &wire.Agent{Id: id, Address: address, Pool: "p", CpuMillis: 8000, MemoryMb: 8000, FailureDomain: domainOf(address)},
		runs:   map[string]*modelRun{}, closed: map[string]uint32{}, failing: s.chance(s.faults.failing),
	}
	if s.faults.born || s.born {
		s.born = true
		s.agents[address].incarnation = uint64(s.lives)
		s.agents[address].record.Incarnation = uint64(s.lives)
	}
}

// elect makes a new leader, whose engine knows the replicated state alone.
func (s *sim) elect() {
	s.term++
	term := s.term
	s.leads, s.ledSince = true, s.now
	s.engine = drive.New(drive.Options{
		Graph: s.graph, MaxConnections: s.connections, Lease: modelLease, StopGrace: modelGrace, Disabled: s.faults.off,
		Propose: func(c *wire.Command, done func(state.Result, error)) {
			s.log = append(s.log, proposal{c, done, term})
			s.after(commitTime, s.commitNext)
		},
		IsLeader:  func() (uint64, bool) { return term, s.leads && s.term == term },
		Send:      s.carry,
		Advise:    s.adviseOn,
		BootClock: func() time.Duration { return s.now },
		WallClock: func() time.Time { return time.Unix(0, 0).Add(s.now) },
		Logger:    s.logger,
	})
}

// adviseOn answers like the outside service: the same agents for a step always,
// with tickets that hold for three seconds.
func (s *sim) adviseOn(r drive.AdviceRequest) {
	engine := s.engine
	if s.chance(s.faults.lost) {
		s.after(r.Timeout, func() { engine.HandleAdvice(s.now, drive.AdviceAnswer{Request: r}) })
		return
	}
	s.after(50*time.Millisecond+time.Duration(len(r.Agents))*5*time.Millisecond, func() {
		answer := drive.AdviceAnswer{Request: r, Answered: true, ValidFor: 3 * time.Second, Tickets: map[string]string{}}
		for _, agent := range r.Names {
			key := fmt.Sprintf("%s.%d.%d/%s", r.Job, r.Occurrence, r.Step, agent)
			if agent != "r-1" && xxhash.Sum64String(key)%3 == 0 {
				continue
			}
			answer.Tickets[agent] = key
			s.issued[key] = s.now + answer.ValidFor
		}
		engine.HandleAdvice(s.now, answer)
	})
}

// depose ends a leadership. What it proposed may have been committed or not.
func (s *sim) depose() {
	s.leads = false
	kept := s.log
	s.log = nil
	for i, p := range kept {
		if s.random.IntN(2) == 0 && i == 0 {
			s.commit(p.command.GetWork())
		}
	}
	s.engine.Tick(s.now)
	s.after(time.Duration(s.random.Int64N(int64(3*time.Second)))+time.Second, s.elect)
}

func (s *sim) commitNext() {
	if len(s.log) == 0 {
		return
	}
	p := s.log[0]
	s.log = s.log[1:]
	p.command.At = timestamppb.New(time.Unix(0, 0).Add(s.now))
	// What is committed comes from the log, not from the proposer's memory.
	command := proto.Clone(p.command).(*wire.Command)
	res := s.commit(command.GetWork())
	p.done(state.Result{Err: res.Err, PlacementErrors: res.PlacementErrors}, nil)
}

// carry takes an order to its agent: at once, seconds late, or with its
// answer lost.
func (s *sim) carry(o drive.Order) {
	engine := s.engine
	timeout := answerTimeout + o.Wait
	if s.connections > 0 && s.inUse >= s.connections {
		s.after(time.Millisecond, func() { engine.HandleAnswer(s.now, drive.Answer{Order: o, Verdict: drive.NoConnection}) })
		return
	}
	s.inUse++
	answered := false
	answer := func(a drive.Answer) {
		if !answered {
			answered = true
			s.inUse--
			engine.HandleAnswer(s.now, a)
		}
	}
	s.after(timeout, func() { answer(drive.Answer{Order: o, Verdict: drive.NoAnswer}) })
	if r := s.agents[o.Agent.Address]; r != nil {
		r.open = append(r.open, func() { answer(drive.Answer{Order: o, Verdict: drive.NoAnswer, ConnectionClosed: true}) })
	}
	deliver := func(reply func(drive.Answer)) {
		r := s.agents[o.Agent.Address]
		if r == nil && s.refusing[o.Agent.Address] {
			reply(drive.Answer{Order: o, Verdict: drive.NotSent, ConnectionClosed: true})
		}
		if r == nil || r.cut() {
			return
		}
		if o.Kind == drive.Poll && o.Wait > 0 && len(r.ends) == 0 && r.isFor(o) && o.Fence >= r.fence {
			r.handle(o)
			if len(r.ends) == 0 {
				r.waiting = append(r.waiting, waitingHold{o, s.now + o.Wait, reply})
				return
			}
		}
		a := r.handle(o)
		if !r.cut() {
			reply(a)
		}
	}
	nothing := func(drive.Answer) {}
	switch {
	case s.chance(s.faults.late):
		s.after(2*time.Second+time.Duration(s.random.Int64N(int64(10*time.Second))), func() { deliver(nothing) })
	case s.chance(s.faults.lost):
		s.after(time.Millisecond, func() { deliver(nothing) })
	default:
		s.after(time.Millisecond, func() { deliver(func(a drive.Answer) { s.after(time.Millisecond, func() { answer(a) }) }) })
	}
}

// calm ends all faults.
func (s *sim) calm() {
	s.quiet, s.quietSince, s.faults = true, s.now, faults{off: s.faults.off}
	for _, domain := range sortedKeys(s.drainedAt) {
		s.drain(domain, true)
	}
	for _, r := range s.agents {
		r.failing, r.cutUntil = false, min(r.cutUntil, s.now)
	}
}

// submit hands in a random job.
func (s *sim) submit() {
	spec := &wire.WorkSpec{}
	for i := range 1 + s.random.IntN(3) {
		step := &wire.Step{
			Count: uint32(1 + s.random.IntN(4)), CpuMillis: uint64(1000 + s.random.IntN(2000)), MemoryMb: 100,
			EstimateMs: uint64(200 + s.random.IntN(3000)), Checkpointable: s.random.IntN(2) == 0,
		}
		if i > 0 {
			step.After = []uint32{uint32(s.random.IntN(i))}
		}
		if s.random.IntN(4) == 0 {
			step.SpreadLimit = 1
		}
		spec.Steps = append(spec.Steps, step)
	}
	if s.random.IntN(5) == 0 {
		// Longer than a lease: still at work when its agent is given up.
		spec.Steps[0].EstimateMs = 14000
	}
	if s.random.IntN(8) == 0 {
		spec.Steps = []*wire.Step{{Count: 2, CpuMillis: 1000, MemoryMb: 100, EstimateMs: 500, Standing: true}}
	}
	// Drawn only where it is asked for, so that the other cases' seeds stay what they were.
	if s.faults.crashing > 0 && s.chance(s.faults.crashing) {
		s.crashing[jobID(len(s.jobs)+1)] = []time.Duration{0, simTick, 300 * time.Millisecond, 3 * time.Second}[s.random.IntN(4)]
	}
	s.submitSpec(spec.Steps...)
}

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

// submitSpec hands in a job of the given steps.
func (s *sim) submitSpec(steps ...*wire.Step) {
	id := jobID(len(s.jobs) + 1)
	for i, step := range steps {
		s.steps[fmt.Sprintf("%s.%d", id, i)] = step
	}
	spec := &wire.WorkSpec{Payload: "p", Steps: steps}
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: id, Queue: "q", Spec: spec}}})
	s.jobs = append(s.jobs, id)
}

func (s *sim) report(r *modelAgent, gone bool) {
	if r.cut() {
		return
	}
	r.sequence++
	told := proto.Clone(r.record).(*wire.Agent)
	if gone {
		told = &wire.Agent{Id: r.record.Id} // which of its incarnations isn't told
	}
	s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: told, Sequence: r.sequence, Gone: gone}, func(error) {})
}

// run plays for a time.
func (s *sim) run(length time.Duration, jobsPerSecond float64) {
	for end := s.now + length; s.now < end; {
		s.now += simTick
		if s.random.Float64() < jobsPerSecond*simTick.Seconds() {
			s.submit()
		}
		s.disturb()
		s.happen()
		for _, address := range sortedKeys(s.agents) {
			r := s.agents[address]
			r.tick(simTick)
			if s.now >= r.nextBeat {
				r.nextBeat = s.now + simBeat
				s.report(r, false)
			}
		}
		s.engine.Tick(s.now)
		s.checkUnwanted()
		if err := s.engine.CheckCaches(); err != nil {
			s.check(false, "%v", err)
		}
	}
}

func (s *sim) happen() {
	for {
		best := -1
		for i, e := range s.events {
			if e.at <= s.now && (best < 0 || e.at < s.events[best].at || e.at == s.events[best].at && e.seq < s.events[best].seq) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		e := s.events[best]
		s.events = slices.Delete(s.events, best, best+1)
		e.do()
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
