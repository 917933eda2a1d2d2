package eventlog

import (
	"time"

	"golang.org/x/time/rate"
)

// The append budget of the whole fleet, which stays below the several hundred
// appends a second that the log service takes.
const (
	// FleetAppendsPerSecond bounds the appends of the whole fleet.
	FleetAppendsPerSecond = ShardedAppendsPerSecond + SharedAppendsPerSecond
	// ShardedAppendsPerSecond is the part for streams whose records are
	// gathered by the owner of a shard. It is divided by the shards, so that
	// it does not grow with the fleet.
	ShardedAppendsPerSecond = 160
	// SharedAppendsPerSecond is the part for streams that every instance
	// writes to. It is divided by the entry instances.
	SharedAppendsPerSecond = 40
	// AssumedInstances is the fleet that an instance assumes before it knows
	// how many there are.
	AssumedInstances = 410
)

// Budget is the share of the fleet's append budget that one instance may use.
// It is safe for concurrent use.
type Budget struct {
	instances func() int
	limiter   *rate.Limiter
}

// NewBudget returns the share of an instance in a fleet whose size is given
// by instances; it may be 0 as long as it is unknown. The bucket starts empty,
// so that a fleet which starts at once does not overspend.
func NewBudget(instances func() int) *Budget {
	b := &Budget{instances: instances}
	b.limiter = rate.NewLimiter(b.share(), 1)
	b.limiter.Allow()
	return b
}

// Reserve takes one append out of the budget and returns how long to wait
// before it.
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

// ShardBudget returns the append budget of the owner of one of a number of
// shards.
func ShardBudget(shards int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(float64(ShardedAppendsPerSecond)/float64(shards)), 1)
}
