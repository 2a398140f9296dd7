// This file defines Budget, which bounds retries.

// Package retry bounds how much load retries may add. Without a bound, a
// service that slows down gets more attempts just when it can take fewer, and
// doesn't recover when the cause is gone.
package retry

import (
	"sync"
)

// maxTokens is how many retries a client account's service may make before any
// first attempt has earned them.
const maxTokens = 10

// Budget lets retries be a part of first attempts. The zero value allows the
// reserve only.
type Budget struct {
	// Ratio is the retries earned by each first attempt.
	Ratio float64

	mu     sync.Mutex
	tokens map[string]float64
}

// Deposit notes a first attempt of a client account on a service.
func (b *Budget) Deposit(account, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := account + "\x00" + service
	b.set(key, min(b.get(key)+b.Ratio, maxTokens))
}

// TryWithdraw asks for one retry.
func (b *Budget) TryWithdraw(account, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := account + "\x00" + service
	if b.get(key) < 1 {
		return false
	}
	b.set(key, b.get(key)-1)
	return true
}

func (b *Budget) get(key string) float64 {
	if t, ok := b.tokens[key]; ok {
		return t
	}
	return maxTokens
}

func (b *Budget) set(key string, tokens float64) {
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	b.tokens[key] = tokens
}
