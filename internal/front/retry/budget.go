// This file defines Budget, which limits retries.

// Package retry limits the load added by retries. Without a limit, a slow service would
// get more attempts when it can handle fewer, and might not recover.
package retry

import (
	"sync"
)

// maxTokens is the initial and maximum number of retries per client account and service.
const maxTokens = 10

// Budget limits retries to a fraction of first attempts, with a token bucket per client
// account and service. The zero value allows only the initial tokens. It is safe for
// concurrent use.
type Budget struct {
	// Ratio is the number of retries earned by each first attempt.
	Ratio float64

	mu     sync.Mutex
	tokens map[string]float64
}

// Deposit records a first attempt of a client account on a service.
func (b *Budget) Deposit(account, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := account + "\x00" + service
	b.set(key, min(b.get(key)+b.Ratio, maxTokens))
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
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
