package brittle

import (
	"math"
	"math/rand/v2"
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// usedShare is the share of the requests which a server can turn away that all instances
	// of a small fleet together may let it turn away. The rest is for instances that start and
	// for requests that cross.
	usedShare = 0.5
	// largeUsedShare is the same in a large fleet for trials by rank, and statedTrials the number
	// of trials where the server has stated room as a multiple of these. The trials of many
	// instances come at random times: more than the bound within a second must be rare.
	largeUsedShare = 0.04
	statedTrials   = 4
	// fullShareLimit is the limit from which on that share is used, and smallLimitPower the power
	// of the limit with which it falls below. With the full share, 31 of 150 simulated servers
	// with a limit of 2 fell in ten seconds, where 17 are allowed.
	fullShareLimit  = 5
	smallLimitPower = 0.7
	// maxTrialInterval bounds the time between two trials of an instance at a server. In a large
	// fleet it is doubled up to maxDoublings times while trials are turned away.
	maxTrialInterval = 10 * time.Second
	maxDoublings     = 2
	// fullTime is how long a server at which requests wait is not tried.
	fullTime = 500 * time.Millisecond
	// unusedTime is how long an instance of a large fleet keeps what a server took beyond its
	// portion without using it.
	unusedTime = 2 * time.Second
	// statedRoomTime is how long a server is taken to have the room that it has stated.
	statedRoomTime = time.Second
	// rankedTime is how long the ranks of an instance for a server are used, at most.
	rankedTime = 2 * time.Second
)

// room is what a server has room for, as far as this instance knows.
type room struct {
	// most is the number of requests in progress of this instance that the server has
	// taken.
	most int
	// trialAt is from when on one more may be tried.
	trialAt time.Time
	// fullAt is when the server last said that requests wait there.
	fullAt time.Time
	// turnedAwayAt is when the server last turned a request away, as far as is known.
	turnedAwayAt time.Time
	// large is set in a large fleet, nil in a small one.
	large *largeRoom
}

// largeRoom is the state that only an instance of a large fleet has for a server.
type largeRoom struct {
	ranks    Ranks
	rankedAt time.Time
	// hasTurn is true if this instance may try by rank.
	hasTurn bool
	// portion is the number of slots of the server that are for this instance.
	portion int
	// usedAt is when this instance last had as many requests in progress as the server has
	// taken.
	usedAt time.Time
	// statedAt is when the server last stated that it has free slots, and roomAt when that
	// was for this instance to use; zero if it was used since.
	statedAt, roomAt time.Time
	// refused counts the requests that were turned away since the server last had room.
	refused int
}

// mayTry reports whether one more request may be tried at a server.
func (s *service) mayTry(r *room, now time.Time) bool {
	if r.large != nil && now.Sub(r.large.roomAt) < statedRoomTime {
		return true
	}
	return !now.Before(r.trialAt) && now.Sub(r.fullAt) >= fullTime
}

// setFull records that the server has stated that it has no free slots.
func (r *room) setFull(now time.Time) {
	r.fullAt = now
	if r.large != nil {
		r.large.roomAt = time.Time{}
	}
}

// lapse gives up what the server took beyond the portion of this instance, if it was not used
// for some time. Otherwise all instances together would keep more than the server has.
func (r *room) lapse(inProgress int, now time.Time) {
	if r.large == nil {
		return
	}
	if inProgress >= r.most {
		r.large.usedAt = now
	}
	if r.most > r.large.portion && now.Sub(r.large.usedAt) >= unusedTime {
		r.most, r.large.usedAt = max(r.large.portion, inProgress), now
	}
}

// limit lowers the number of requests that this instance has in progress at a server, but not
// below its portion of a server.
func (r *room) limit(inProgress int) {
	if r.large != nil {
		inProgress = max(inProgress, r.large.portion)
	}
	r.most = min(r.most, max(inProgress, 0))
}

// withRoom calls do with the state of a service that is brittle and what is known of one of
// its servers. It does nothing if the service is not brittle.
func (g *Gate) withRoom(server *Server, do func(s *service, r *room, now time.Time)) {
	if !g.Active() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.brittle(server.Service, now)
	if s == nil {
		return
	}
	r := s.servers[server.ID]
	if g.opts.Large() && (r == nil || r.large == nil || now.Sub(r.large.rankedAt) >= rankedTime) {
		if r != nil && r.large != nil {
			// Other requests use the former ranks meanwhile: each rank costs a hash of each instance.
			r.large.rankedAt = now
		}
		g.mu.Unlock()
		ranks := g.opts.Ranks(server.ID)
		g.mu.Lock()
		if s = g.services[server.Service]; s == nil {
			return
		}
		r = g.room(s, server, now)
		g.rank(s, r, server, ranks, now)
	}
	if r == nil {
		r = g.room(s, server, now)
	}
	do(s, r, now)
}

// room returns what is known of a server. A server that is new may be tried at a random time,
// so that the instances do not all do so at once.
func (g *Gate) room(s *service, server *Server, now time.Time) *room {
	r := s.servers[server.ID]
	if r == nil {
		r = &room{}
		r.trialAt = now.Add(time.Duration(rand.Float64() * float64(g.interval(s, r))))
		if !g.opts.Large() && g.opts.Instances() <= server.Slots {
			r.most = 1
		}
		s.servers[server.ID] = r
	}
	return r
}

