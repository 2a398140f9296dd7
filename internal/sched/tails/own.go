// This file defines Own and how a told tail is read.

package tails

import (
	"math"
	"time"
)

const (
	// toldOver is the time over which told tails are smoothed.
	toldOver = 400 * time.Millisecond
	// toldNoise is by what part a told tail is off.
	toldNoise = 0.03
	// leastSpread bounds from below how far a utilization may be off, since tails
	// are told in whole milliseconds.
	leastSpread = 0.02
	// settleTime is how long after its start the tails of a standing run are too
	// low: they are smoothed from nothing.
	settleTime = 1500 * time.Millisecond
	// ownDrift is the variance by which a standing task's own load may move from
	// one reading to the next beside its swing.
	ownDrift = 0.0006
	// trendStep is how much of what a level was off by goes into the trend, a
	// second.
	trendStep = 0.25
	// maxTrend bounds the trend, a second. The swing of a standing task's own load
	// moves its utilization by up to 0.11 a second.
	maxTrend = 0.15
	// MinReadingInterval and maxReadingGap lie between two readings that are compared.
	// Closer ones tell nothing of the trend; between farther ones the load swings.
	MinReadingInterval = 200 * time.Millisecond
	maxReadingGap      = 1500 * time.Millisecond
	// saturated is the utilization from which on a tail tells no more than that it is
	// high.
	saturated = 0.94
	// maxSurprise is how many deviations a reading counts for at most. A disturbance
	// that came and went between two readings would else be laid to whatever was
	// there at the second.
	maxSurprise = 3.0
)

type (
	// Own is what is known of a standing run's utilization without others' doing.
	// The zero value knows nothing.
	Baseline struct {
		// Known tells that there was a reading, and that what came after it can
		// be compared with it.
		Valid bool
		// At is when the latest reading was taken.
		At time.Duration

		image string
		// level is the own utilization by the weights known at the latest reading,
		// trend its change a second.
		level, trend float64
		// beside is what ran beside, averaged over the readings as they count in
		// level: a weight that is off by some part is off in level by that part of
		// beside. added is what beside added by the weights known then.
		beside Load
		added  float64
		told   float64       // the tail of the latest reading
		first  time.Duration // when the first reading was taken
		marked time.Duration // when mark was the level
		mark   float64
	}

	// Reading is a tail that an agent told of a standing run.
	Reading struct {
		Target Target
		At     time.Duration
		// Milliseconds is the tail that was told.
		Milliseconds float64
		// Beside is what ran beside, on average since the reading before; Unsure how
		// much of that share may belong to another time.
		Colocated Load
		Uncertain Load
	}
)

// Follows tells whether a reading can be compared with the one before.
func (o *Baseline) Comparable(now time.Duration) bool {
	return o.Valid && now-o.At <= maxReadingGap
}

// settled tells whether the run's tails are told of for long enough.
func (o *Baseline) settled(now time.Duration) bool {
	return o.Valid && now-o.first > settleTime
}

// Level is a run's own utilization at its latest reading.
func (m *Model) Level(o *Baseline) float64 {
	return min(max(o.level+o.added-m.Interference(o.image, o.beside), 0), maxBusy)
}

// Expect is a run's own utilization at a time after its latest reading.
func (m *Model) Predict(o *Baseline, now time.Duration) float64 {
	level, _ := m.Variation.ahead(m.Level(o), o.trend, now-o.At)
	return min(max(level, 0), maxBusy)
}

// Peak is the highest that a run's own utilization is expected to be until some
// time after its latest reading.
func (m *Model) PredictPeak(o *Baseline, until time.Duration) float64 {
	return min(max(m.Variation.peak(m.Level(o), o.trend, until-o.At), 0), maxBusy)
}

// Note learns from a reading of a run.
func (m *Model) Observe(o *Baseline, r Reading) {
	image := r.Target.Image
	busy, variance := m.read(o, r)
	if !o.Comparable(r.At) {
		m.begin(o, r, busy)
		return
	}
	variance += m.unsure(r)
	if busy >= saturated && busy < m.Level(o)+m.Interference(image, r.Colocated) {
		variance = 1 // all that is known is that it is high
	}
	gain := ownDrift / (ownDrift + variance)
	if o.settled(r.At) {
		expected, _ := m.Variation.ahead(m.Level(o), o.trend, r.At-o.At)
		miss := busy - expected - m.Interference(image, r.Colocated)
		m.UpdateWeights(image, r.At, r.Colocated.Sub(o.beside), miss, variance*(1+gain)+ownDrift)
	}
	expected, trend := m.Variation.ahead(m.Level(o), o.trend, r.At-o.At)
	miss := busy - expected - m.Interference(image, r.Colocated)
	o.level = min(max(expected+gain*miss, 0), maxBusy)
	o.trend = min(max(trend+gain*miss*trendStep, -maxTrend), maxTrend)
	o.beside = o.beside.toward(r.Colocated, gain)
	o.added = m.Interference(image, o.beside)
	o.At, o.told = r.At, r.Milliseconds
	if lag := r.At - o.marked; lag >= swingLag {
		m.Variation.note(o.mark, o.level, lag)
		o.marked, o.mark = r.At, o.level
	}
}

// begin starts to follow a run, or follows it anew after a pause.
func (m *Model) begin(o *Baseline, r Reading, busy float64) {
	first := o.first
	if first == 0 {
		first = r.At
	}
	added := m.Interference(r.Target.Image, r.Colocated)
	*o = Baseline{
		Valid: true, At: r.At, image: r.Target.Image, level: max(busy-added, 0), beside: r.Colocated, added: added,
		told: r.Milliseconds, first: first, marked: r.At,
	}
	o.mark = o.level
}

// read works out what utilization a told tail speaks of, and its variance, for the
// time since the reading before. A told tail is smoothed: taken as it is, a
// disturbance that has ended counts for a second more, and one that begins shows
// in part only.
func (m *Model) read(o *Baseline, r Reading) (busy, variance float64) {
	told := r.Milliseconds
	tail, spread := told, toldNoise*told
	if o.Comparable(r.At) {
		kept := math.Exp(-float64(r.At-o.At) / float64(toldOver))
		tail = (told - kept*o.told) / (1 - kept)
		spread = toldNoise * math.Hypot(told, kept*o.told) / (1 - kept)
	}
	if o.settled(r.At) {
		m.noteFloor(r.Target, told)
	}
	base := m.base(r.Target)
	tail = min(max(tail, base), base/(1-maxBusy))
	off := max(base*spread/(tail*tail), leastSpread)
	return m.Utilization(r.Target, tail), off * off
}

// unsure is the variance of what a load adds for what isn't sure of its time.
func (m *Model) unsure(r Reading) float64 {
	sum := 0.0
	for image, share := range r.Uncertain.sorted() {
		off := m.Weight(r.Target.Image, image) * share
		sum += off * off
	}
	return sum
}
