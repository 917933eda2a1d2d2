package staging

import (
	"math"
	"slices"
	"time"
)

// A trial has two phases. First a small share of the sessions shows whether the
// new version answers at all. Then the share grows until its servers carry the
// load that they would carry after the rollout, since a version may fail only
// under load. A version may also fail under a load that it does not meet as a
// canary, so it is promoted only shortly before the deadline. Both phases
// together stay within the allowed exposure, with a margin for the uneven sizes
// of sessions. If the new version has so few servers that the larger share is less
// than the load of one of them, other shares apply (newPhases).
const (
	// firstShare and loadShare are the shares of the sessions in the two phases,
	// as multiples of the allowed exposure.
	firstShare = 0.4
	loadShare  = 1.2
	// loadStartShare is the fraction of an order's time after which the larger
	// share applies.
	loadStartShare = 0.55
	// promoteLead is how long before the deadline a version that is not worse is
	// promoted: it covers the delays of the order, of the evaluation and of the
	// agreement. It is at most maxPromoteLeadShare of the order's time.
	promoteLead         = 900 * time.Millisecond
	maxPromoteLeadShare = 0.1
	// subsetRotation is how long the same servers receive the requests of a trial
	// if they are fewer than fixedSubsetSize. Rotating keeps one faulty server
	// from deciding about its version. A larger subset stays fixed, since each
	// server that joins has to read all prompts anew.
	subsetRotation  = 2 * time.Second
	fixedSubsetSize = 3
	// subsetOverload is the extra load, as a fraction of what a server carries
	// after the rollout, that servers in the subset may carry, so that a whole
	// number of them serves the trial.
	subsetOverload = 0.25
)

// promoteAt returns the time from which a version that is not worse may be
// promoted.
func (s *orderState) promoteAt() time.Time {
	return s.seenAt.Add(s.order.Within - s.promoteLead())
}

func (s *orderState) promoteLead() time.Duration { return promoteLeadOf(s.order.Within) }

func promoteLeadOf(within time.Duration) time.Duration {
	return min(promoteLead, time.Duration(maxPromoteLeadShare*float64(within)))
}

// giveUpAt returns the time from which a version that is suspected is rolled back.
func (s *orderState) giveUpAt() time.Time {
	return s.seenAt.Add(s.order.Within - s.promoteLead()/2)
}

// underLoad reports whether the canary receives the larger share.
func (c *Controller) underLoad(s *orderState) bool {
	return c.now().Sub(s.seenAt) >= c.phasesOf(s).lateFrom
}

// trialShare returns the share of the sessions, 0 to 1, that the new version
// receives now.
func (c *Controller) trialShare(s *orderState) float64 {
	p := c.phasesOf(s)
	if c.underLoad(s) {
		return p.late
	}
	return p.early
}

func hashBelow(session uint64, share float64) bool {
	return float64(session%hashScale) < share*hashScale
}

// started reports whether sessions may move: all instances had the time to learn of the
// order. One that has not would send a session back to the old version.
func (c *Controller) started(s *orderState) bool {
	return c.now().Sub(s.seenAt) >= c.movesFrom(s)
}

// maxSpreadShare bounds the time without moves, as a fraction of an order's time, so that a
// short order has time for its trial.
const maxSpreadShare = 0.1

// movesFrom returns how long after the start of an order sessions may move.
func (c *Controller) movesFrom(s *orderState) time.Duration {
	if c.orderSpread == nil {
		return 0
	}
	return min(c.orderSpread(), time.Duration(maxSpreadShare*float64(s.order.Within)))
}

// moves reports whether a request of a session goes to the new version. A session
// that is active on either version stays there; a move is not undone, also if an
// instance that had not learned of it has used the old version since. Uses are
// recorded for all sessions that the trial may select.
func (c *Controller) moves(s *orderState, service string, session uint64) bool {
	key := ActiveSession{Service: service, Session: session}
	switch {
	case c.movedTo(service, session) == s.order.Target:
	case !c.started(s) || !hashBelow(session, c.trialShare(s)):
		c.recordCandidate(service, session)
		return false
	case c.keepsOldVersion(service, session):
		return false
	}
	c.recordOwn(key, s.order.Target)
	return true
}

// movedElsewhere returns the version that a session has moved to under an order that this
// instance has not received yet; empty if there is none.
func (c *Controller) movedElsewhere(h *versionHistory, service string, session uint64) string {
	target := c.movedTo(service, session)
	if c.hasEnded(service, target) || !slices.Contains(h.present, target) {
		return ""
	}
	return target
}

// recordCandidate records the use of the old version by a session that a trial
// may move later.
func (c *Controller) recordCandidate(service string, session uint64) {
	if hashBelow(session, c.candidateShare(service)) {
		c.recordOwn(ActiveSession{Service: service, Session: session}, "")
	}
}

// serverSubset selects some of the servers of a version in rotation, few enough
// that each receives about the load it would receive if the version had all
// requests.
type serverSubset struct {
	share    float64
	rotation int
	// single is true if one server receives the whole share, whatever the number of servers
	// of its version is at present.
	single bool
}

// subsetOf returns the subset that serves the trial now. The server that receives its full load
// does not change, so that it has that load for the whole phase.
func (c *Controller) subsetOf(s *orderState) serverSubset {
	age, single := c.now().Sub(s.seenAt), c.isAtFullLoad(s)
	if single {
		age = c.phasesOf(s).lateFrom
	}
	return serverSubset{share: c.trialShare(s), rotation: int(age / subsetRotation), single: single}
}

// WithAllServers returns the stage without the restriction to a subset of the
// canary servers.
func (s Stage) WithAllServers() Stage {
	s.subset = serverSubset{}
	return s
}

// IncludesServer reports whether a server receives requests of the trial.
// position is its position, 0 to 1, among the given number of servers of its
// version. Without a trial all servers do.
func (s Stage) IncludesServer(position float64, servers int) bool {
	if s.subset.share <= 0 || servers <= 1 {
		return true
	}
	size := max(int(math.Ceil(s.subset.share*float64(servers)-subsetOverload)), 1)
	if s.subset.single {
		size = 1
	}
	index := int(position * float64(servers))
	if size >= fixedSubsetSize {
		return index < size
	}
	first := s.subset.rotation * size % servers
	return (index-first+servers)%servers < size
}
