// This file defines the seeded simulation of engines, leaders and agents.

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
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/state"
)

const (
	simTick           = 10 * time.Millisecond
	heartbeatInterval = 1100 * time.Millisecond
	answerTimeout     = 600 * time.Millisecond
	commitLatency     = 10 * time.Millisecond
	// indexCheckInterval is how often the indexes of the agents are checked, which takes long.
	indexCheckInterval = 25 * simTick
	// cancelledRunLimit bounds how long a run of a cancelled job may exist while there is a
	// leader and the agent is reachable: the platform's bounds for stopping it, and for the stop.
	cancelledRunLimit = 3*time.Second + modelGrace
	// shrinkSyncLimit bounds how long after an agent's capacity has shrunk starts may exceed
	// it: a heartbeat, and three seconds until the leader has certainly received it.
	shrinkSyncLimit = heartbeatInterval + 3*time.Second
	// maxTaskCrashes is the number of agents that a task may have crashed; after that it
	// must not be started again.
	maxTaskCrashes = 5
)

// faults are probabilities; unless stated otherwise, per tick.
type faults struct {
	late, lost           float64 // of each order
	advice               bool    // agents must be allowed by an external service
	failedRun            float64 // of each run
	crash, partition     float64
	leaderChange, cancel float64
	leave                float64
	noticeLost           float64 // of each leaving agent: its notice gets no answer
	permanentLoss        float64 // an agent is lost, and a new one starts at another address
	failingAgent         float64 // of each agent: all its runs fail
	shrink               float64 // an agent's capacity is halved for a while
	crashingTask         float64 // of each job: its first task crashes every agent that starts it
	restart              float64 // an agent crashes and restarts under the same id
	incarnations         bool    // agents report their incarnations
	drain                float64 // a failure domain is drained for some seconds
	gang                 float64 // of each step: it is a gang
	removeRoute          float64 // the route of all jobs is removed for some seconds
	// disabled are the features that are switched off.
	disabled map[drive.Feature]bool
	// enabled are the optional features that are switched on.
	enabled map[drive.Feature]bool
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

	// sim runs successive engines against model agents. All random choices come from one seed.
	sim struct {
		random             *rand.Rand
		faults             faults
		guarded            bool
		advice             bool
		refusedTickets     int                      // starts refused for an invalid ticket
		issuedTickets      map[string]time.Duration // tickets and their expiry
		now                time.Duration
		events             []event
		seq                int
		graph              *graph.Graph
		engine             *drive.Engine
		term               uint64
		isLeader           bool
		leaderSince        time.Duration
		proposals          []proposal
		proposalsFail      bool                   // as during a transfer of leadership that is aborted
		leaselessUntil     time.Duration          // until then the leader holds no lease
		agents             map[string]*modelAgent // by address
		agentsStarted      int
		steps              map[string]*wire.Step
		jobs               []string
		reportIncarnations bool // like faults.incarnations, but also after all faults have ended
		faultsEnded        bool
		faultsEndedAt      time.Duration

		// startDelayOf returns how long an agent takes to answer a start that it has executed; nil
		// means no time.
		startDelayOf func(*modelAgent) time.Duration
		// startsInFlight counts the unanswered starts by address, peakStarts and peakAgentStarts
		// are the most in all and of one agent.
		startsInFlight              map[string]int
		peakStarts, peakAgentStarts int

		// tailLatencyOf returns the tail latency of a standing run in milliseconds.
		tailLatencyOf func(*modelAgent, *modelRun) int

		// crashingJobs are the jobs whose first task crashes every agent that starts it, with
		// the time until the crash; 0 is before the start is answered. crashes counts the
		// agents that ended with a run of a task.
		crashingJobs map[string]time.Duration
		crashes      map[string]int
		// causedCrashes counts the agents that a task crashed. Unlike crashes it leaves out
		// those that ended for another reason.
		causedCrashes map[string]int
		// otherCrashes is set if agents also end for other reasons.
		otherCrashes bool
		// refusingAddresses are the addresses of running instances without an agent process.
		refusingAddresses map[string]bool
		// crashedFor is how long an agent that was crashed by a run is away.
		crashedFor   time.Duration
		crashReports int // committed commands with crash reports
		// undetectedCrashes is set while crashes close no connections.
		undetectedCrashes bool
		// failingJobs are the jobs of which all runs fail.
		failingJobs map[string]bool
		// failedRuns counts the failed runs of a task, acknowledged or not.
		failedRuns map[string]int
		logger     *slog.Logger
		// checksHealth makes checkHealth check starts.
		checksHealth bool
		// losesOrders is set if orders may be lost or late, or leaders change.
		losesOrders bool
		// noCheckpoints makes runs save no checkpoints.
		noCheckpoints bool

		// gangs are the runs of gangs, doneWork the tasks and gangs that have ended as done.
		gangs    map[string]*modelGang
		doneWork map[string]bool
		// countedAcks and countedRuns are the runs that failures and failedRuns count.
		countedAcks, countedRuns map[string]bool
		catalogVersion           uint64
		maxAttempts              uint32

		doneAcked  map[string]bool
		failures   map[string]int
		cancelled  map[string]time.Duration
		completed  map[string]bool
		violations []string
		// drainedAt holds the time since which each failure domain is drained.
		drainedAt map[string]time.Duration
		// maxConnections bounds the connections to agents; 0 is no limit. connectionsInUse
		// counts the connections with an unanswered order.
		maxConnections, connectionsInUse int
		polls                            int // orders of this kind
		// actualDurations hold the durations of jobs' tasks that differ from the declared ones.
		actualDurations map[string]time.Duration
	}
)

