// This file defines how a model is stored for the next leader.

package tails

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

// Save returns the model's estimates in a deterministic order.
func (m *Model) Save() *wire.Learned {
	saved := &wire.Learned{Swing: &wire.LearnedSwing{
		Samples: m.Variation.samples, Sum: m.Variation.sum, Squares: m.Variation.squares, Products: m.Variation.products, LagSeconds: m.Variation.lagSeconds,
	}}
	for p, e := range m.weights {
		saved.Pairs = append(saved.Pairs, &wire.LearnedPair{
			Standing: p.standing, Beside: p.opportunistic, Weight: float32(e.weight), Variance: float32(e.variance),
		})
	}
	sort.Slice(saved.Pairs, func(i, k int) bool {
		a, b := saved.Pairs[i], saved.Pairs[k]
		if a.Standing != b.Standing {
			return a.Standing < b.Standing
		}
		return a.Beside < b.Beside
	})
	for im, ms := range m.minTails {
		saved.Floors = append(saved.Floors, &wire.LearnedFloor{Image: im, Milliseconds: float32(ms)})
	}
	sort.Slice(saved.Floors, func(i, k int) bool { return saved.Floors[i].Image < saved.Floors[k].Image })
	return saved
}

// Restore returns a model with saved estimates. Their variances grow from now on.
func Restore(saved *wire.Learned, now time.Duration) Model {
	m := Model{weights: map[imagePair]estimate{}, minTails: map[string]float64{}}
	if s := saved.GetSwing(); s != nil {
		m.Variation = Variation{samples: s.Samples, sum: s.Sum, squares: s.Squares, products: s.Products, lagSeconds: s.LagSeconds}
	}
	for _, p := range saved.GetPairs() {
		m.weights[imagePair{p.Standing, p.Beside}] = estimate{weight: float64(p.Weight), variance: float64(p.Variance), at: now}
	}
	for _, f := range saved.GetFloors() {
		m.minTails[f.Image] = float64(f.Milliseconds)
	}
	return m
}
