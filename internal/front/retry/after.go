// This file defines Outage, which decides how long callers wait for a leader and when they
// are told to return.

package retry

import "time"

const (
	// ElectionWait bounds the wait for an election. Callers wait for 3 s in all, which
	// leaves them time for another attempt. From the loss of a leader to the next one most
	// elections take 1.0 to 1.8 s.
	ElectionWait = 1200 * time.Millisecond
	// longElection is the time without a leader after which an election has failed
	// repeatedly, so that waiting for it is no better than returning.
	longElection = 3 * time.Second
	// Shortest and longest are the bounds of the time after which callers return. Callers
	// count whole seconds, and retry four times: with returns after 1, 2, 4 and 5 s, those
	// who wait for that long outlast a loss of power of 9.5 s.
	Shortest = 1 * time.Second
	longest  = 5 * time.Second
	// retriesPerSecond is how many callers of one entry return within a second before
	// later ones are told to return a second later. It is far above the rate of one entry's
	// callers, so that it only delays callers who are refused all at once.
	retriesPerSecond = 20
)

// Outage is a time without a leader that answers, as an entry sees it. It answers callers
// who arrive while all control replicas lack power or elect a leader: more come than can be
// held, and all of them would return at the same time.
type Outage struct {
	// Quorum reports whether enough replicas respond to elect a leader.
	Quorum bool
	// Lasted is the time since no leader answers.
	Lasted time.Duration
	// Refused is the number of callers that the entry has refused meanwhile.
	Refused int
}

// Holds reports whether a caller is held, who has waited for a time and has some left.
// Where no quorum responds, waiting is futile. During an election a caller is held for
// ElectionWait. If it takes unusually long, only callers are held who couldn't return in
// their time.
func (o Outage) Holds(waited, left time.Duration) bool {
	return o.Quorum && waited < ElectionWait && (o.Lasted < longElection || left < Shortest)
}

// RetryAfter returns after which time the next refused caller should return, in whole
// seconds: after an election, or after as much time as the loss of the quorum has lasted
// so far. Callers who are refused faster than retriesPerSecond return later by their
// position, so that those who were refused first return first. A caller who waits for the
// time left returns within it, as a later return is of no use to it.
func (o Outage) RetryAfter(left time.Duration) time.Duration {
	return min(o.expected(), max(left.Truncate(time.Second), Shortest))
}

func (o Outage) expected() time.Duration {
	if o.Quorum {
		return Shortest
	}
	expected := min(max(ceilSeconds(o.Lasted), Shortest), longest)
	excess := float64(o.Refused) - retriesPerSecond*o.Lasted.Seconds()
	spread := time.Duration(max(excess, 0)/retriesPerSecond) * time.Second
	return min(expected+min(spread, expected), longest)
}

func ceilSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}