func newSim(seed uint64, size int, guarded bool, f faults) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 11)), faults: f, guarded: guarded, graph: graph.New(),
		agents: map[string]*modelAgent{}, steps: map[string]*wire.Step{}, doneAcked: map[string]bool{},
		drainedAt: map[string]time.Duration{}, startsInFlight: map[string]int{},
		crashedFor:   3 * time.Second,
		crashingJobs: map[string]time.Duration{}, crashes: map[string]int{}, causedCrashes: map[string]int{}, otherCrashes: f.restart+f.crash+f.partition > 0, failedRuns: map[string]int{}, refusingAddresses: map[string]bool{}, logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		failures: map[string]int{}, issuedTickets: map[string]time.Duration{}, cancelled: map[string]time.Duration{}, completed: map[string]bool{},
	}
	s.losesOrders = f.late+f.lost+f.leaderChange > 0
	s.graph.BootClock = func() time.Duration { return s.now }
	s.tailLatencyOf = func(_ *modelAgent, run *modelRun) int { return int(run.step.TailTargetMs) / 2 }
	s.gangs, s.doneWork = map[string]*modelGang{}, map[string]bool{}
	s.countedAcks, s.countedRuns = map[string]bool{}, map[string]bool{}
	s.advice, s.maxAttempts = f.advice, 3
	if f.removeRoute > 0 {
		s.maxAttempts = routedAttempts
	}
	s.putCatalog(true)
	for i := range size {
		s.startAgent(fmt.Sprintf("10.0.0.%d:1", i))
	}
	s.elect()
	return s
}

func (s *sim) check(ok bool, format string, args ...any) {
	if !ok {
		s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) chance(p float64) bool { return !s.faultsEnded && s.random.Float64() < p }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	s.events = append(s.events, event{s.now + d, s.seq, do})
}

func (s *sim) commit(c *wire.WorkCommand) graph.Result {
	return s.graph.Apply(time.Unix(0, 0).Add(s.now), c)
}

// startAgent starts an agent at an address, under a new id.
func (s *sim) startAgent(address string) {
	s.startAgentAs(fmt.Sprintf("r-%d", s.agentsStarted+1), address)
}

// startAgentAs starts an agent under an id that an earlier one may have had. It has no state of the
// earlier one, and its sequence numbers restart.
func (s *sim) startAgentAs(id, address string) {
	s.agentsStarted++
	delete(s.refusingAddresses, address)
	s.agents[address] = &modelAgent{
		sim: s, offset: time.Duration(s.random.Int64N(int64(time.Hour))), rate: 1 - 0.02*s.random.Float64(),
		record: &wire.Agent{Id: id, Address: address, Pool: "p", CpuMillis: 8000, MemoryMb: 8000, FailureDomain: domainOf(address)},
		runs:   map[string]*modelRun{}, closed: map[string]uint32{}, failing: s.chance(s.faults.failingAgent),
	}
	if s.faults.incarnations || s.reportIncarnations {
		s.reportIncarnations = true
		s.agents[address].incarnation = uint64(s.agentsStarted)
		s.agents[address].record.Incarnation = uint64(s.agentsStarted)
	}
}

