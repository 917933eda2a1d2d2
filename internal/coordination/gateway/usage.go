package gateway

import (
	"math"
	"slices"
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

// usageAt is the usage of a service at a time.
type usageAt struct {
	usage admission.Usage
	at    time.Time
	// least holds Usage.Least, lowered as runs end and reports arrive since.
	least lowerBound
	// servers are those of the usage, and each holds the lower bound of admission.LeastOf for
	// each of them, lowered likewise.
	servers backends.List
	each    []lowerBound
}

// lowerBound is a number that concurrent calls lower.
type lowerBound struct{ bits atomic.Uint64 }

func (b *lowerBound) load() float64 { return math.Float64frombits(b.bits.Load()) }

func (b *lowerBound) store(value float64) { b.bits.Store(math.Float64bits(value)) }

func (b *lowerBound) lower(value float64) {
	for {
		bits := b.bits.Load()
		if math.Float64frombits(bits) <= value || b.bits.CompareAndSwap(bits, math.Float64bits(value)) {
			return
		}
	}
}

func newUsageAt(list backends.List, alone bool, sharing float64, now time.Time) *usageAt {
	usage, least := admission.UsageOf(list, alone, now)
	usage.Sharing = sharing
	u := &usageAt{usage: usage, at: now, servers: list, each: make([]lowerBound, len(least))}
	u.least.store(usage.Least)
	for i := range least {
		u.each[i].store(least[i])
	}
	return u
}

// lower records that a server may have more room than it had at the time of the usage.
func (u *usageAt) lower(backend *backends.Backend, least float64) {
	u.least.lower(least)
	if i := slices.Index(u.servers, backend); i >= 0 {
		u.each[i].lower(least)
	}
}

// current returns the usage with what is known since.
func (u *usageAt) current() admission.Usage {
	usage := u.usage
	usage.Least = min(usage.Least, u.least.load())
	return usage
}

// full returns a function that reports whether the server of an index of the list is known to have
// no room for a request of the rank, or nil if that is not known of any. The estimate of a load is
// between its report and the mean over the service, so nothing is known while the mean leaves room.
func (u *usageAt) full(list backends.List, rank int) func(i int) bool {
	room := admission.Room(rank, 1)
	same := len(list) > 0 && len(list) == len(u.servers) && &list[0] == &u.servers[0]
	if !same || u.usage.Taken < room {
		return nil
	}
	return func(i int) bool { return u.each[i].load() >= room }
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
	return g.recentUsage(service, list, now).current()
}

func (g *Gateway) recentUsage(service string, list backends.List, now time.Time) *usageAt {
	if found, ok := g.usages.Load(service); ok {
		if recent := found.(*usageAt); now.Sub(recent.at) < usageLifetime {
			return recent
		}
	}
	recent := newUsageAt(list, g.alone(), 1/max(g.ownPart(), 0.01), now)
	g.usages.Store(service, recent)
	return recent
}

// capacityFreed lets the waiting requests of a service look for capacity after a run has ended at a
// server or its report has arrived.
func (g *Gateway) capacityFreed(service string, backend *backends.Backend) {
	if found, ok := g.usages.Load(service); ok {
		snapshot := backend.Snapshot()
		found.(*usageAt).lower(backend, admission.LeastOf(&snapshot, g.alone()))
	}
	g.capacity.Notify(service)
}

// WaitingForCapacity returns the number of requests that wait for capacity.
func (g *Gateway) WaitingForCapacity() int64 {
	requests, _ := g.capacity.Held()
	return requests
}
