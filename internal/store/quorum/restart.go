// This file defines the election after a restart of all voters, Options.RestartElection.
//
// After a loss of power of all replicas, each would otherwise wait for an election timeout
// although no leader can be left. docs/design/restart-election.md has the proof.

package quorum

import (
	"math"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// restartIntervalDivisor divides the election timeout to give the longest time between
	// two requests. It keeps the expected wait well below the timeout.
	restartIntervalDivisor = 5
	// restartHoldTicks is how long a voter that has confirmed one candidate doesn't stand
	// itself, and confirms only candidates with lower IDs. It is at least one full tick, which
	// is longer than a vote with its sync to disk. Otherwise candidates would split the vote,
	// after which no voter may grant a further request.
	restartHoldTicks = 2
)

// RestartPhase is the state of the election after a restart of all voters.
type RestartPhase int

// The phases of an election after a restart of all voters.
const (
	// RestartInactive: this replica has heard from a leader, has voted for another replica,
	// or doesn't take part.
	RestartInactive RestartPhase = iota
	// RestartAsking: this replica asks all voters whether they have restarted too.
	RestartAsking
	// RestartExpired: an election timeout has passed without a grant of all voters.
	RestartExpired
	// RestartElected: this replica leads by such an election.
	RestartElected
)

// restartElection is the state of an election after a restart of all voters. The zero value
// takes no part. It isn't on disk: it describes one incarnation of the process.
type restartElection struct {
	// leaderless is true from a restart until this replica leads, accepts a message of a
	// leader or votes for another replica. It never becomes true again.
	leaderless bool
	// incarnation identifies this process among all that the replica has run as.
	incarnation uint64
	// ticksLeft is the number of ticks until the next request.
	ticksLeft int
	// request identifies the latest request, so that delayed answers to earlier ones don't
	// count; 0 if there is none. term is the term that it asks for.
	request, term uint64
	// confirming are the incarnations that granted the first request and are asked to
	// confirm. It is nil during the first request.
	confirming map[uint64]uint64
	// granted are the incarnations that have granted the latest request.
	granted map[uint64]uint64
	// heldFor is the candidate confirmed last, for which the hold lasts holdTicks.
	heldFor   uint64
	holdTicks int
	// campaigning is true while the latest campaign is such an election.
	campaigning bool
}

// startRestartElection takes part in the election after a restart of all voters.
func (c *Core) startRestartElection() {
	c.restart = restartElection{leaderless: true, incarnation: c.randomNumber(), ticksLeft: c.restartInterval()}
}

// randomNumber returns a random number that isn't 0.
func (c *Core) randomNumber() uint64 { return uint64(c.options.Random(math.MaxInt)) + 1 }

func (c *Core) restartInterval() int {
	return 1 + c.options.Random(max(c.options.ElectionTicks/restartIntervalDivisor, 1))
}

// tickRestart sends a request at random intervals until an election timeout has passed since
// the restart.
func (c *Core) tickRestart() {
	r := &c.restart
	r.holdTicks = max(r.holdTicks-1, 0)
	if !r.leaderless || c.noVoteTicks == 0 || !c.isVoter(c.options.ID) {
		return
	}
	r.ticksLeft--
	if r.ticksLeft > 0 {
		return
	}
	r.ticksLeft = c.restartInterval()
	voting := c.role == Candidate && r.holdTicks > 0 // its votes may still arrive
	if !voting && !c.heldForOther() {
		c.requestRestart(nil)
	}
}

// heldForOther reports whether this replica has just confirmed another candidate.
func (c *Core) heldForOther() bool {
	return c.restart.holdTicks > 0 && c.restart.heldFor != c.options.ID
}

// mayConfirm reports whether this replica confirms a candidate. Of several candidates that ask
// at the same time, all voters, including the other candidates, confirm the one with the lowest ID.
func (c *Core) mayConfirm(candidate uint64) bool {
	return c.restart.holdTicks == 0 || candidate <= c.restart.heldFor
}