// elect elects a new leader, whose engine starts from the replicated state alone.
func (s *sim) elect() {
	s.term++
	term := s.term
	s.isLeader, s.leaderSince = true, s.now
	s.engine = drive.New(drive.Options{
		Graph: s.graph, MaxConnections: s.maxConnections, Lease: modelLease, StopGrace: modelGrace, Disabled: s.faults.disabled, Enabled: s.faults.enabled,
		Propose: func(c *wire.Command, done func(state.Result, error)) {
			if s.proposalsFail {
				s.after(simTick, func() { done(state.Result{}, node.ErrNotLeader) })
				return
			}
			s.proposals = append(s.proposals, proposal{c, done, term})
			s.after(commitLatency, s.commitNext)
		},
		IsLeader:         func() (uint64, bool) { return term, s.isLeader && s.term == term },
		HoldsLeaderLease: func(uint64) bool { return s.holdsLeaderLease() },
		Send:             s.sendOrder,
		Advise:           s.advise,
		BootClock:        func() time.Duration { return s.now },
		WallClock:        func() time.Time { return time.Unix(0, 0).Add(s.now) },
		Logger:           s.logger,
	})
}

func (s *sim) holdsLeaderLease() bool { return s.now >= s.leaselessUntil }

// advise answers like the external service: always the same agents for a step, with tickets that
// are valid for three seconds.
func (s *sim) advise(request drive.AdviceRequest) {
	engine := s.engine
	if s.chance(s.faults.lost) {
		s.after(request.Timeout, func() { engine.HandleAdvice(s.now, drive.AdviceAnswer{Request: request}) })
		return
	}
	s.after(50*time.Millisecond+time.Duration(len(request.Agents))*5*time.Millisecond, func() {
		answer := drive.AdviceAnswer{Request: request, Answered: true, ValidFor: 3 * time.Second, Tickets: map[string]string{}}
		for _, n := range request.Names {
			key := fmt.Sprintf("%s.%d.%d/%s", request.Job, request.Occurrence, request.Step, n)
			if n != "r-1" && xxhash.Sum64String(key)%3 == 0 {
				continue
			}
			answer.Tickets[n] = key
			s.issuedTickets[key] = s.now + answer.ValidFor
		}
		engine.HandleAdvice(s.now, answer)
	})
}

// depose ends a leader's term. Its last proposal may or may not be committed.
func (s *sim) depose() {
	s.isLeader = false
	pending := s.proposals
	s.proposals = nil
	for i, p := range pending {
		if s.random.IntN(2) == 0 && i == 0 {
			s.commit(p.command.GetWork())
		}
	}
	s.engine.Tick(s.now)
	s.after(time.Duration(s.random.Int64N(int64(3*time.Second)))+time.Second, s.elect)
}

func (s *sim) commitNext() {
	if len(s.proposals) == 0 {
		return
	}
	p := s.proposals[0]
	s.proposals = s.proposals[1:]
	p.command.At = timestamppb.New(time.Unix(0, 0).Add(s.now))
	// Committed commands are decoded from the log and don't share memory with the proposal.
	command := proto.Clone(p.command).(*wire.Command)
	if command.GetWork().GetCrashReports() != nil {
		s.crashReports++
	}
	res := s.commit(command.GetWork())
	p.done(state.Result{Err: res.Err, PlacementErrors: res.PlacementErrors}, nil)
}

