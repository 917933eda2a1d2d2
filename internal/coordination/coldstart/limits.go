package coldstart

import (
	"time"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/state/backends"
)

const (
	// slotUseTimeout is how soon after it was asked for a slot must be used.
	slotUseTimeout = time.Second
	// leaseReserve is how long a lease that is no longer renewed still allows
	// grants.
	leaseReserve = 45 * time.Second
	// renewInterval is the age at which a lease is renewed.
	renewInterval = 15 * time.Second
	// takeoverMargin is added to the wait for an old lease, for clocks that
	// run at unlike speeds.
	takeoverMargin = 2 * time.Second
)

// durations are the durations of slots and leases, which follow from how long one
// call to a backend server may last.
type durations struct {
	// slot is how long the holder counts a slot that is not released.
	slot time.Duration
	// lease is the length of a lease. All slots granted under it end before
	// it does.
	lease time.Duration
}

func newDurations(longestCall time.Duration) durations {
	hold := slotUseTimeout + longestCall
	return durations{slot: hold, lease: hold + leaseReserve}
}

// limitOf returns the lowest limit of what the server serves, or nil.
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
