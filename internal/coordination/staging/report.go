package staging

import (
	"encoding/binary"
	"time"
)

const (
	// maxOwn and maxRelayed bound the uses that are sent at once. A member of a large fleet
	// that polls both leaders 1.25 times a second receives at most 11.3 kB of them per
	// second, of the 19 kB that the control plane may take.
	maxOwn     = 100
	maxRelayed = 400
	// maxSentSessions bounds the active sessions that are sent at once to peers of the
	// previous build.
	maxSentSessions = 100
	// recordSize is the size of an encoded use: the hash of the session, and its age in
	// steps of ageStep. All records of a datagram take (maxOwn + maxRelayed) * recordSize
	// = 4,500 bytes, in addition to the names of services and versions.
	recordSize = 9
	ageStep    = 100 * time.Millisecond
	maxAge     = 255
	// previousBuildTime is how long active sessions are sent in the form of the previous build
	// after the latest datagram of a peer that sends no SessionReport.
	previousBuildTime = 10 * time.Second
)

// SessionReport states when sessions used which version. Its presence in a datagram also
// says that the sender needs no active sessions in the form of the previous build.
type SessionReport struct {
	// Own are uses at the sender, Relayed uses that a leader has learned from others.
	Own     []SessionUses `cbor:"1,keyasint,omitempty"`
	Relayed []SessionUses `cbor:"2,keyasint,omitempty"`
}

// SessionUses are uses of one version of a service.
type SessionUses struct {
	Service string `cbor:"1,keyasint"`
	// Target is the version on trial that the sessions moved to; empty for uses of the
	// old version.
	Target string `cbor:"2,keyasint,omitempty"`
	// Records holds recordSize bytes for each use.
	Records []byte `cbor:"3,keyasint"`
	// Withdraws is true for uses of the old version by sessions whose earlier moves are
	// withdrawn. The previous build takes them for plain uses of the old version.
	Withdraws bool `cbor:"4,keyasint,omitempty"`
}

// dropExpired drops the uses that were sent for sendTime, or that exceed the limit.
func dropExpired(queue *[]queuedUse, now time.Time, limit int) {
	for len(*queue) > 0 && (now.Sub((*queue)[0].queuedAt) >= sendTime || len(*queue) > limit) {
		*queue = (*queue)[1:]
	}
}

// encodeUses groups uses by service and version.
func encodeUses(queue []queuedUse, now time.Time, includes func(use *queuedUse) bool) []SessionUses {
	type group struct {
		service, target string
		withdraws       bool
	}
	var groups []SessionUses
	index := map[group]int{}
	for i := range queue {
		use := &queue[i]
		if !includes(use) {
			continue
		}
		key := group{use.session.Service, use.target, use.withdraws}
		at, known := index[key]
		if !known {
			at = len(groups)
			index[key] = at
			groups = append(groups, SessionUses{Service: use.session.Service, Target: use.target, Withdraws: use.withdraws})
		}
		age := min(max(now.Sub(use.at)/ageStep, 0), maxAge)
		groups[at].Records = binary.BigEndian.AppendUint64(groups[at].Records, use.session.Session)
		groups[at].Records = append(groups[at].Records, byte(age))
	}
	return groups
}

// decodeUses calls do with each use. Incomplete records are ignored.
func decodeUses(groups []SessionUses, now time.Time, do func(use *sessionUse)) {
	for i := range groups {
		for r := groups[i].Records; len(r) >= recordSize; r = r[recordSize:] {
			do(&sessionUse{
				session: ActiveSession{Service: groups[i].Service, Session: binary.BigEndian.Uint64(r)},
				target:  groups[i].Target, withdraws: groups[i].Withdraws,
				at: now.Add(-time.Duration(r[recordSize-1]) * ageStep),
			})
		}
	}
}

// Sessions returns the uses to be sent to the peers; with relay, also those that were
// received from peers, for instances that rarely exchange messages with those peers. It
// returns nil if the settings don't state the longest pause of a session.
func (c *Controller) Sessions(relay bool) *SessionReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions.relays = relay
	if !c.reportsTimes() {
		return nil
	}
	now := c.now()
	c.refreshInProgress(now)
	return c.report(relay, now, func(*queuedUse) bool { return true })
}