// sendOrder delivers an order to its agent: immediately, seconds late, or without its answer.
func (s *sim) sendOrder(order drive.Order) {
	engine := s.engine
	if order.Kind == drive.Poll {
		s.polls++
	}
	if !s.holdsLeaderLease() {
		s.after(time.Millisecond, func() {
			engine.HandleAnswer(s.now, drive.Answer{Order: order, Verdict: drive.NotSent, Detail: "no leader lease"})
		})
		return
	}
	timeout := answerTimeout + order.Wait
	if s.maxConnections > 0 && s.connectionsInUse >= s.maxConnections {
		s.after(time.Millisecond, func() { engine.HandleAnswer(s.now, drive.Answer{Order: order, Verdict: drive.NoConnection}) })
		return
	}
	s.checkHealth(order)
	s.connectionsInUse++
	s.countStart(order, 1)
	answered := false
	answer := func(a drive.Answer) {
		if !answered {
			answered = true
			s.connectionsInUse--
			s.countStart(order, -1)
			engine.HandleAnswer(s.now, a)
		}
	}
	s.after(timeout, func() { answer(drive.Answer{Order: order, Verdict: drive.NoAnswer}) })
	if agent := s.agents[order.Agent.Address]; agent != nil {
		agent.onConnectionClose = append(agent.onConnectionClose, func() { answer(drive.Answer{Order: order, Verdict: drive.NoAnswer, ConnectionClosed: true}) })
	}
	deliver := func(reply func(drive.Answer)) {
		agent := s.agents[order.Agent.Address]
		if agent == nil && s.refusingAddresses[order.Agent.Address] {
			reply(drive.Answer{Order: order, Verdict: drive.NotSent, ConnectionClosed: true, ConnectionRefused: true})
		}
		if agent == nil || agent.isUnreachable() {
			return
		}
		if order.Kind == drive.Poll && order.Wait > 0 && len(agent.completions) == 0 && agent.isTarget(order) && order.Fence >= agent.fence {
			agent.handle(order)
			if len(agent.completions) == 0 {
				agent.waitingPolls = append(agent.waitingPolls, waitingPoll{order, s.now + order.Wait, reply})
				return
			}
		}
		a := agent.handle(order)
		switch {
		case agent.isUnreachable():
		case order.Kind == drive.Start && s.startDelayOf != nil:
			s.after(s.startDelayOf(agent), func() { reply(a) })
		default:
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

// countStart counts the starts in flight.
func (s *sim) countStart(order drive.Order, change int) {
	if order.Kind != drive.Start {
		return
	}
	address, all := order.Agent.Address, 0
	s.startsInFlight[address] += change
	for _, n := range s.startsInFlight {
		all += n
	}
	s.peakStarts = max(s.peakStarts, all)
	s.peakAgentStarts = max(s.peakAgentStarts, s.startsInFlight[address])
}

// endFaults ends all faults, also those in effect.
func (s *sim) endFaults() {
	s.faultsEnded, s.faultsEndedAt, s.faults = true, s.now, faults{disabled: s.faults.disabled, enabled: s.faults.enabled}
	for _, d := range sortedKeys(s.drainedAt) {
		s.drain(d, true)
	}
	if s.graph.Catalog().Queues == nil {
		s.putCatalog(true)
	}
	for _, a := range s.agents {
		a.failing, a.unreachableUntil = false, min(a.unreachableUntil, s.now)
	}
}

func (s *sim) report(agent *modelAgent, gone bool) {
	if agent.isUnreachable() {
		return
	}
	agent.sequence++
	record := proto.Clone(agent.record).(*wire.Agent)
	if gone {
		record = &wire.Agent{Id: agent.record.Id} // doesn't identify the incarnation
	}
	s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: record, Sequence: agent.sequence, Gone: gone}, func(err error) {
		if err == nil && record.Leaving && agent.leavingAckedAt == 0 {
			agent.leavingAckedAt = s.now
		}
	})
}

// run advances the simulation by a time, with random jobs at a rate per second.
func (s *sim) run(length time.Duration, jobsPerSecond float64) {
	for end := s.now + length; s.now < end; {
		s.now += simTick
		if s.random.Float64() < jobsPerSecond*simTick.Seconds() {
			s.submitRandomJob()
		}
		s.injectFaults()
		s.runEvents()
		for _, a := range sortedKeys(s.agents) {
			agent := s.agents[a]
			agent.tick(simTick)
			if s.now >= agent.nextHeartbeat {
				agent.nextHeartbeat = s.now + heartbeatInterval
				s.report(agent, false)
			}
		}
		s.engine.Tick(s.now)
		s.checkCancelledRuns()
		if err := s.engine.CheckCaches(); err != nil {
			s.check(false, "%v", err)
		}
		if s.now%indexCheckInterval == 0 {
			if err := s.engine.CheckIndexes(); err != nil {
				s.check(false, "%v", err)
			}
		}
	}
}

// runEvents runs all events that are due.
func (s *sim) runEvents() {
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