// rank records the ranks of this instance for a server of a large fleet, and so its portion.
func (g *Gate) rank(s *service, r *room, server *Server, ranks Ranks, now time.Time) {
	first := r.large == nil
	if first {
		r.large = &largeRoom{usedAt: now, statedAt: now}
	}
	l := r.large
	// The ranks of many servers are not to be computed again all in one decision: each costs 20 µs
	// in a fleet of 300.
	l.ranks, l.rankedAt = ranks, now.Add(-time.Duration(rand.Float64()*float64(rankedTime)/2))
	if server.Slots > 0 {
		before := l.portion
		l.portion = portion(server.Slots, g.opts.Instances(), ranks)
		if first {
			r.most = l.portion
		} else {
			r.most += max(l.portion-before, 0)
		}
	}
	// The time of the first trial of a turn is random.
	if mayTry := l.mayTry(s.trialRate() * maxTrialInterval.Seconds()); first || mayTry != l.hasTurn {
		l.hasTurn = mayTry
		r.trialAt = now.Add(time.Duration(rand.Float64() * float64(g.interval(s, r))))
	}
}

// never is a time between trials after which there is none while the service is brittle.
const never = 24 * time.Hour

// interval returns the time between two trials of this instance at a server.
func (g *Gate) interval(s *service, r *room) time.Duration {
	instances := max(g.opts.Instances(), 1)
	if r.large != nil {
		return r.large.interval(s.trialRate(), instances, r.most)
	}
	perSecond := s.limit * usedShare / float64(instances)
	if perSecond*maxTrialInterval.Seconds() <= 1 {
		return maxTrialInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// trialRate returns the number of trials by rank in a second of all instances of a large fleet
// together at each server. Trials come at random times, so the share of a small limit that they
// may use is smaller: two of them within a second are far more likely than six.
func (s *service) trialRate() float64 {
	return s.limit * largeUsedShare * min(math.Pow(s.limit/fullShareLimit, smallLimitPower), 1)
}

// interval returns the time between two trials of an instance of a large fleet by rank, where
// all together may try perSecond, and the server has taken most of this one.
func (l *largeRoom) interval(perSecond float64, instances, most int) time.Duration {
	permits := perSecond * maxTrialInterval.Seconds()
	var interval float64
	switch own := permits / float64(instances); {
	case permits <= 0:
		return never
	case own >= 1:
		interval = float64(maxTrialInterval) / own
	case most < l.portion || l.mayTry(permits):
		// Only as many instances try as may do so once in that time, and those that were turned
		// away within their portion, which they would not get back otherwise.
		interval = float64(maxTrialInterval) / min(permits, 1)
	default:
		return never
	}
	return time.Duration(min(interval, float64(never))) << min(max(l.refused-1, 0), maxDoublings)
}

// mayTry reports whether this instance is one of those that may try in the present turn.
func (l *largeRoom) mayTry(permits float64) bool {
	return permits > 0 && float64(l.ranks.Trial) < max(math.Floor(permits), 1)
}

// observeLoad keeps this instance to less at a server where requests wait: the server may soon
// let fewer wait. All instances together give up as many requests as wait there.
func (g *Gate) observeLoad(server *Server, load *backends.Load) {
	inProgress := g.opts.InProgress(server.ID)
	g.withRoom(server, func(s *service, r *room, now time.Time) {
		if load.Waiting > 0 {
			r.setFull(now)
			r.limit(inProgress)
			if surplus := float64(load.Waiting) / float64(load.Waiting+load.Running); rand.Float64() < surplus || r.large != nil {
				r.limit(r.most - 1)
			}
			return
		}
		if r.large == nil {
			return
		}
		s.observeRoom(r, server.Slots, load.Running, inProgress, now)
	})
}

// observeRoom records that a server of a large fleet has stated that no requests wait, and how
// many it runs. Where it has free slots, this instance may use one with a probability by its part
// of these requests and the time since the last such statement. So the rate of all instances
// together is the same for any number of them, and slots that one does not use do not accumulate.
func (s *service) observeRoom(r *room, slots, running, inProgress int, now time.Time) {
	l := r.large
	if slots > 0 && running >= slots {
		r.setFull(now)
		return
	}
	l.refused = 0
	if slots == 0 {
		return
	}
	since := min(now.Sub(l.statedAt), statedRoomTime).Seconds()
	l.statedAt = now
	part := min(float64(max(inProgress, 1))/float64(max(running, 1)), 1)
	if rand.Float64() < since*part*s.trialRate()*statedTrials {
		l.roomAt = now
	}
}

// TurnedAway records that a server had no room for a request, with the number of others of
// this instance in progress there.
func (g *Gate) TurnedAway(server *Server, others int) {
	g.withRoom(server, func(s *service, r *room, now time.Time) {
		r.most = min(r.most, others)
		if r.large != nil {
			r.large.refused++
			r.large.roomAt = time.Time{}
		}
		r.trialAt = now.Add(g.interval(s, r))
		if !g.opts.Large() && now.Sub(r.turnedAwayAt) >= sameTime {
			g.opts.Changed()
		}
		r.turnedAwayAt = now
	})
}

// Allows reports whether a server may be sent one more request beside those in progress.
func (g *Gate) Allows(server *Server, inProgress int) bool {
	allowed := true
	g.withRoom(server, func(s *service, r *room, now time.Time) {
		r.lapse(inProgress, now)
		allowed = inProgress < r.most || s.mayTry(r, now)
	})
	return allowed
}

// Take records that a request is about to be sent to a server, with the number of requests
// in progress there that includes it. It reports false if that is one too many.
func (g *Gate) Take(server *Server, inProgress int) bool {
	taken := true
	g.withRoom(server, func(s *service, r *room, now time.Time) {
		r.lapse(inProgress, now)
		switch {
		case inProgress <= r.most:
		case s.mayTry(r, now):
			r.most = inProgress
			if r.large != nil {
				r.large.roomAt = time.Time{}
			}
			r.trialAt = now.Add(g.interval(s, r))
		default:
			taken = false
		}
	})
	return taken
}
