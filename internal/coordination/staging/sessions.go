package staging

import (
	"slices"
	"time"
)

const (
	// activeTime is how long a session that was active on a version keeps it if the
	// settings don't say how long a session may pause.
	activeTime = 8 * time.Second
	// reportLag is the longest time by which the latest use of a session that the
	// instances of a large fleet know is older than its latest use. A session whose latest
	// known use is older than its longest pause may have been used since, so it keeps its
	// version for as much longer.
	reportLag = 5 * time.Second
	// reportResolution is the time between two uses of a session that an instance reports,
	// and refreshInterval the time between two that a leader relays. It is less than
	// reportLag by the error of the ages, and by the time that a datagram takes.
	reportResolution = time.Second
	refreshInterval  = 4 * time.Second
	// urgentTime is the time before and after a change of the share of a trial in which the
	// first uses of sessions are sent at once: a poll, a lost datagram and the relay.
	// urgentInterval is the shortest time between two such datagrams of an instance. In a
	// fleet of 300, a leader sends at most 20 rounds to all others for each rollout.
	urgentTime     = time.Second
	urgentInterval = 200 * time.Millisecond
	// urgentSendTime is how long a use is sent in such datagrams: in two of them.
	urgentSendTime = 2 * urgentInterval
	// withdrawalMargin covers the errors of the ages of a move and its withdrawal, which may
	// reach an instance in different ways: two steps of an age, and the transit.
	withdrawalMargin = 300 * time.Millisecond
	// sendTime is how long an active session is sent to the peers: long enough to
	// outlast two lost datagrams.
	sendTime = 1300 * time.Millisecond
)

// holdTime returns how long a session keeps its version after its latest known use.
func (c *Controller) holdTime() time.Duration {
	if !c.reportsTimes() {
		return activeTime
	}
	return max(activeTime, c.sessionTime()+reportLag)
}

// reportsTimes reports whether the settings state the longest pause of a session. Otherwise
// active sessions are sent only in the form of the previous build.
func (c *Controller) reportsTimes() bool { return c.sessionTime != nil && c.sessionTime() > 0 }

// recordToSend notes a use, and adds it to a queue if the peers need to learn of it. It notes
// also if they should learn of it at once.
func (c *Controller) recordToSend(use *sessionUse, now time.Time, queue *[]queuedUse, limit int) {
	version := c.versionOf(use.session, now)
	withdraws := use.withdraws && use.at.Sub(c.sessions.state(use.session).withdrawn) >= reportResolution
	state := c.sessions.record(use)
	fresh := withdraws || version != c.versionOf(use.session, now)
	if !fresh && state.isRecent(use) {
		return
	}
	state.noteQueued(use)
	if c.sessions.relays {
		state.noteDistributed(use)
	}
	c.sessions.enqueue(queue, queuedUse{sessionUse: *use, queuedAt: now, fresh: fresh}, limit)
	if fresh && !c.sessions.hasUrgent {
		c.sessions.hasUrgent = c.shareChanges(use.session, now)
	}
}

// enqueue adds a use to a queue. If the queue is full, the oldest use that is not fresh is
// dropped, or the oldest one if all are fresh.
func (s *sessionTracker) enqueue(queue *[]queuedUse, use queuedUse, limit int) {
	s.lastNumber++
	use.number = s.lastNumber
	if len(*queue) >= limit {
		drop := max(slices.IndexFunc(*queue, func(q queuedUse) bool { return !q.fresh }), 0)
		*queue = slices.Delete(*queue, drop, drop+1)
	}
	*queue = append(*queue, use)
}

// sessionVersion is what is known of the version of a session.
type sessionVersion struct {
	old   bool
	moved string
}

func (c *Controller) versionOf(session ActiveSession, now time.Time) sessionVersion {
	state := c.sessions.states[session]
	if state == nil {
		return sessionVersion{}
	}
	return sessionVersion{old: now.Sub(state.old) < c.holdTime(), moved: c.movedTo(session.Service, session.Session)}
}

// shareChanges reports whether the share of a trial is about to include a session, or has
// just begun to. An instance that does not know of a first use on the old version moves the
// session then.
func (c *Controller) shareChanges(session ActiveSession, now time.Time) bool {
	order, ordered := c.orders[session.Service]
	if !ordered || !c.isOpen(order) || c.orderSpread == nil {
		return false
	}
	age, change := now.Sub(order.seenAt), c.movesFrom(order)
	if p := c.phasesOf(order); !hashBelow(session.Session, p.early) {
		change = p.lateFrom
	}
	return age >= change-urgentTime && age < change+urgentTime
}

// announceUrgent sends a datagram at once if there are uses that the peers should learn of,
// at most once per urgentInterval.
func (c *Controller) announceUrgent() {
	if c.takeUrgent() {
		c.announce()
	}
}

func (c *Controller) takeUrgent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.announce == nil || !c.reportsTimes() || !c.sessions.hasUrgent || now.Sub(c.sessions.announcedAt) < urgentInterval {
		return false
	}
	c.sessions.hasUrgent, c.sessions.announcedAt = false, now
	return true
}

func (c *Controller) recordOwn(session ActiveSession, target string) {
	c.recordOwnUse(&sessionUse{session: session, target: target, at: c.now()})
}

