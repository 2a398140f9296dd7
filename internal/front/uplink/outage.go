// This file defines how an entry tracks times in which no leader answers it.

package uplink

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/codes"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/front/retry"
)

var (
	refusedInElection    = metrics.NewCounter(`sycamoredeck_work_requests_refused_total{state="election"}`)
	refusedWithoutQuorum = metrics.NewCounter(`sycamoredeck_work_requests_refused_total{state="no_quorum"}`)
)

// outageRecord is the current time without a leader that answers. The zero value is none.
type outageRecord struct {
	since   time.Time
	refused int // callers of this entry
}

// trackOutage starts or ends the outage. The leader answers if its last hello named itself,
// and neither a hello nor a probe has failed since. The caller holds mu.
func (u *Uplink) trackOutage(now time.Time) {
	rs, known := u.replicas[u.leaderAddress]
	switch {
	case known && rs.response.GetLeaderAddress() == u.leaderAddress && rs.failedHellos == 0 && rs.probeFailedAt.IsZero():
		u.outage = outageRecord{}
	case u.outage.since.IsZero():
		u.outage.since = now
	}
}

// quorumResponsive reports whether a majority of the voters is expected to respond: those
// with a valid status, fewer than maxFailedHellos failures and no failed probe. It returns
// true if no voter is known.
func (u *Uplink) quorumResponsive() bool {
	now := u.options.Clock.Now()
	responsive, voters := u.countVoters(func(rs replicaStatus) bool { return rs.failedHellos < maxFailedHellos && !rs.probeFailed(now) })
	return voters == 0 || responsive > voters/2
}

// currentOutage returns the current outage.
func (u *Uplink) currentOutage() retry.Outage {
	hasQuorum := u.quorumResponsive()
	now := u.options.Clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	o := retry.Outage{Quorum: hasQuorum, Refused: u.outage.refused}
	if !u.outage.since.IsZero() {
		o.Lasted = now.Sub(u.outage.since)
	}
	return o
}

// refuse returns the error of a call that was not executed, with the time after which its
// caller, who waits for the time left, should return.
func (u *Uplink) refuse(text string, left time.Duration) error {
	o := u.currentOutage()
	u.mu.Lock()
	u.outage.refused++
	u.mu.Unlock()
	counter := refusedWithoutQuorum
	if o.Quorum {
		counter = refusedInElection
	}
	counter.Inc()
	after := o.RetryAfter(left)
	u.options.Logger.Info("request refused", "quorum", o.Quorum, "lasted_ms", o.Lasted.Milliseconds(), "refused_before", o.Refused,
		"retry_after_s", after.Seconds(), "error", text)
	return withRetryInfo(codes.Unavailable, text, after)
}

// probeMemory is how long a failed probe counts against a quorum. The entry itself may have been paused, so
// that all probes failed, and hellos are long polls that tell later.
const probeMemory = time.Second

// probeFailed reports whether the replica has lately not answered a probe.
func (rs replicaStatus) probeFailed(now time.Time) bool {
	return !rs.probeFailedAt.IsZero() && now.Sub(rs.probeFailedAt) < probeMemory
}

// recordProbe records whether a replica answered a probe, until its next hello.
func (u *Uplink) recordProbe(address string, answered bool) {
	now := u.options.Clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if rs, known := u.replicas[address]; known {
		rs.probeFailedAt = now
		if answered {
			rs.probeFailedAt = time.Time{}
		}
		u.replicas[address] = rs
	}
	u.trackOutage(now)
}

// probeVoters probes the voters in the background, unless that is going on, after the
// leader didn't answer a probe. Hellos are long polls and tell only after seconds that a
// quorum doesn't respond; a caller would be held in vain meanwhile.
func (u *Uplink) probeVoters() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, m := range u.members() {
		if m.Voter && m.Address != u.leaderAddress && !u.probing[m.Address] {
			u.probing[m.Address] = true
			go u.probeVoter(m.Address)
		}
	}
}

func (u *Uplink) probeVoter(address string) {
	_, err := u.options.Pool.Probe(context.Background(), address)
	if err == nil || errors.Is(err, link.ErrNotResponding) {
		u.recordProbe(address, err == nil)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.probing, address)
}
