// Package staging moves the traffic of a service to a new version when an
// operator orders a rollout. A small share of the sessions goes to the new
// version as a canary. The observations of all instances about both versions
// are pooled, and the new version is then promoted or rolled back.
package staging

import (
	"maps"
	"slices"
	"sync"
	"time"

	"medlarslip/internal/coordination/rollout"
)

// State is the state of a rollout.
type State string

// States of a rollout.
const (
	// Running: a share of the sessions goes to the new version.
	Running State = "running"
	// Succeeded: all traffic goes to the new version.
	Succeeded State = "succeeded"
	// RolledBack: nothing goes to the new version.
	RolledBack State = "rolled_back"
)

// Order requests that the traffic of a service move to a version.
type Order struct {
	Service string
	Target  string
	// Within is the time from the order to its deadline.
	Within time.Duration
}

// Status is the agreed state of a rollout.
type Status struct {
	Service string
	Target  string
	State   State
}

// hashScale is the number of steps into which a session hash is divided to
// apply a share.
const hashScale = 10000

// Controller holds the current orders, agreed statuses and counts. It is safe
// for concurrent use.
type Controller struct {
	exposure func() float64
	now      func() time.Time
	// sessionTime and orderSpread are the arguments of SetTimes; nil if it was not called.
	sessionTime, orderSpread func() time.Duration
	// announce is the argument of OnUrgentUse; nil if it was not called.
	announce func()
	mu       sync.Mutex
	orders   map[string]*orderState // by service
	statuses map[string]Status      // by service
	counts   map[rollout.Arm]rollout.Counts
	peers    map[string]map[rollout.Arm]rollout.Counts // by run of an instance
	sessions sessionTracker
	versions map[string]*versionHistory // by service
	// servers is the number of servers of the version that has the most, by service.
	servers map[string]int
	// candidates holds the phases by which sessions are recorded while there is no open order, by
	// service.
	candidates map[string]*cachedPhases
	// heldBack counts the versions that takeHeldBack has returned.
	heldBack uint64
}

type orderState struct {
	order Order
	// seenAt is when the first instance received the order, as far as this
	// instance has learned from its peers.
	seenAt time.Time
	// continuesFrom is the start of the open order of the same target that this one
	// replaced; the zero time if there is none.
	continuesFrom time.Time
	// before holds the counts that the target has from an earlier order, after which it was
	// rejected; nil if there is none.
	before      *rollout.Counts
	evidence    evidence
	worseReason string
	// servers is the largest number of servers of the target that accepted requests at any
	// instance, as far as this one has learned; 0 if it is not known. It does not decrease,
	// so that all instances agree on it whatever they see for a short time.
	servers int
	// usualFor is how long the trial had the usual shares before servers was known.
	usualFor time.Duration
	// mixedBuilds is true if an instance of the previous build has the order. It has no phase at
	// full load and would send sessions that have moved in it back to the old version, so that
	// the trial has the usual shares at all instances.
	mixedBuilds bool
	// phases are those of the trial, and candidates those by which sessions are recorded.
	phases, candidates cachedPhases
	// due is the state that should be agreed, since dueAt.
	due   State
	dueAt time.Time
	// held states that the version has been held back, with the counts at that time; nil
	// if it has not. heldTaken is true once takeHeldBack has returned it.
	held      *Decision
	heldTaken bool
}

// movesSince returns the time from which moves of sessions belong to the order.
func (s *orderState) movesSince() time.Time {
	if !s.continuesFrom.IsZero() && s.continuesFrom.Before(s.seenAt) {
		return s.continuesFrom
	}
	return s.seenAt
}

// New returns a controller without orders. exposure returns the share of the
// requests, 0 to 1, that a bad version may receive until the deadline of its
// order.
func New(exposure func() float64, now func() time.Time) *Controller {
	return &Controller{
		exposure: exposure, now: now,
		orders:     map[string]*orderState{},
		statuses:   map[string]Status{},
		counts:     map[rollout.Arm]rollout.Counts{},
		peers:      map[string]map[rollout.Arm]rollout.Counts{},
		sessions:   newSessionTracker(),
		versions:   map[string]*versionHistory{},
		servers:    map[string]int{},
		candidates: map[string]*cachedPhases{},
	}
}

// SetTimes sets the longest pause of a session, 0 if it is not known, and the time within
// which all instances learn of an order, before which no session moves. It must be called
// before the controller is used.
func (c *Controller) SetTimes(sessionTime, orderSpread func() time.Duration) {
	c.sessionTime, c.orderSpread = sessionTime, orderSpread
}

// OnUrgentUse sets a function that sends a datagram to the peers at once. It is called
// without the lock of the controller. It must be set before the controller is used.
func (c *Controller) OnUrgentUse(announce func()) { c.announce = announce }

// SetOrder applies an order. An identical order in force is kept with its
// state. The target of a former order that has not succeeded gets no more requests.
func (c *Controller) SetOrder(order Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former, ordered := c.orders[order.Service]
	if ordered && former.order == order {
		return
	}
	now, h := c.now(), c.history(order.Service)
	if ordered && former.order.Target != order.Target {
		c.supersede(former)
	}
	c.reconcile(order.Service)
	h.addBaseline(order.Target, now)
	state := &orderState{order: order, seenAt: now}
	if ordered && former.order.Target == order.Target && c.isOpen(former) {
		state.continuesFrom = former.movesSince()
	}
	if slices.Contains(h.rejected, order.Target) {
		_, before := c.pool(order.Service, order.Target)
		state.before = &before
	}
	c.orders[order.Service] = state
	c.reconcile(order.Service)
}

// RemoveOrder removes the order of a service. An agreed status stays.
func (c *Controller) RemoveOrder(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if former, ordered := c.orders[service]; ordered {
		c.supersede(former)
	}
	delete(c.orders, service)
	c.reconcile(service)
}

// SetStatus applies an agreed status. A rollout that has ended stays ended.
func (c *Controller) SetStatus(status Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.statuses[status.Service]
	if ok && known.Target == status.Target && known.State != Running {
		return
	}
	c.statuses[status.Service] = status
	if status.State == RolledBack {
		c.endMoves(status.Service, status.Target)
	}
	c.reconcile(status.Service)
}

// Statuses returns the agreed status of each service that has one.
func (c *Controller) Statuses() map[string]Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.statuses)
}

// Observation is the outcome of one completed attempt at a version.
type Observation struct {
	Service string
	Version string
	Failed  bool
	// Counted is true if the attempt was observed before: what began as a good answer
	// has failed.
	Counted bool
	// Timed is true if the response time was compared; Slow is true if it was far
	// longer than usual.
	Timed bool
	Slow  bool
	// AboveMedian is true if the response took longer than the median of the old
	// version.
	AboveMedian bool
}

// Observe counts an attempt if the service has an order.
func (c *Controller) Observe(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.orders[o.Service]; !ok {
		return
	}
	arm := rollout.Arm{Rollout: o.Service, VersionID: o.Version}
	counts := c.counts[arm]
	if !o.Counted {
		counts.Answers++
	}
	counts.Failed += toCount(o.Failed)
	counts.Timed += toCount(o.Timed)
	counts.Slow += toCount(o.Timed && o.Slow)
	counts.Above += toCount(o.Timed && o.AboveMedian)
	c.counts[arm] = counts
}

// OnTrial reports whether a rollout of a service is open, so that the outcomes of attempts
// are compared.
func (c *Controller) OnTrial(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	order, ordered := c.orders[service]
	return ordered && c.isOpen(order)
}

func toCount(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
