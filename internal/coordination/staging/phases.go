package staging

import (
	"time"

	"medlarslip/internal/coordination/rollout"
)

const (
	// maxExposureUse is the part of the allowed exposure that a trial with a phase at the full
	// load of a server uses. The rest is a margin for the uneven sizes of sessions.
	maxExposureUse = 0.9
	// minEarlyShare is the least share before that phase, as a multiple of the allowed
	// exposure. It replaces firstShare as far as the phase would be shorter than fullLoadTime.
	minEarlyShare = 0.2
	// fullLoadTime is the time at full load that evidence takes: latency has to be worse for
	// 3 s (package rollout). A trial whose exposure allows less than minFullLoadTime has no
	// such phase: counts reach the instance that decides after up to 400 ms, and it decides
	// every decideInterval.
	fullLoadTime    = 3 * time.Second
	minFullLoadTime = time.Second
	// longestOrder is the longest time of an order (docs/heavy-load-fourth-followup.md). Sessions
	// that an order may move are recorded before there is one.
	longestOrder = 24 * time.Second
)

// phases are the shares of the sessions, 0 to 1, that a trial sends to the new version.
type phases struct {
	early, late float64
	// lateFrom is the time after the start of the order from which the larger share applies.
	lateFrom time.Duration
	// fullLoad is true if the larger share is what one server carries after the rollout, and
	// goes to one server.
	fullLoad bool
}

// newPhases returns the phases of a trial with a number of servers of the new version, 0 if it is
// not known. usualFor is how long the trial had the usual shares before that number was known. If
// the usual larger share is less than one server carries after the rollout, a version that fails
// only under load would be promoted. The larger share is then that of one server, for as long as
// the exposure allows, and the smaller one applies until then. Sessions that have moved stay, and
// a version that is not promoted in time continues, so the larger share counts until the deadline.
func newPhases(exposure float64, within time.Duration, servers int, usualFor time.Duration) phases {
	usual := phases{
		early: firstShare * exposure, late: loadShare * exposure,
		lateFrom: time.Duration(loadStartShare * float64(within)),
	}
	lead, longest := promoteLeadOf(within), within-usual.lateFrom
	if servers <= 0 || 1/float64(servers) <= usual.late || longest < minFullLoadTime+lead {
		return usual
	}
	full, total := 1/float64(servers), within.Seconds()
	budget := maxExposureUse * exposure * total
	wanted := min((fullLoadTime + lead).Seconds(), longest.Seconds())
	early := min(max((budget-full*wanted)/(total-wanted), minEarlyShare*exposure), usual.early)
	smaller := min(usualFor, usual.lateFrom)
	excess := usual.early*smaller.Seconds() + usual.late*(usualFor-smaller).Seconds() - early*usualFor.Seconds()
	duration := min(time.Duration((budget-early*total-excess)/(full-early)*float64(time.Second)), longest)
	if min(duration, within-usualFor) < minFullLoadTime+lead {
		return usual
	}
	return phases{early: early, late: full, lateFrom: within - duration, fullLoad: true}
}

// phaseInputs are what the phases of a trial depend on, as for newPhases.
type phaseInputs struct {
	exposure float64
	within   time.Duration
	servers  int
	usualFor time.Duration
	// upTo is the number of servers that there may be later; the phases are those with the
	// largest share for any number up to it.
	upTo int
}

func (in *phaseInputs) phases() phases {
	largest := newPhases(in.exposure, in.within, in.servers, in.usualFor)
	for servers := in.servers + 1; servers <= in.upTo; servers++ {
		if p := newPhases(in.exposure, in.within, servers, in.usualFor); p.late > largest.late {
			largest = p
		}
	}
	return largest
}

// cachedPhases holds the phases of the latest inputs, since they are needed for each request and
// the inputs rarely change. The zero value is ready to use.
type cachedPhases struct {
	inputs phaseInputs
	phases phases
	// computed counts the computations.
	computed uint64
}

