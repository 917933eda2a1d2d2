package staging

import (
	"time"
)

// ActiveSession identifies a session that uses a service while a rollout may move it.
// Peers exchange active sessions so that all of them know the version that a session
// uses. Only sessions whose hash may select them for the trial are exchanged.
type ActiveSession struct {
	Service string `json:"service"`
	Session uint64 `json:"session"`
}

type sessionUse struct {
	session ActiveSession
	// target is the version on trial that the session has moved to; empty if it used the
	// old version.
	target string
	// withdraws is true for a use of the old version by a session whose move before it was
	// withdrawn.
	withdraws bool
	at        time.Time
}

// queuedUse is a use to be sent to the peers since queuedAt.
type queuedUse struct {
	sessionUse
	queuedAt time.Time
	// fresh is true if the use was not expected from the uses known before. Other uses are
	// sent only if there is room.
	fresh bool
	// number is greater than that of each use that was queued before.
	number uint64
}

// sessionState is what is known of a session.
type sessionState struct {
	// old and moved are the latest uses of the old version and of target.
	old, moved time.Time
	target     string
	// withdrawn is the latest withdrawal of a move.
	withdrawn time.Time
	// queued is the latest use that was queued, and queuedMove whether it was one of
	// target.
	queued     time.Time
	queuedMove bool
	// distributed is the latest use that was sent to all instances, and distributedMove
	// whether it was one of target.
	distributed     time.Time
	distributedMove bool
	// requests is the number of requests of this instance in progress.
	requests int
}

// sessionTracker records when sessions last used which version.
type sessionTracker struct {
	states map[ActiveSession]*sessionState
	// own and relayed hold the latest uses at this instance and at its peers, in the
	// order in which they were queued.
	own, relayed []queuedUse
	// lastNumber is the number of the latest queued use.
	lastNumber uint64
	// relays is true if the latest datagram of this instance was that of a leader.
	relays bool
	// sweptAt is when expired entries were last removed, and refreshedAt when the
	// requests in progress were last recorded.
	sweptAt, refreshedAt time.Time
	// hasUrgent is true if the peers should learn at once of a use, and announcedAt when
	// they were last sent a use at once.
	hasUrgent   bool
	announcedAt time.Time
	// previousBuildSeenAt is when a peer last sent no SessionReport.
	previousBuildSeenAt time.Time
}

func newSessionTracker() sessionTracker {
	return sessionTracker{states: map[ActiveSession]*sessionState{}}
}

func (s *sessionTracker) state(session ActiveSession) *sessionState {
	state := s.states[session]
	if state == nil {
		state = &sessionState{}
		s.states[session] = state
	}
	return state
}

// record notes a use. An older use does not replace a newer one.
func (s *sessionTracker) record(use *sessionUse) *sessionState {
	state := s.state(use.session)
	if use.withdraws {
		state.withdrawn = latest(state.withdrawn, use.at)
	}
	switch {
	case use.target == "":
		state.old = latest(state.old, use.at)
	case use.at.After(state.moved):
		state.moved, state.target = use.at, use.target
	}
	if !state.moved.IsZero() && state.moved.Before(state.withdrawn.Add(withdrawalMargin)) {
		state.moved, state.target = time.Time{}, ""
	}
	return state
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isRecent reports whether a use adds too little to those that are queued or were sent to all
// instances to be sent.
func (s *sessionState) isRecent(use *sessionUse) bool {
	moved := use.target != ""
	return (moved == s.queuedMove && use.at.Sub(s.queued) < reportResolution) ||
		(moved == s.distributedMove && use.at.Sub(s.distributed) < refreshInterval)
}

func (s *sessionState) noteQueued(use *sessionUse) { s.queued, s.queuedMove = use.at, use.target != "" }

func (s *sessionState) noteDistributed(use *sessionUse) {
	if use.at.After(s.distributed) {
		s.distributed, s.distributedMove = use.at, use.target != ""
	}
}

// sweep removes expired entries, at most once per hold.
func (s *sessionTracker) sweep(now time.Time, hold time.Duration) {
	if now.Sub(s.sweptAt) < hold {
		return
	}
	s.sweptAt = now
	for session, state := range s.states {
		if state.requests == 0 && now.Sub(state.old) >= hold && now.Sub(state.moved) >= hold {
			delete(s.states, session)
		}
	}
}
