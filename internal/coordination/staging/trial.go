package staging

import (
	"math"
	"time"
)

// A trial has two phases. First a small share of the sessions shows whether the
// new version answers at all. Then the share grows until its servers carry the
// load that they would carry after the rollout, since a version may fail only
// under load. A version may also fail under a load that it does not meet as a
// canary, so it is promoted only shortly before the deadline. Both phases
// together stay within the allowed exposure, with a margin for the uneven sizes
// of sessions.
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
	return s.seenAt.Add(s.order.Within - min(promoteLead, time.Duration(maxPromoteLeadShare*float64(s.order.Within))))
}

// underLoad reports whether the canary receives the larger share.
func (s *orderState) underLoad(now time.Time) bool {
	return now.Sub(s.seenAt) >= time.Duration(loadStartShare*float64(s.order.Within))
}

// trialShare returns the share of the sessions, 0 to 1, that the new version
// receives now.
func (c *Controller) trialShare(s *orderState) float64 {
	if s.underLoad(c.now()) {
		return loadShare * c.exposure()
	}
	return firstShare * c.exposure()
}

func hashBelow(session uint64, share float64) bool {
	return float64(session%hashScale) < share*hashScale
}

// moves reports whether a request of a session goes to the new version. A
// session that is active on the old version stays there. Uses of the old
// version are recorded for all sessions that the trial may select.
func (c *Controller) moves(s *orderState, service string, session uint64) bool {
	if !hashBelow(session, c.trialShare(s)) {
		c.recordCandidate(service, session)
		return false
	}
	return !c.keepsOldVersion(service, session)
}

// recordCandidate records the use of the old version by a session that a trial
// may move later.
func (c *Controller) recordCandidate(service string, session uint64) {
	if hashBelow(session, loadShare*c.exposure()) {
		c.recordOwn(ActiveSession{Service: service, Session: session}, c.now())
	}
}

// serverSubset selects some of the servers of a version in rotation, few enough
// that each receives about the load it would receive if the version had all
// requests.
type serverSubset struct {
	share    float64
	rotation int
}

func (c *Controller) subsetOf(s *orderState) serverSubset {
	return serverSubset{share: c.trialShare(s), rotation: int(c.now().Sub(s.seenAt) / subsetRotation)}
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
	index := int(position * float64(servers))
	if size >= fixedSubsetSize {
		return index < size
	}
	first := s.subset.rotation * size % servers
	return (index-first+servers)%servers < size
}
