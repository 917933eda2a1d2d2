package coldstart

import (
	"time"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/state/backends"
)

const (
	// slotUseTimeout is the longest time from the request for a slot to its
	// use.
	slotUseTimeout = time.Second
	// leaseReserve is how long a lease allows grants after its last renewal.
	leaseReserve = 45 * time.Second
	// renewInterval is the age at which the holder renews a lease.
	renewInterval = 15 * time.Second
	// takeoverMargin is added to the wait for an old lease, since clocks may
	// run at different rates.
	takeoverMargin = 2 * time.Second
)

// durations holds the durations of slots and leases. They follow from the longest
// duration of one call to a backend server.
type durations struct {
	// slot is how long a slot that is not released counts as in use.
	slot time.Duration
	// lease is the duration of a lease. All slots granted under a lease end
	// before the lease does.
	lease time.Duration
}

func newDurations(longestCall time.Duration) durations {
	hold := slotUseTimeout + longestCall
	return durations{slot: hold, lease: hold + leaseReserve}
}

// limitOf returns the lowest cold limit of the targets that the server serves, or
// nil if none of them has one.
func limitOf(index *document.Index, server *backends.Server) *document.ColdLimit {
	var lowest *document.ColdLimit
	for _, target := range server.Serves {
		if model := index.ModelOf(target); model != nil {
			target = model.Name
		}
		limit := index.ColdLimit(target)
		if limit != nil && (lowest == nil || limit.MaxInFlight < lowest.MaxInFlight) {
			lowest = limit
		}
	}
	return lowest
}
