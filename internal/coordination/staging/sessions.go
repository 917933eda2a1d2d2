package staging

import "time"

const (
	// sessionLife is how long a session that was active on a version keeps it.
	// It is above the pause within which the requests of a session follow each
	// other.
	sessionLife = 8 * time.Second
	// sightingLife is how long a sighting is sent to the peers: long enough to
	// outlast two lost datagrams.
	sightingLife = 1300 * time.Millisecond
	// maxSightings bounds the sightings that are sent at once.
	maxSightings = 64
)

// Sighting says that a session has used the version that a roll-out replaces,
// so that no other instance moves it while it is active. Only sessions that the
// hash would move are told of.
type Sighting struct {
	Service string `json:"service"`
	Session uint64 `json:"session"`
}

// sightings holds when sessions were last seen on the old version.
type sightings struct {
	seen map[Sighting]time.Time
	// own holds the sightings of this instance, for its peers.
	own []ownSighting
	// sweptAt is when old entries were last removed.
	sweptAt time.Time
}

type ownSighting struct {
	sighting Sighting
	at       time.Time
}

func newSightings() sightings { return sightings{seen: map[Sighting]time.Time{}} }

// active reports whether the session was seen within its life.
func (s *sightings) active(sighting Sighting, now time.Time) bool {
	at, ok := s.seen[sighting]
	return ok && now.Sub(at) < sessionLife
}

// note takes over a sighting. An older one does not replace a newer one.
func (s *sightings) note(sighting Sighting, at time.Time) {
	if at.After(s.seen[sighting]) {
		s.seen[sighting] = at
	}
	s.sweep(at)
}

// sweep removes what has expired, at most once in a session's life.
func (s *sightings) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sessionLife {
		return
	}
	s.sweptAt = now
	for sighting, at := range s.seen {
		if now.Sub(at) >= sessionLife {
			delete(s.seen, sighting)
		}
	}
}

// recent returns the own sightings that the peers may not have heard yet.
func (s *sightings) recent(now time.Time) []Sighting {
	for len(s.own) > 0 && (now.Sub(s.own[0].at) >= sightingLife || len(s.own) > maxSightings) {
		s.own = s.own[1:]
	}
	recent := make([]Sighting, len(s.own))
	for i := range s.own {
		recent[i] = s.own[i].sighting
	}
	return recent
}

// Sightings returns the sightings for the peers.
func (c *Controller) Sightings() []Sighting {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions.recent(c.now())
}

// Hear takes over the sightings of a peer.
func (c *Controller) Hear(heard []Sighting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, sighting := range heard {
		c.sessions.note(sighting, now)
	}
}

// stay reports whether a session that the hash would move stays on the old
// version, and notes its use of it. Without an order every session stays.
func (c *Controller) stay(service string, session uint64, ordered bool) bool {
	sighting := Sighting{Service: service, Session: session}
	now := c.now()
	if ordered && !c.sessions.active(sighting, now) {
		return false
	}
	c.sessions.note(sighting, now)
	c.sessions.own = append(c.sessions.own, ownSighting{sighting: sighting, at: now})
	return true
}
