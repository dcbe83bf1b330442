package jobsubmitter

import "sync"

// retryBudget bounds the retries of one Submitter to a share of its requests,
// so that retries don't add to an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBudgetCapacity} }

// earn adds the share of a retry that a first attempt earns.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryBudgetPerRequest, retryBudgetCapacity)
}

// spend takes one retry out of the budget, if it holds one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
