package eventlog

import (
	"time"

	"golang.org/x/time/rate"
)

// The append budget of the whole fleet. It is below the several hundred appends per
// second that the log service accepts.
const (
	// FleetAppendsPerSecond is the maximum rate of appends of the whole fleet.
	FleetAppendsPerSecond = ShardedAppendsPerSecond + SharedAppendsPerSecond
	// ShardedAppendsPerSecond is the part for streams whose records are batched by
	// the owner of a shard. It is divided among the shards, so that it does not grow
	// with the fleet.
	ShardedAppendsPerSecond = 160
	// SharedAppendsPerSecond is the part for streams to which every instance writes.
	// It is divided among the entry instances.
	SharedAppendsPerSecond = 40
	// AssumedInstances is the number of entry instances that is assumed while the
	// size of the fleet is unknown.
	AssumedInstances = 410
)

// Budget is the share of one instance in the fleet's append budget. It is safe for
// concurrent use.
type Budget struct {
	instances func() int
	limiter   *rate.Limiter
}

// NewBudget returns the budget of an instance. The function instances returns the
// current size of the fleet, or 0 while it is unknown. The token bucket starts empty,
// so that a fleet whose instances all start at once does not exceed its budget.
func NewBudget(instances func() int) *Budget {
	b := &Budget{instances: instances}
	b.limiter = rate.NewLimiter(b.share(), 1)
	b.limiter.Allow()
	return b
}

// Reserve reserves one append and returns how long to wait before making it.
func (b *Budget) Reserve(now time.Time) time.Duration {
	b.limiter.SetLimitAt(now, b.share())
	return b.limiter.ReserveN(now, 1).DelayFrom(now)
}

func (b *Budget) share() rate.Limit {
	n := b.instances()
	if n <= 0 {
		n = AssumedInstances
	}
	return rate.Limit(float64(SharedAppendsPerSecond) / float64(n))
}

// ShardBudget returns the append budget of the owner of one shard, where shards is
// the number of all shards.
func ShardBudget(shards int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(float64(ShardedAppendsPerSecond)/float64(shards)), 1)
}
