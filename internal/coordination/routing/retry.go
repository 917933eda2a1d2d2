package routing

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryShare is the number of retries that each first attempt earns.
	retryShare = 0.1
	// retryBurst is the number of retries that may be saved up.
	retryBurst = 20
	// retryFloor is the number of retries a second that are always allowed.
	retryFloor = 1
)

// RetryBudget bounds retries and hedged reads to a share of the first attempts
// of one target, so that servers which fall out are not followed by a storm of
// retries. It is safe for concurrent use.
type RetryBudget struct {
	floor  *rate.Limiter
	mu     sync.Mutex
	earned float64
}

// NewRetryBudget returns a budget with its burst saved up.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{floor: rate.NewLimiter(retryFloor, 1), earned: retryBurst}
}

// First notes a first attempt.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+retryShare, retryBurst)
}

// Take reports whether one retry may be made now, and takes it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	return b.floor.AllowN(now, 1)
}

// RetryBudgets holds the budget of each target.
type RetryBudgets struct {
	byTarget sync.Map // target to *RetryBudget
}

// Of returns the budget of a target.
func (b *RetryBudgets) Of(target string) *RetryBudget {
	if budget, ok := b.byTarget.Load(target); ok {
		return budget.(*RetryBudget)
	}
	budget, _ := b.byTarget.LoadOrStore(target, NewRetryBudget())
	return budget.(*RetryBudget)
}
