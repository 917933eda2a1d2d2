package gateway

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets that a window of a budget is
	// counted in.
	windowBuckets = 20
	// budgetBuckets is one more, since the oldest and the current bucket are
	// each only partly within the window.
	budgetBuckets = windowBuckets + 1
)

// BudgetOptions bound the requests to a service beyond the first of each
// client request, over all instances.
type BudgetOptions struct {
	// Window is the span over which they are counted.
	Window time.Duration
	// Ratio is the number allowed for each first request.
	Ratio float64
	// Slack is the number allowed besides, shared by all instances.
	Slack float64
}

// budget counts the requests of this instance to one service. An instance
// spends only of its own first requests and of its share of the slack, so
// that the bound holds over all instances without agreement.
type budget struct {
	mu      sync.Mutex
	firsts  [budgetBuckets]int
	repeats [budgetBuckets]int
	current int64
}

// advance empties the buckets that have left the window.
func (b *budget) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / (int64(window) / windowBuckets)
	if at-b.current >= budgetBuckets {
		b.firsts, b.repeats = [budgetBuckets]int{}, [budgetBuckets]int{}
		b.current = at
		return
	}
	for b.current < at {
		b.current++
		b.firsts[b.current%budgetBuckets] = 0
		b.repeats[b.current%budgetBuckets] = 0
	}
}

// first counts a request of a client.
func (b *budget) first(now time.Time, opts *BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, opts.Window)
	b.firsts[b.current%budgetBuckets]++
}

// take counts one repeat if a share of what is allowed is not used up.
func (b *budget) take(now time.Time, opts *BudgetOptions, share float64, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, opts.Window)
	// First requests of the oldest bucket may have left the window; repeats of
	// it may not.
	firsts := sum(&b.firsts) - b.firsts[(b.current+1)%budgetBuckets]
	repeats := sum(&b.repeats)
	allowed := share * (opts.Ratio*float64(firsts) + opts.Slack/float64(max(instances, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[b.current%budgetBuckets]++
	return true
}

func sum(counts *[budgetBuckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// budgets holds the budget of each service.
type budgets struct {
	byService sync.Map // service name to *budget
}

func (b *budgets) of(service string) *budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*budget)
	}
	found, _ := b.byService.LoadOrStore(service, &budget{})
	return found.(*budget)
}