// requestRestart asks all voters to grant an election: first whether they have restarted, and
// then whether the incarnations that answered still exist and are still leaderless. So there
// was a moment, that of the second request, at which all voters were leaderless. One round
// doesn't show that: one voter's answer may be older than a leader that another has forgotten
// by a further restart.
func (c *Core) requestRestart(confirming map[uint64]uint64) {
	r := &c.restart
	r.request, r.term, r.confirming = c.randomNumber(), c.term+1, confirming
	r.granted = map[uint64]uint64{c.options.ID: r.incarnation}
	if confirming != nil {
		r.heldFor, r.holdTicks = c.options.ID, restartHoldTicks
	}
	for _, m := range c.voters() {
		if m.ReplicaId != c.options.ID {
			c.sendPrompt(&wire.PeerMessage{
				Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE, To: m.ReplicaId, Term: r.term, Restarted: true,
				Index: c.LastIndex(), LogTerm: c.termAt(c.LastIndex()),
				Round: r.request, AskedIndex: confirming[m.ReplicaId],
			})
		}
	}
	c.countRestarted()
}

// countRestarted continues once all voters have granted the latest request.
func (c *Core) countRestarted() {
	r := &c.restart
	for _, m := range c.voters() {
		if r.granted[m.ReplicaId] == 0 {
			return
		}
	}
	switch {
	case r.confirming != nil:
		c.campaign(Candidate, false, r.granted)
	case !c.heldForOther():
		c.requestRestart(r.granted)
	default:
	}
}

// handleRestartMessage handles requests and their answers. It returns false for other messages.
func (c *Core) handleRestartMessage(m *wire.PeerMessage) bool {
	switch m.Kind {
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE:
		c.handleRestartRequest(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER:
		c.handleRestartAnswer(m)
	default:
		return false
	}
	return true
}

// handleRestartRequest answers a candidate that asks whether this replica has restarted. It
// doesn't answer if it hasn't, or is no longer leaderless.
func (c *Core) handleRestartRequest(m *wire.PeerMessage) {
	r := &c.restart
	confirms := m.AskedIndex != 0
	if !r.leaderless || !c.isVoter(c.options.ID) || confirms && (m.AskedIndex != r.incarnation || !c.mayConfirm(m.From)) {
		return
	}
	answer := &wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER, To: m.From, Term: m.Term, Restarted: true,
		Round: m.Round, AskedIndex: r.incarnation,
	}
	switch {
	case m.Term <= c.term || !c.logUpToDate(m):
		answer.Reject, answer.Term = true, c.term
	case confirms:
		r.heldFor, r.holdTicks = m.From, restartHoldTicks
	default:
	}
	c.sendPrompt(answer)
}

// handleRestartAnswer counts an answer to the latest request. Others, such as a delayed rejection
// after this replica has heard from a leader, have no effect.
func (c *Core) handleRestartAnswer(m *wire.PeerMessage) {
	r := &c.restart
	switch {
	case !r.leaderless, r.request == 0, m.Round != r.request, r.term != c.term+1:
		return
	case m.Reject && m.Term > c.term:
		c.role = Follower
		c.setTerm(m.Term) // the next request asks for a later one
		return
	case m.Reject:
		return
	case r.confirming != nil && r.confirming[m.From] != m.AskedIndex:
		return
	}
	r.granted[m.From] = m.AskedIndex
	c.countRestarted()
}

// waivesWait reports whether this replica votes without waiting for an election timeout since
// its restart: it is the incarnation that confirmed to the candidate, and is still leaderless.
func (c *Core) waivesWait(m *wire.PeerMessage) bool {
	return m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE && m.Restarted && c.restart.leaderless && m.AskedIndex == c.restart.incarnation
}

// endRestart ends this incarnation's part in elections after a restart of all voters.
func (c *Core) endRestart() {
	c.restart.leaderless, c.restart.request = false, 0
}

// restartGrants returns the number of voters that have granted the latest request, or all if
// this replica was elected by their grants.
func (c *Core) restartGrants() int {
	if c.restartPhase() == RestartElected {
		return len(c.voters())
	}
	return len(c.restart.granted)
}

func (c *Core) restartPhase() RestartPhase {
	switch {
	case c.role == Leader && c.restart.campaigning:
		return RestartElected
	case !c.restart.leaderless || !c.isVoter(c.options.ID):
		return RestartInactive
	case c.noVoteTicks > 0:
		return RestartAsking
	default:
		return RestartExpired
	}
}