func (p *cachedPhases) of(in phaseInputs) phases {
	if p.computed == 0 || p.inputs != in {
		p.inputs, p.phases = in, in.phases()
		p.computed++
	}
	return p.phases
}

// phasesOf returns the phases of the trial of an order.
func (c *Controller) phasesOf(s *orderState) phases {
	servers := s.servers
	if s.mixedBuilds {
		servers = 0
	}
	return s.phases.of(phaseInputs{exposure: c.exposure(), within: s.order.Within, servers: servers, usualFor: s.usualFor})
}

// statedServers returns the number of servers of the target of an order that is sent to peers. 0
// is what the previous build is understood to send, and makes the peers use the usual shares.
func statedServers(s *orderState) int {
	switch {
	case s.mixedBuilds:
		return 0
	case s.servers == 0:
		return rollout.UnknownServers
	}
	return s.servers
}

// learnServers raises the number of servers of the target of an order. A trial that has had the
// usual shares because there were fewer servers has used more of the exposure than one that
// prepares a phase at full load.
func (c *Controller) learnServers(s *orderState, servers int) {
	if servers <= s.servers {
		return
	}
	if s.servers > 0 && !c.phasesOf(s).fullLoad {
		s.usualFor = max(c.now().Sub(s.seenAt), 0)
	}
	s.servers = servers
}

// candidateShare returns the largest share of the sessions of a service that a trial may move.
// Before an order, the number of servers of the new version is taken to be that of the versions in
// use. Sessions that moved before a trial changed to the usual shares are included.
func (c *Controller) candidateShare(service string) float64 {
	if order, ordered := c.orders[service]; ordered && c.isOpen(order) {
		return order.candidates.of(phaseInputs{
			exposure: c.exposure(), within: order.order.Within, servers: order.servers, usualFor: order.usualFor, upTo: c.laterServers(service),
		}).late
	}
	cached := c.candidates[service]
	if cached == nil {
		cached = &cachedPhases{}
		c.candidates[service] = cached
	}
	return cached.of(phaseInputs{exposure: c.exposure(), within: longestOrder, servers: c.servers[service]}).late
}

// laterServers returns the number of servers that the target of an order may get. Its servers may
// start one by one, and sessions that are recorded only once their share is known would change
// their version while they are active. It is 0 if the usual larger share covers a server in use:
// reports have no room for all sessions of a service with many servers.
func (c *Controller) laterServers(service string) int {
	if servers := c.servers[service]; servers > 0 && 1/float64(servers) > loadShare*c.exposure() {
		return servers
	}
	return 0
}

// isAtFullLoad reports whether a server of the new version receives its full load now, so that
// those of the old version have less than before.
func (c *Controller) isAtFullLoad(s *orderState) bool {
	return c.phasesOf(s).fullLoad && c.underLoad(s)
}

// ObserveServers records how many servers of each version accept requests. serving returns their
// number; it is called without the lock of the controller.
func (c *Controller) ObserveServers(serving func(service, version string) int) {
	counts := map[target]int{}
	for _, t := range c.knownVersions() {
		counts[t] = serving(t.service, t.version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.servers)
	for t, count := range counts {
		c.servers[t.service] = max(c.servers[t.service], count)
	}
	for service, s := range c.orders {
		if count := counts[target{service, s.order.Target}]; s.servers == 0 || !c.isAtFullLoad(s) {
			c.learnServers(s, count)
		}
	}
}

// knownVersions returns the versions that have servers, and the targets of the open orders.
func (c *Controller) knownVersions() []target {
	found := c.openTargets()
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, h := range c.versions {
		for _, version := range h.present {
			found = append(found, target{service, version})
		}
	}
	return found
}

// AtFullLoad reports whether a server of a new version of a service receives its full load. The
// servers of the version in use have less than before, and answer faster than any version under
// full load, so that their times must not be learned.
func (c *Controller) AtFullLoad(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	order, ordered := c.orders[service]
	return ordered && c.isOpen(order) && !c.isReturn(order) && c.isAtFullLoad(order)
}
