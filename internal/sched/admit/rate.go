// This file defines Rate, a moving average.

package admit

import (
	"math"
	"time"
)

// rateWindow is the time constant of Rate. Bursts and failures of agents last some seconds.
const rateWindow = 5 * time.Second

// Rate is the rate at which an amount accrues, as a moving average over rateWindow. The
// zero value has recorded nothing.
type Rate struct {
	sum          float64 // decayed
	since, until time.Duration
	started      bool
}

// Add records an amount.
func (r *Rate) Add(now time.Duration, amount float64) {
	if !r.started {
		r.started, r.since, r.until = true, now, now
	}
	r.sum = r.sum*decay(now-r.until) + amount
	r.until = now
}

// PerMillisecond returns the rate. It is corrected for the time before the first amount.
func (r *Rate) PerMillisecond(now time.Duration) float64 {
	if !r.started || now <= r.since {
		return 0
	}
	window := float64(rateWindow.Milliseconds()) * (1 - decay(now-r.since))
	return r.sum * decay(now-r.until) / max(window, 1)
}

func decay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(rateWindow)) }
