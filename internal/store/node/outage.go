// This file defines how the time without a leader, and as a leader without a lease, is
// recorded.

package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/store/quorum"
)

var (
	leaderlessSeconds = metrics.NewFloatCounter("sycamoredeck_log_without_leader_seconds_total")
	leaselessSeconds  = metrics.NewFloatCounter("sycamoredeck_log_leader_without_lease_seconds_total")
)

// outage is a condition that lasts while a replica can't do its work. The zero value is none.
// reported is set once it has been logged.
type outage struct {
	lasts    bool
	since    time.Duration
	reported bool
}

// recordOutages records for how long this replica has known no leader, or has led without a
// leader lease. Outages longer than an election timeout are logged, once at that time and
// once when they end.
func (n *Node) recordOutages() {
	status, now := n.core.Status(), n.iterationBootTime
	elapsed := (now - n.outagesRecordedAt).Seconds()
	if n.outagesRecordedAt == 0 {
		elapsed = 0
	}
	n.outagesRecordedAt = now
	if n.leaderless.lasts {
		leaderlessSeconds.Add(elapsed)
	}
	if n.leaseless.lasts {
		leaselessSeconds.Add(elapsed)
	}
	leads := status.Role == quorum.Leader
	n.updateOutage(&n.leaderless, status.Leader == 0, status, "no leader is known", "leader is known again")
	n.updateOutage(&n.leaseless, leads && !n.HoldsLeaderLease(status.Term), status, "leader lease isn't confirmed", "leader lease is confirmed again or leadership has ended")
}

func (n *Node) updateOutage(o *outage, lasts bool, status quorum.Status, began, ended string) {
	now := n.iterationBootTime
	switch {
	case lasts && !o.lasts:
		*o = outage{lasts: true, since: now}
	case lasts && !o.reported && now-o.since >= n.options.ElectionTimeout:
		o.reported = true
		syncing := time.Duration(0)
		if n.persisting {
			syncing = now - n.persistStart
		}
		n.options.Logger.Warn(began, "since_ms", (now - o.since).Milliseconds(), "role", status.Role.String(), "term", status.Term,
			"round", status.Round, "confirmed_round", status.ConfirmedRound, "sync_in_progress_ms", syncing.Milliseconds())
	case !lasts && o.lasts:
		if o.reported {
			n.options.Logger.Info(ended, "lasted_ms", (now - o.since).Milliseconds(), "role", status.Role.String(), "term", status.Term)
		}
		*o = outage{}
	}
}