func (c *Controller) recordOwnUse(use *sessionUse) {
	now := use.at
	if c.reportsTimes() {
		c.recordToSend(use, now, &c.sessions.own, maxOwn)
	} else {
		c.sessions.record(use)
		if use.target == "" {
			c.sessions.enqueue(&c.sessions.own, queuedUse{sessionUse: *use, queuedAt: now, fresh: true}, maxSentSessions)
		}
	}
	c.sessions.sweep(now, c.holdTime())
}

// RecordOldVersionUse notes that a request of a session selected for the trial
// went to the old version, because no server of the new version may receive it.
func (c *Controller) RecordOldVersionUse(service string, session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := ActiveSession{Service: service, Session: session}
	state := c.sessions.states[key]
	if state == nil || state.moved.IsZero() {
		c.recordOwn(key, "")
		return
	}
	// The move was recorded when the version was chosen, and may have been sent.
	isMove := func(use queuedUse) bool { return use.session == key && use.target != "" }
	c.sessions.own = slices.DeleteFunc(c.sessions.own, isMove)
	c.sessions.relayed = slices.DeleteFunc(c.sessions.relayed, isMove)
	c.recordOwnUse(&sessionUse{session: key, withdraws: true, at: c.now()})
}

// BeginRequest notes that a request of a session is in progress until EndRequest is called.
// The time for which a session keeps its version counts from the end of its request.
func (c *Controller) BeginRequest(service string, session uint64) {
	if !c.reportsTimes() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !hashBelow(session, c.candidateShare(service)) {
		return
	}
	c.sessions.state(ActiveSession{Service: service, Session: session}).requests++
}

// EndRequest ends what BeginRequest began.
func (c *Controller) EndRequest(service string, session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := ActiveSession{Service: service, Session: session}
	state := c.sessions.states[key]
	if state == nil || state.requests == 0 {
		return
	}
	c.refresh(key, state)
	state.requests--
}

// refresh records a use of the version that the latest request of a session uses. If that
// was a version on trial whose rollout has ended, it is the old version now, or the session
// uses the old version from now on.
func (c *Controller) refresh(session ActiveSession, state *sessionState) {
	switch {
	case state.moved.After(state.old):
		if target := c.moveTarget(session.Service, state); c.hasEnded(session.Service, target) {
			c.recordOwn(session, "")
		} else {
			c.recordOwn(session, target)
		}
	case !state.old.IsZero():
		c.recordOwn(session, "")
	}
}

// hasEnded reports whether the rollout of a target has ended, also if the target is empty.
func (c *Controller) hasEnded(service, target string) bool {
	status := c.statuses[service]
	if order, ordered := c.orders[service]; ordered && order.order.Target == target && c.isOpen(order) {
		return false
	}
	return target == "" || (status.Target == target && status.State != Running) || slices.Contains(c.history(service).rejected, target)
}

// endMoves takes the moves of sessions to a version whose rollout has ended without success
// for uses of the old version, which the sessions use from now on.
func (c *Controller) endMoves(service, target string) {
	for session, state := range c.sessions.states {
		if session.Service == service && state.target == target {
			state.old = latest(state.old, state.moved)
			state.moved, state.target = time.Time{}, ""
		}
	}
	isMove := func(use queuedUse) bool { return use.session.Service == service && use.target == target }
	c.sessions.own = slices.DeleteFunc(c.sessions.own, isMove)
	c.sessions.relayed = slices.DeleteFunc(c.sessions.relayed, isMove)
}

// refreshInProgress records a use of each session with a request in progress, at most once
// per reportResolution.
func (c *Controller) refreshInProgress(now time.Time) {
	if now.Sub(c.sessions.refreshedAt) < reportResolution {
		return
	}
	c.sessions.refreshedAt = now
	for session, state := range c.sessions.states {
		if state.requests > 0 {
			c.refresh(session, state)
		}
	}
}

// keepsOldVersion reports whether a session selected for the trial is active on
// the old version and therefore stays there. If so, it records the use. A session that
// moved in an earlier rollout uses what is the old version now.
func (c *Controller) keepsOldVersion(service string, session uint64) bool {
	key := ActiveSession{Service: service, Session: session}
	state := c.sessions.states[key]
	if state == nil || c.now().Sub(latest(state.old, state.moved)) >= c.holdTime() {
		return false
	}
	c.recordOwn(key, "")
	return true
}

// movedTo returns the version on trial that a session moved to, at this instance or at
// another one; empty if it did not or is no longer active.
func (c *Controller) movedTo(service string, session uint64) string {
	state := c.sessions.states[ActiveSession{Service: service, Session: session}]
	if state == nil || c.now().Sub(state.moved) >= c.holdTime() {
		return ""
	}
	return c.moveTarget(service, state)
}

// moveTarget returns the version on trial that a session moved to, however long ago. A move
// belongs to the order under which it was made: one from before an open order of the same
// version does not count. It is kept, since the start of the order moves back if a peer has
// had it for longer.
func (c *Controller) moveTarget(service string, state *sessionState) string {
	order, ordered := c.orders[service]
	if ordered && order.order.Target == state.target && c.isOpen(order) && state.moved.Before(order.movesSince()) {
		return ""
	}
	return state.target
}
