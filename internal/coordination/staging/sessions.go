package staging

import "time"

const (
	// activeTime is how long a session that was active on a version keeps it.
	// It is above the pause within which the requests of a session follow each
	// other.
	activeTime = 8 * time.Second
	// sendTime is how long a sighting is sent to the peers: long enough to
	// outlast two lost datagrams.
	sendTime = 1300 * time.Millisecond
	// maxSentSessions bounds the sightings that are sent at once.
	maxSentSessions = 100
)

// ActiveSession says that a session has used the version that a roll-out replaces,
// so that no other instance moves it while it is active. Only sessions that the
// hash would move are told of.
type ActiveSession struct {
	Service string `json:"service"`
	Session uint64 `json:"session"`
}

// sessionTracker holds when sessions were last seen on the old version.
type sessionTracker struct {
	lastUse map[ActiveSession]time.Time
	// own and relayed hold the latest sightings of this instance and of its peers.
	own, relayed []timedSession
	// sweptAt is when old entries were last removed.
	sweptAt time.Time
}

type timedSession struct {
	session ActiveSession
	at      time.Time
}

func newSessionTracker() sessionTracker {
	return sessionTracker{lastUse: map[ActiveSession]time.Time{}}
}

// active reports whether the session was seen within its life.
func (s *sessionTracker) active(sighting ActiveSession, now time.Time) bool {
	at, ok := s.lastUse[sighting]
	return ok && now.Sub(at) < activeTime
}

// record takes over a sighting. An older one does not replace a newer one.
func (s *sessionTracker) record(sighting ActiveSession, at time.Time) {
	if at.After(s.lastUse[sighting]) {
		s.lastUse[sighting] = at
	}
	s.sweep(at)
}

// sweep removes what has expired, at most once in a session's life.
func (s *sessionTracker) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < activeTime {
		return
	}
	s.sweptAt = now
	for sighting, at := range s.lastUse {
		if now.Sub(at) >= activeTime {
			delete(s.lastUse, sighting)
		}
	}
}

// dropExpired drops the sightings that all have heard by now and returns the others.
func dropExpired(timed *[]timedSession, now time.Time) []ActiveSession {
	for len(*timed) > 0 && (now.Sub((*timed)[0].at) >= sendTime || len(*timed) > maxSentSessions) {
		*timed = (*timed)[1:]
	}
	sightings := make([]ActiveSession, len(*timed))
	for i := range *timed {
		sightings[i] = (*timed)[i].session
	}
	return sightings
}

// ActiveSessions returns the sightings of this instance for its peers.
func (c *Controller) ActiveSessions() []ActiveSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	return dropExpired(&c.sessions.own, c.now())
}

// RelayedSessions returns the sightings that peers have told, for those that do not hear
// them often.
func (c *Controller) RelayedSessions() []ActiveSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	return dropExpired(&c.sessions.relayed, c.now())
}

// MergeSessions takes over the sightings of a peer, and those that it passes on. Only the
// peer's own are passed on from here, so that none goes in circles.
func (c *Controller) MergeSessions(own, relayed []ActiveSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, sighting := range own {
		if !c.sessions.active(sighting, now.Add(activeTime-sendTime)) {
			c.sessions.relayed = append(c.sessions.relayed, timedSession{session: sighting, at: now})
		}
		c.sessions.record(sighting, now)
	}
	for _, sighting := range relayed {
		c.sessions.record(sighting, now)
	}
}

// RecordOldVersionUse notes that a request of a session that would move has been given to the
// old version, because no server of the new one may take it.
func (c *Controller) RecordOldVersionUse(service string, session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOwn(ActiveSession{Service: service, Session: session}, c.now())
}

func (c *Controller) recordOwn(sighting ActiveSession, now time.Time) {
	c.sessions.record(sighting, now)
	c.sessions.own = append(c.sessions.own, timedSession{session: sighting, at: now})
}

// keepsOldVersion reports whether a session that the hash would move is active on the old
// version and stays there, and notes its use of it.
func (c *Controller) keepsOldVersion(service string, session uint64) bool {
	sighting := ActiveSession{Service: service, Session: session}
	now := c.now()
	if !c.sessions.active(sighting, now) {
		return false
	}
	c.recordOwn(sighting, now)
	return true
}
