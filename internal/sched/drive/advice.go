// This file defines how an external advice service authorizes agents to run a stage.

package drive

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const (
	// maxAgentsPerRequest limits the agents in one request, whose duration grows with
	// them.
	maxAgentsPerRequest = 30
	// ticketMargin is the least remaining validity of a ticket for a start: the time of
	// one order and one retry.
	ticketMargin = 800 * time.Millisecond
	// adviceRetryInterval is the pause after a request without an answer.
	adviceRetryInterval = 300 * time.Millisecond
)

type (
	// AdviceRequest asks which of the given agents may run a step.
	AdviceRequest struct {
		Job              string
		Occurrence, Step uint32
		// Agents are the registered ids, Names the agents' own ids in the same order.
		Agents, Names []string
		// Timeout is how long the answer may take.
		Timeout time.Duration
		// Term is the leader's term; answers in a later term are ignored.
		Term uint64
	}

	// AdviceAnswer is the answer of the advice service.
	AdviceAnswer struct {
		Request AdviceRequest
		// Answered indicates that there was an answer.
		Answered bool
		// Tickets maps the names of the authorized agents to their tickets.
		Tickets map[string]string
		// ValidFor is how long the tickets are valid after the answer.
		ValidFor time.Duration
		Detail   string
	}

	ticket struct {
		text       string
		validUntil time.Duration
	}

	// stageAdvice is the advice for one stage.
	stageAdvice struct {
		asked   map[string]bool
		tickets map[string]ticket
	}
)

// advicePolicyOf returns the advice policy of a stage's queue, or nil.
func (e *Engine) advicePolicyOf(s *graph.Stage) *wire.AdvicePolicy {
	return e.graph.Queue(s.Job.Queue).GetAdvice()
}

func (e *Engine) adviceOf(s *graph.Stage) *stageAdvice {
	adv := e.advice[s]
	if adv == nil {
		adv = &stageAdvice{asked: map[string]bool{}, tickets: map[string]ticket{}}
		e.advice[s] = adv
	}
	return adv
}

// ticketFor returns a ticket that is valid long enough for a start.
func (e *Engine) ticketFor(s *graph.Stage, agent string) (string, bool) {
	t, ok := e.adviceOf(s).tickets[agent]
	return t.text, ok && e.now+ticketMargin < t.validUntil
}

// withTickets returns the agents with a ticket for a stage.
func (p *pass) withTickets(s *graph.Stage, candidates []*freeResources) []*freeResources {
	var allowed []*freeResources
	for _, f := range candidates {
		if _, ok := p.engine.ticketFor(s, f.agent.record.Id); ok {
			allowed = append(allowed, f)
		}
	}
	return allowed
}

// requestAdvice asks about agents that could run the remaining tasks of a stage: those
// that weren't asked about yet, and authorized ones whose tickets have expired. The
// service accepts one request at a time.
func (p *pass) requestAdvice(s *graph.Stage, agents []*freeResources) {
	e := p.engine
	if e.advicePending || e.now < e.nextAdvice || e.options.Advise == nil {
		return
	}
	adv := e.adviceOf(s)
	type candidate struct {
		id, name string
		cost     float64
	}
	var candidates []candidate
	for _, f := range agents {
		id := f.agent.record.Id
		_, allowed := adv.tickets[id]
		if _, valid := e.ticketFor(s, id); valid || (adv.asked[id] && !allowed) || !f.fits(s) {
			continue
		}
		candidates = append(candidates, candidate{id, graph.AgentName(f.agent.record), p.cost(s, f)})
	}
	if len(candidates) == 0 {
		return
	}
	sort.Slice(candidates, func(i, k int) bool { return candidates[i].cost < candidates[k].cost })
	r := AdviceRequest{Job: s.Job.ID, Occurrence: s.Occurrence, Step: s.Index, Term: e.term}
	for _, c := range candidates[:min(len(candidates), maxAgentsPerRequest)] {
		r.Agents, r.Names = append(r.Agents, c.id), append(r.Names, c.name)
	}
	policy := e.advicePolicyOf(s)
	r.Timeout = policy.GetDecide().AsDuration() + time.Duration(len(r.Agents))*policy.GetInterval().AsDuration() + time.Second
	e.advicePending = true
	e.options.Advise(r)
}

// HandleAdvice processes an answer of the advice service.
func (e *Engine) HandleAdvice(now time.Duration, ans AdviceAnswer) {
	e.now = now
	if ans.Request.Term != e.term || e.term == 0 {
		return
	}
	e.advicePending, e.placementDirty = false, true
	t := e.graph.FindTask(&wire.RunId{Job: ans.Request.Job, Occurrence: ans.Request.Occurrence, Step: ans.Request.Step})
	if !ans.Answered {
		e.nextAdvice = now + adviceRetryInterval
		e.options.Logger.Info("advice request failed", "job", ans.Request.Job, "step", ans.Request.Step, "agents", len(ans.Request.Agents), "detail", ans.Detail)
		return
	}
	e.options.Logger.Info("advice received", "job", ans.Request.Job, "step", ans.Request.Step, "agents", len(ans.Request.Agents), "allowed", len(ans.Tickets), "valid", ans.ValidFor)
	if t == nil {
		return
	}
	adv := e.adviceOf(t.Stage)
	for i, id := range ans.Request.Agents {
		adv.asked[id] = true
		if text, allowed := ans.Tickets[ans.Request.Names[i]]; allowed {
			adv.tickets[id] = ticket{text, now + ans.ValidFor}
		}
	}
}