// RelayedAfter returns the uses to be relayed that were queued after the one with a number, for
// a peer that has received those up to it, and the number of the latest one.
func (c *Controller) RelayedAfter(number uint64) (uses []SessionUses, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	dropExpired(&c.sessions.relayed, now, maxRelayed)
	return encodeUses(c.sessions.relayed, now, func(use *queuedUse) bool { return use.number > number }), c.sessions.lastNumber
}

// UrgentSessions returns the uses that the peers should learn of at once.
func (c *Controller) UrgentSessions(relay bool) *SessionReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return c.report(relay, now, func(use *queuedUse) bool { return use.fresh && now.Sub(use.queuedAt) < urgentSendTime })
}

func (c *Controller) report(relay bool, now time.Time, includes func(use *queuedUse) bool) *SessionReport {
	dropExpired(&c.sessions.own, now, maxOwn)
	dropExpired(&c.sessions.relayed, now, maxRelayed)
	report := &SessionReport{Own: encodeUses(c.sessions.own, now, includes)}
	if relay {
		report.Relayed = encodeUses(c.sessions.relayed, now, includes)
	}
	return report
}

// MergeSessionReport merges the report of a peer. Only the peer's own uses are relayed
// further, so that no use circulates.
func (c *Controller) MergeSessionReport(report *SessionReport) {
	defer c.announceUrgent()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	decodeUses(report.Own, now, func(use *sessionUse) { c.recordRelayed(use, now) })
	decodeUses(report.Relayed, now, func(use *sessionUse) {
		state := c.sessions.record(use)
		// A leader relays also what the other leader does, so that one lost datagram of
		// either has no effect.
		if !c.sessions.relays {
			state.noteDistributed(use)
		}
	})
	c.sessions.sweep(now, c.holdTime())
}

// recordRelayed notes a use at a peer, to be relayed. Instances that are not leaders don't
// relay: they receive datagrams of members only in a small fleet, where all do.
func (c *Controller) recordRelayed(use *sessionUse, now time.Time) {
	if !c.reportsTimes() {
		if state := c.sessions.state(use.session); now.Sub(state.old) >= sendTime {
			c.sessions.enqueue(&c.sessions.relayed, queuedUse{sessionUse: *use, queuedAt: now, fresh: true}, maxSentSessions)
		}
		c.sessions.record(use)
	} else {
		c.recordToSend(use, now, &c.sessions.relayed, maxRelayed)
		if !c.sessions.relays {
			c.sessions.state(use.session).noteDistributed(use)
		}
	}
}

// PreviousBuildPeers reports whether a peer recently sent no SessionReport, so that active sessions
// must be sent in the form of the previous build as well.
func (c *Controller) PreviousBuildPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.sessions.previousBuildSeenAt.IsZero() && c.now().Sub(c.sessions.previousBuildSeenAt) < previousBuildTime
}

// ActiveSessions returns the sessions that used the old version at this instance, in the
// form of the previous build.
func (c *Controller) ActiveSessions() []ActiveSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropExpired(&c.sessions.own, c.now(), maxOwn)
	return activeOf(c.sessions.own)
}

// RelayedSessions returns the sessions that used the old version at peers, in the form of
// the previous build.
func (c *Controller) RelayedSessions() []ActiveSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropExpired(&c.sessions.relayed, c.now(), maxRelayed)
	return activeOf(c.sessions.relayed)
}

func activeOf(queue []queuedUse) []ActiveSession {
	sessions := make([]ActiveSession, 0, min(len(queue), maxSentSessions))
	for i := range queue {
		if queue[i].target == "" {
			sessions = append(sessions, queue[i].session)
		}
	}
	return sessions[max(len(sessions)-maxSentSessions, 0):]
}

// MergeSessions merges the active sessions of a peer of the previous build and those that it
// relays. They have no age: the time of receipt counts as the time of use.
func (c *Controller) MergeSessions(own, relayed []ActiveSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.sessions.previousBuildSeenAt = now
	for _, session := range own {
		c.recordRelayed(&sessionUse{session: session, at: now}, now)
	}
	for _, session := range relayed {
		c.sessions.record(&sessionUse{session: session, at: now})
	}
	c.sessions.sweep(now, c.holdTime())
}
