package streamer

import "sync"

const (
	// retriesPerRequest is the number of retries that each served request adds.
	retriesPerRequest = 0.1
	// maxBalance limits the number of retries that can accumulate.
	maxBalance = 50.0
	// initialBalance is the number of retries that a daemon may send before it has
	// served any request.
	initialBalance = 10.0
)

// RetryBudget limits retries to a fraction of the served requests, so that
// retries do not multiply the load on a failing upstream. It is safe for concurrent
// use.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a budget that holds initialBalance retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: initialBalance}
}

// Deposit adds retriesPerRequest for one served request, up to maxBalance.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxBalance, b.balance+retriesPerRequest)
}

// Take takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
