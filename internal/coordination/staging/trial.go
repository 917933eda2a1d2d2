package staging

import (
	"math"
	"time"
)

// A trial has two parts. First a small share of the sessions shows whether the
// new version answers at all. Then the share grows, so that its servers carry
// what they would carry after the change: a version may fail under load alone.
// A version may also fail under a load that it does not meet as a canary,
// so it is taken over only shortly before the deadline. Together this stays within
// the exposure that is allowed, with a margin for the uneven sizes of sessions.
const (
	// firstShare and loadShare are the shares of the sessions in the two parts,
	// as multiples of the allowed exposure.
	firstShare = 0.4
	loadShare  = 1.2
	// loadStartShare is the part of an order's time from which the share is larger.
	loadStartShare = 0.55
	// promoteLead is the time before the deadline at which a version that is not
	// worse is taken over: the delay of the order, of a look at the counts and of
	// the agreement. It is at most a part of the order's time.
	promoteLead         = 900 * time.Millisecond
	maxPromoteLeadShare = 0.1
	// subsetRotation is how long the same servers get the requests of a trial where
	// they are fewer than steadyFocus. It keeps a server that is bad by itself from
	// standing for its version. More stay, since each that begins has to read all
	// prompts anew.
	subsetRotation  = 2 * time.Second
	fixedSubsetSize = 3
	// subsetOverload is the part of a server's later load that those in focus may
	// carry beside theirs, so that a whole number of them serves the trial.
	subsetOverload = 0.25
)

// promoteAt returns the moment from which a version that is not worse may be
// taken over.
func (s *orderState) promoteAt() time.Time {
	return s.seenAt.Add(s.order.Within - min(promoteLead, time.Duration(maxPromoteLeadShare*float64(s.order.Within))))
}

// underLoad reports whether the canary gets the larger share.
func (s *orderState) underLoad(now time.Time) bool {
	return now.Sub(s.seenAt) >= time.Duration(loadStartShare*float64(s.order.Within))
}

// trialShare returns the part of the sessions that the new version gets now.
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
// session that is active on the old one stays, and the use of it is noted for
// all sessions that the trial may reach.
func (c *Controller) moves(s *orderState, service string, session uint64) bool {
	if !hashBelow(session, c.trialShare(s)) {
		c.recordCandidate(service, session)
		return false
	}
	return !c.keepsOldVersion(service, session)
}

// recordCandidate notes the use of the old version by a session that a trial may
// move later.
func (c *Controller) recordCandidate(service string, session uint64) {
	if hashBelow(session, loadShare*c.exposure()) {
		c.recordOwn(ActiveSession{Service: service, Session: session}, c.now())
	}
}

// serverSubset is a turning selection among the servers of a version, so few that each
// gets about what it would get if the version had all requests.
type serverSubset struct {
	share    float64
	rotation int
}

func (c *Controller) subsetOf(s *orderState) serverSubset {
	return serverSubset{share: c.trialShare(s), rotation: int(c.now().Sub(s.seenAt) / subsetRotation)}
}

// WithAllServers returns the stage with all servers of the canary version.
func (s Stage) WithAllServers() Stage {
	s.subset = serverSubset{}
	return s
}

// IncludesServer reports whether a server gets requests of the trial, by its place, 0
// to 1, among the given number of servers of its version. Outside of a trial all
// do.
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
