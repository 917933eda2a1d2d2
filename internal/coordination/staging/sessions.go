package staging

import "time"

const (
	// activeTime is how long a session that was active on a version keeps it. It
	// is longer than the usual pause between the requests of a session.
	activeTime = 8 * time.Second
	// sendTime is how long an active session is sent to the peers: long enough to
	// outlast two lost datagrams.
	sendTime = 1300 * time.Millisecond
	// maxSentSessions bounds the active sessions that are sent at once.
	maxSentSessions = 100
)

// ActiveSession identifies a session that has used the version which a rollout
// replaces. Peers exchange active sessions so that none of them moves such a
// session to the new version. Only sessions whose hash selects them for the
// trial are exchanged.
type ActiveSession struct {
	Service string `json:"service"`
	Session uint64 `json:"session"`
}

// sessionTracker records when sessions last used the old version.
type sessionTracker struct {
	lastUse map[ActiveSession]time.Time
	// own and relayed hold the latest active sessions of this instance and of its
	// peers, oldest first.
	own, relayed []timedSession
	// sweptAt is when expired entries were last removed.
	sweptAt time.Time
}

type timedSession struct {
	session ActiveSession
	at      time.Time
}

func newSessionTracker() sessionTracker {
	return sessionTracker{lastUse: map[ActiveSession]time.Time{}}
}

// active reports whether the session used the old version within activeTime.
func (s *sessionTracker) active(session ActiveSession, now time.Time) bool {
	at, ok := s.lastUse[session]
	return ok && now.Sub(at) < activeTime
}

// record notes a use of the old version. An older use does not replace a newer
// one.
func (s *sessionTracker) record(session ActiveSession, at time.Time) {
	if at.After(s.lastUse[session]) {
		s.lastUse[session] = at
	}
	s.sweep(at)
}

// sweep removes expired entries, at most once per activeTime.
func (s *sessionTracker) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < activeTime {
		return
	}
	s.sweptAt = now
	for session, at := range s.lastUse {
		if now.Sub(at) >= activeTime {
			delete(s.lastUse, session)
		}
	}
}

// dropExpired drops the sessions that were sent for sendTime, or that exceed
// maxSentSessions, and returns the others.
func dropExpired(timed *[]timedSession, now time.Time) []ActiveSession {
	for len(*timed) > 0 && (now.Sub((*timed)[0].at) >= sendTime || len(*timed) > maxSentSessions) {
		*timed = (*timed)[1:]
	}
	sessions := make([]ActiveSession, len(*timed))
	for i := range *timed {
		sessions[i] = (*timed)[i].session
	}
	return sessions
}

// ActiveSessions returns the active sessions of this instance, to be sent to
// its peers.
func (c *Controller) ActiveSessions() []ActiveSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	return dropExpired(&c.sessions.own, c.now())
}

// RelayedSessions returns the active sessions received from peers, for
// instances that rarely exchange messages with those peers.
func (c *Controller) RelayedSessions() []ActiveSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	return dropExpired(&c.sessions.relayed, c.now())
}

// MergeSessions merges the active sessions of a peer and those that the peer
// relays. Only the peer's own sessions are relayed further, so that no
// session circulates.
func (c *Controller) MergeSessions(own, relayed []ActiveSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, session := range own {
		if !c.sessions.active(session, now.Add(activeTime-sendTime)) {
			c.sessions.relayed = append(c.sessions.relayed, timedSession{session: session, at: now})
		}
		c.sessions.record(session, now)
	}
	for _, session := range relayed {
		c.sessions.record(session, now)
	}
}

// RecordOldVersionUse notes that a request of a session selected for the trial
// went to the old version, because no server of the new version may receive it.
func (c *Controller) RecordOldVersionUse(service string, session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOwn(ActiveSession{Service: service, Session: session}, c.now())
}

func (c *Controller) recordOwn(session ActiveSession, now time.Time) {
	c.sessions.record(session, now)
	c.sessions.own = append(c.sessions.own, timedSession{session: session, at: now})
}

// keepsOldVersion reports whether a session selected for the trial is active on
// the old version and therefore stays there. If so, it records the use.
func (c *Controller) keepsOldVersion(service string, session uint64) bool {
	key := ActiveSession{Service: service, Session: session}
	now := c.now()
	if !c.sessions.active(key, now) {
		return false
	}
	c.recordOwn(key, now)
	return true
}
