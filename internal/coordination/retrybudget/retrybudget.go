// Package retrybudget limits the requests that a service receives in addition
// to the first attempt of each client request: retries, hedged requests, and
// further runs of a cascade. An instance spends only a ratio of its own first
// requests and its share of the slack, so the limit holds for the whole fleet
// without coordination.
package retrybudget

import (
	"sync"
	"time"

	"medlarslip/internal/coordination/buckets"
)

const (
	// windowBuckets is the number of buckets into which a window is divided. The bucket that
	// is partly outside of the window is lost to the budget, so few buckets would leave much
	// of it unused.
	windowBuckets = 100
	// ringBuckets covers the window and the one before it. It is one more than that, since
	// the oldest and the current bucket are each only partly within their window.
	ringBuckets = 2*windowBuckets + 1
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
	// CountEarlier is true if repeats may also be based on the first requests of the window
	// before, or of the one half a window before: repeats follow their first requests, so
	// while the load falls there are fewer first requests than repeats are due. A caller's
	// part of the budget then grows to the whole budget of the present window at most, so
	// the limit holds over all instances whatever their loads are.
	CountEarlier bool
}

// Budget counts the requests of this instance to one service. The zero value is
// ready to use. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	counts buckets.Ring[counts]
}

// counts are the requests of one bucket.
type counts struct{ firsts, repeats int }

func firsts(c *counts) int  { return c.firsts }
func repeats(c *counts) int { return c.repeats }

func (b *Budget) advance(now time.Time, window time.Duration) {
	b.counts.Advance(now, window/windowBuckets, ringBuckets)
}

// CountFirst counts the first attempt of a client request.
func (b *Budget) CountFirst(now time.Time, opts *Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, opts.Window)
	b.counts.Back(0).firsts++
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
	b.counts.Back(0).repeats++
	return true
}

// Allows reports whether Take would succeed now. It counts nothing.
func (b *Budget) Allows(now time.Time, opts *Options, part float64, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, opts, part, instances)
}

func (b *Budget) allows(now time.Time, opts *Options, part float64, instances int) bool {
	return b.utilization(now, opts, part, instances) <= 1
}

// Utilization returns the repeats in the window, with one more, relative to the given part of
// the budget: above 1, Take refuses.
func (b *Budget) Utilization(now time.Time, opts *Options, part float64, instances int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.utilization(now, opts, part, instances)
}

func (b *Budget) utilization(now time.Time, opts *Options, part float64, instances int) float64 {
	b.advance(now, opts.Window)
	// The oldest bucket is partly outside of the window: its first requests are
	// left out and its repeats are counted, so that the limit holds in every
	// window.
	repeated := b.sum(repeats, 0, windowBuckets+1)
	first := b.sum(firsts, 0, windowBuckets)
	if opts.CountEarlier && part > 0 {
		earlier := max(b.sum(firsts, windowBuckets/2, windowBuckets), b.sum(firsts, windowBuckets, windowBuckets))
		first = max(first, min(earlier, first/part))
	}
	return (repeated + 1) / (part * (opts.Ratio*first + opts.Slack/float64(max(instances, 1))))
}

// sum adds up the given number of buckets, from the one that is skip buckets before the
// current one backwards.
func (b *Budget) sum(count func(*counts) int, skip, buckets int) float64 {
	total := 0
	for i := range buckets {
		total += count(b.counts.Back(skip + i))
	}
	return float64(total)
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
