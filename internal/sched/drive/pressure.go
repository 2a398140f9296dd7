// This file defines what is learned of how opportunistic work disturbs
// standing work.

package drive

import "math"

const (
	// firstWeight stands for pairs of images not seen together yet: between
	// the harmless (about 1) and the harmful (5 and more) ones that were
	// measured, so that a first try is made, but a small one.
	firstWeight = 2.0
	maxWeight   = 20.0
	// weightStep is how far one observation moves a weight. An agent gives two
	// a second for each standing task, so that a pair is known in some seconds.
	weightStep = 0.3
	// weightNoise damps steps on little load, where the swing of a standing
	// task's own load is the larger part of what is seen.
	weightNoise = 0.02
	// quietStep is the weight of the newest reading in a run's own tail.
	quietStep = 0.3
	// usualQuiet is the part of its target that a standing task's tail is
	// taken for before its first reading.
	usualQuiet = 0.4
)

type (
	// pair is a standing image and an opportunistic one beside it.
	pair struct{ standing, beside string }

	// pressure is the learned model: the logarithm of a standing task's tail
	// is that of its own quiet tail plus, for each opportunistic image beside
	// it, a weight times the share of the agent's processors which that image
	// uses. The zero value knows nothing.
	//
	// Tails are told as figures of the last half second that swing with the
	// task's own load, so the weights are learned over all agents by
	// normalized least mean squares, and the quiet tail for each run.
	pressure struct {
		weights map[pair]float64
	}

	// load is the share of an agent's processors in use, by image.
	load map[string]float64
)

func (p *pressure) weight(standing, beside string) float64 {
	if w, ok := p.weights[pair{standing, beside}]; ok {
		return w
	}
	return firstWeight
}

// added is what a load adds to the logarithm of a standing task's tail.
func (p *pressure) added(standing string, beside load) float64 {
	sum := 0.0
	for image, share := range beside {
		sum += p.weight(standing, image) * share
	}
	return sum
}

// learn takes one reading: the logarithm of a tail, that of the run's quiet
// tail, and the load that was beside it.
func (p *pressure) learn(standing string, beside load, tail, quiet float64) {
	norm := weightNoise
	for _, share := range beside {
		norm += share * share
	}
	miss := tail - quiet - p.added(standing, beside)
	if p.weights == nil {
		p.weights = map[pair]float64{}
	}
	for image, share := range beside {
		w := p.weight(standing, image) + weightStep*miss*share/norm
		p.weights[pair{standing, image}] = min(max(w, 0), maxWeight)
	}
}

func logOf(milliseconds float64) float64 {
	return math.Log(max(milliseconds, 1))
}
