// Package retrybudget bounds the requests that a service gets beyond the first
// of each client request: retries, hedged reads, and further runs of a cascade.
// An instance spends only of its own first requests and of its share of a
// slack, so that the bound holds over all instances without agreement.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets that a window is counted in.
	windowBuckets = 20
	// ringBuckets is one more, since the oldest and the current bucket are each
	// only partly within the window.
	ringBuckets = windowBuckets + 1
)

// Options bound the repeats to a service over all instances.
type Options struct {
	// Window is the span over which they are counted.
	Window time.Duration
	// Ratio is the number allowed for each first request.
	Ratio float64
	// Slack is the number allowed besides, shared by all instances.
	Slack float64
}

// Budget counts the requests of this instance to one service. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	firsts  [ringBuckets]int
	repeats [ringBuckets]int
	current int64
}

// advance empties the buckets that have left the window.
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

// CountFirst counts a request of a client.
func (b *Budget) CountFirst(now time.Time, opts *Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, opts.Window)
	b.firsts[b.current%ringBuckets]++
}

// Take counts one repeat if the given part of what is allowed, 0 to 1, is not
// used up. instances is the number of instances that share the slack.
func (b *Budget) Take(now time.Time, opts *Options, part float64, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, opts, part, instances) {
		return false
	}
	b.repeats[b.current%ringBuckets]++
	return true
}

// Allows reports whether Take would count one more repeat now.
func (b *Budget) Allows(now time.Time, opts *Options, part float64, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, opts, part, instances)
}

func (b *Budget) allows(now time.Time, opts *Options, part float64, instances int) bool {
	b.advance(now, opts.Window)
	// First requests of the oldest bucket may have left the window; repeats of
	// it may not.
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

// Budgets holds the budget of each service.
type Budgets struct {
	byService sync.Map // service name to *Budget
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*Budget)
	}
	found, _ := b.byService.LoadOrStore(service, &Budget{})
	return found.(*Budget)
}
