// Package retrybudget limits the requests that a service receives in addition
// to the first attempt of each client request: retries, hedged requests, and
// further runs of a cascade. An instance spends only a ratio of its own first
// requests and its share of the slack, so the limit holds for the whole fleet
// without coordination.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 20
	// ringBuckets is one more than windowBuckets, since the oldest and the
	// current bucket are each only partly within the window.
	ringBuckets = windowBuckets + 1
)

// Options limit the repeated requests to a service over all instances.
type Options struct {
	// Window is the sliding window in which requests are counted.
	Window time.Duration
	// Ratio is the number of repeats allowed per first request.
	Ratio float64
	// Slack is the number of repeats allowed in addition, shared by all
	// instances.
	Slack float64
}

// Budget counts the requests of this instance to one service. The zero value is
// ready to use. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	firsts  [ringBuckets]int
	repeats [ringBuckets]int
	current int64
}

// advance clears the buckets that are outside of the window.
func (b *Budget) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / (int64(window) / windowBuckets)
	if at-b.current >= ringBuckets {
		b.firsts, b.repeats = [ringBuckets]int{}, [ringBuckets]int{}
		b.current = at
		return
	}
	for b.current < at {
		b.current++
		b.firsts[b.current%ringBuckets] = 0
		b.repeats[b.current%ringBuckets] = 0
	}
}

// CountFirst counts the first attempt of a client request.
func (b *Budget) CountFirst(now time.Time, opts *Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, opts.Window)
	b.firsts[b.current%ringBuckets]++
}

// Take counts one repeat if it stays within the given part, 0 to 1, of the
// budget, and reports whether it did. instances is the number of instances that
// share the slack.
func (b *Budget) Take(now time.Time, opts *Options, part float64, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, opts, part, instances) {
		return false
	}
	b.repeats[b.current%ringBuckets]++
	return true
}

// Allows reports whether Take would succeed now. It counts nothing.
func (b *Budget) Allows(now time.Time, opts *Options, part float64, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, opts, part, instances)
}

func (b *Budget) allows(now time.Time, opts *Options, part float64, instances int) bool {
	b.advance(now, opts.Window)
	// The oldest bucket is partly outside of the window: its first requests are
	// left out and its repeats are counted, so that the limit holds in every
	// window.
	firsts := sum(&b.firsts) - b.firsts[(b.current+1)%ringBuckets]
	repeats := sum(&b.repeats)
	allowed := part * (opts.Ratio*float64(firsts) + opts.Slack/float64(max(instances, 1)))
	return float64(repeats+1) <= allowed
}

func sum(counts *[ringBuckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Budgets holds the budget of each service. The zero value is ready to use.
type Budgets struct {
	byService sync.Map // service name to *Budget
}

// Of returns the budget of a service and creates it if necessary.
func (b *Budgets) Of(service string) *Budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*Budget)
	}
	found, _ := b.byService.LoadOrStore(service, &Budget{})
	return found.(*Budget)
}
