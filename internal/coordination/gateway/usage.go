package gateway

import (
	"math"
	"sync/atomic"
	"time"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/state/backends"
)

// usageLifetime is how long the usage of a service is used before it is computed anew. Reports
// are older than that when they arrive.
const usageLifetime = 20 * time.Millisecond

// refusalLifetime is how long a refusal outweighs the reports of its server. These are 100 to 200 ms
// old when they arrive, so that the report in a refusal may state free slots.
const refusalLifetime = 200 * time.Millisecond

type usageAt struct {
	usage admission.Usage
	at    time.Time
	// least holds the bits of Usage.Least, lowered as runs end and reports arrive since.
	least atomic.Uint64
}

func (u *usageAt) lower(least float64) {
	for {
		bits := u.least.Load()
		if math.Float64frombits(bits) <= least || u.least.CompareAndSwap(bits, math.Float64bits(least)) {
			return
		}
	}
}

// ownPart returns the part of the fleet's requests that this instance receives.
func (g *Gateway) ownPart() float64 {
	if g.Accounts == nil {
		return 1
	}
	return g.Accounts.OwnPart()
}

// alone reports whether no other instance is known.
func (g *Gateway) alone() bool { return g.Instances() <= 1 }

// recordRefusal records that a server refused a run although it was sent for its free slots.
func (g *Gateway) recordRefusal(server string) {
	if g.underPressure() {
		g.refusedAt.Store(server, time.Now())
	}
}

func (g *Gateway) recentlyRefused(server string, now time.Time) bool {
	at, found := g.refusedAt.Load(server)
	if found && now.Sub(at.(time.Time)) >= refusalLifetime {
		g.refusedAt.CompareAndDelete(server, at)
		return false
	}
	return found
}

// usage returns the recent usage of a service.
func (g *Gateway) usage(service string, list backends.List, now time.Time) admission.Usage {
	if found, ok := g.usages.Load(service); ok {
		if recent := found.(*usageAt); now.Sub(recent.at) < usageLifetime {
			usage := recent.usage
			usage.Least = min(usage.Least, math.Float64frombits(recent.least.Load()))
			return usage
		}
	}
	usage := admission.UsageOf(list, g.alone(), now)
	usage.Sharing = 1 / max(g.ownPart(), 0.01)
	recent := &usageAt{usage: usage, at: now}
	recent.least.Store(math.Float64bits(usage.Least))
	g.usages.Store(service, recent)
	return usage
}

// capacityFreed lets the waiting requests of a service look for capacity after a run has ended at a
// server or its report has arrived.
func (g *Gateway) capacityFreed(service string, backend *backends.Backend) {
	if found, ok := g.usages.Load(service); ok {
		found.(*usageAt).lower(backend.ReportedPerSlot(g.alone()))
	}
	g.capacity.Notify(service)
}

// WaitingForCapacity returns the number of requests that wait for capacity.
func (g *Gateway) WaitingForCapacity() int64 {
	requests, _ := g.capacity.Held()
	return requests
}
