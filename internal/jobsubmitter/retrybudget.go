package jobsubmitter

import "sync"

// retryBudget is a token bucket that bounds the retries of one Submitter to a
// share of its requests, so that retries don't add to an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBudgetCapacity} }

// earn adds retryBudgetPerRequest for a first attempt.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryBudgetPerRequest, retryBudgetCapacity)
}

// spend takes one retry from the budget, or returns false if none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
