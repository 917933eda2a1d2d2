// Package staging moves the traffic of a service to a new version by order of
// an operator: a small share of the sessions goes to the new version, what all
// instances see of both versions is pooled, and the new version is taken over
// or turned away.
package staging

import (
	"sync"
	"time"

	"medlarslip/internal/coordination/rollout"
)

// State is where a roll-out stands.
type State string

// States of a roll-out.
const (
	// Running: a share of the sessions goes to the new version.
	Running State = "running"
	// Succeeded: all traffic goes to the new version.
	Succeeded State = "succeeded"
	// RolledBack: nothing goes to the new version.
	RolledBack State = "rolled_back"
)

// Order asks for the traffic of a service to be moved to a version.
type Order struct {
	Service string
	Target  string
	// Within is the time from the order to its deadline.
	Within time.Duration
}

// Status is what was agreed of a roll-out.
type Status struct {
	Service string
	Target  string
	State   State
}

// hashScale is the number of steps in which a share is counted.
const hashScale = 10000

// Controller holds the orders in force. It is safe for concurrent use.
type Controller struct {
	exposure func() float64
	now      func() time.Time
	mu       sync.Mutex
	orders   map[string]*orderState // by service
	statuses map[string]Status      // by service
	counts   map[rollout.Arm]rollout.Counts
	peers    map[string]map[rollout.Arm]rollout.Counts // by instance
	sessions sessionTracker
	// versions holds when each version of a service was first seen.
	versions map[string]map[string]time.Time
}

type orderState struct {
	order Order
	// seenAt is when the order was first seen by any instance, as far as this
	// one has heard.
	seenAt      time.Time
	detector    rollout.Detector
	worseReason string
	// atLoadStart is what had been counted of the new version when the larger share
	// began; nil before.
	atLoadStart *rollout.Counts
	// due is the state that should be agreed, since dueAt.
	due   State
	dueAt time.Time
}

// New returns a controller without orders. exposure returns the part of the
// requests, 0 to 1, that a bad version may get until the deadline of its order.
func New(exposure func() float64, now func() time.Time) *Controller {
	return &Controller{
		exposure: exposure, now: now,
		orders:   map[string]*orderState{},
		statuses: map[string]Status{},
		counts:   map[rollout.Arm]rollout.Counts{},
		peers:    map[string]map[rollout.Arm]rollout.Counts{},
		sessions: newSessionTracker(),
		versions: map[string]map[string]time.Time{},
	}
}

// SetOrder takes over an order; one that is known already goes on.
func (c *Controller) SetOrder(order Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.orders[order.Service]; ok && known.order == order {
		return
	}
	c.orders[order.Service] = &orderState{order: order, seenAt: c.now()}
}

// RemoveOrder forgets the order of a service. What was agreed stays.
func (c *Controller) RemoveOrder(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.orders, service)
}

// SetStatus takes over what was agreed. A roll-out that has ended stays ended.
func (c *Controller) SetStatus(status Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.statuses[status.Service]
	if ok && known.Target == status.Target && known.State != Running {
		return
	}
	c.statuses[status.Service] = status
}

// orderLag is how long servers of a new version may be seen before the order
// that brings them: the two are read from different topics. Above it they are
// taken for an ordinary replacement.
const orderLag = 4 * time.Second

// ObserveVersions takes notice of the versions of a service that have servers.
func (c *Controller) ObserveVersions(service string, versions []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, old := c.versions[service]
	if !old {
		known = map[string]time.Time{}
		c.versions[service] = known
	}
	for _, version := range versions {
		if _, ok := known[version]; ok {
			continue
		}
		known[version] = time.Time{}
		if old {
			known[version] = c.now()
		}
	}
}

// versionWithoutOrder returns a version that is so new that its order may still come.
func (c *Controller) versionWithoutOrder(service string) string {
	for version, at := range c.versions[service] {
		if c.now().Sub(at) < orderLag {
			return version
		}
	}
	return ""
}

// IsCanary reports whether a version is the target of an order that is not
// decided yet.
func (c *Controller) IsCanary(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	order, ordered := c.orders[service]
	if !ordered || order.order.Target != version {
		return false
	}
	status, agreed := c.statuses[service]
	return !agreed || status.Target != version || status.State != Succeeded
}

// Observation is what one ended attempt says of a version.
type Observation struct {
	Service string
	Version string
	Failed  bool
	// Timed is true if the time of the answer was compared, Slow if it was far
	// longer than usual.
	Timed bool
	Slow  bool
	// AboveMedian is true if it was longer than half of those of the old version.
	AboveMedian bool
}

// Observe counts an attempt while a roll-out of its service is open.
func (c *Controller) Observe(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.orders[o.Service]; !ok {
		return
	}
	arm := rollout.Arm{Rollout: o.Service, VersionID: o.Version}
	counts := c.counts[arm]
	counts.Answers++
	counts.Failed += toCount(o.Failed)
	counts.Timed += toCount(o.Timed)
	counts.Slow += toCount(o.Timed && o.Slow)
	counts.Above += toCount(o.Timed && o.AboveMedian)
	c.counts[arm] = counts
}

func toCount(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
