package fleetlimit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

const (
	// permitLifetime is the time, since it was requested, within which a permit
	// must be used. It bounds the wait for the coordinator, too: several round
	// trips between failure domains.
	permitLifetime = 100 * time.Millisecond
	// minWait is the minimum time for which a server is not used after a permit was
	// refused.
	minWait = 10 * time.Millisecond
	// unansweredPause is how long a coordinator that has not replied is not asked
	// again.
	unansweredPause = 300 * time.Millisecond
)

// Message is a request for a permit, or its reply.
type Message struct {
	// ID is chosen by the sender of the request, and repeated in the reply.
	ID    uint64 `cbor:"1,keyasint"`
	Reply bool   `cbor:"2,keyasint,omitempty"`
	// Report is what the sender knows about the limit of the server.
	Report  Report `cbor:"3,keyasint"`
	Granted bool   `cbor:"4,keyasint,omitempty"`
	// Wait is the time after which to ask again if no permit was granted.
	Wait time.Duration `cbor:"5,keyasint,omitempty"`
}

// Permit allows one request to a server. The zero value allows it at any time.
type Permit struct {
	// expires is the time until which the permit may be used; 0 means no limit.
	expires boottime.Instant
}

// Unlimited reports whether the server stated no limit.
func (p Permit) Unlimited() bool { return p.expires == 0 }

// Expired reports whether the permit must no longer be used.
func (p Permit) Expired(now boottime.Instant) bool { return !p.Unlimited() && now > p.expires }

// Wait returns how long no permit may be requested for a server; 0 if one may be
// requested now.
func (l *Limiter) Wait(id string) time.Duration {
	s := l.server(id)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.said.limit.Stated {
		return 0
	}
	return max(s.pausedUntil.Since(l.opts.Now()), 0)
}

// Acquire returns a permit for one request to a server, or false if the request
// must not be sent. For a server that states a limit it waits for the coordinator.
func (l *Limiter) Acquire(ctx context.Context, id string) (Permit, bool) {
	s := l.server(id)
	if s == nil || !s.limit().Stated {
		return Permit{}, true
	}
	if l.Wait(id) > 0 {
		return Permit{}, false
	}
	askedAt := l.opts.Now()
	coordinator := l.opts.Coordinator(id)
	granted, wait, reason := l.request(ctx, s, coordinator, askedAt)
	if now := l.opts.Now(); granted && now.Since(askedAt) > permitLifetime {
		// This process was suspended in the meantime.
		granted, wait, reason = false, unansweredPause, "expired"
	}
	if granted {
		l.granted.Add(1)
		return Permit{expires: askedAt + boottime.Instant(permitLifetime)}, true
	}
	l.refused.Add(1)
	wait = min(max(wait, minWait), maxWait)
	s.pause(l.opts.Now() + boottime.Instant(wait))
	l.opts.Log.WithFields(logrus.Fields{
		"event": "permit_refused", "server": id, "coordinator": coordinator, "reason": reason, "wait_ms": wait.Milliseconds(),
	}).Info("server with a rate limit is not used")
	return Permit{}, false
}

// pause keeps the server from being used until an instant.
func (s *server) pause(until boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = max(s.pausedUntil, until)
}

// request asks the coordinator for a permit. It returns whether it was granted, or
// after which time to ask again and why.
func (l *Limiter) request(ctx context.Context, s *server, coordinator string, askedAt boottime.Instant) (granted bool, wait time.Duration, reason string) {
	if coordinator == l.opts.Name {
		granted, wait = l.grant(s)
		return granted, wait, "rate"
	}
	if silentUntil, ok := l.silent.Load(coordinator); ok {
		if wait = silentUntil.(boottime.Instant).Since(askedAt); wait > 0 {
			return false, wait, "coordinator_silent"
		}
		l.silent.Delete(coordinator)
	}
	id := rand.Uint64()
	replies := make(chan *Message, 1)
	l.pending.Store(id, replies)
	defer l.pending.Delete(id)
	l.opts.Send(coordinator, &Message{ID: id, Report: s.report(askedAt)})
	timeout := time.NewTimer(permitLifetime)
	defer timeout.Stop()
	select {
	case reply := <-replies:
		l.Merge([]Report{reply.Report}, askedAt)
		return reply.Granted, reply.Wait, "rate"
	case <-timeout.C:
		l.silent.Store(coordinator, l.opts.Now()+boottime.Instant(unansweredPause))
		return false, unansweredPause, "no_reply"
	case <-ctx.Done():
		return false, 0, "request_ended"
	}
}

// Handle processes a message of another instance and returns the reply to send; nil
// for none.
func (l *Limiter) Handle(m *Message) *Message {
	if m.Reply {
		// A reply that comes late has no entry, and its permit is not used.
		if replies, ok := l.pending.LoadAndDelete(m.ID); ok {
			replies.(chan *Message) <- m
		}
		return nil
	}
	if !m.Report.valid() {
		return nil
	}
	id := m.Report.Server
	l.Merge([]Report{m.Report}, 0)
	reply := &Message{ID: m.ID, Reply: true}
	s := l.server(id)
	if s == nil {
		// Neither instance knows a limit.
		reply.Granted, reply.Report = true, m.Report
		return reply
	}
	if l.opts.Coordinator(id) == l.opts.Name {
		reply.Granted, reply.Wait = l.grant(s)
	} else {
		// The instances do not agree yet, and another one may grant permits.
		reply.Wait = inactiveWait
	}
	reply.Report = s.report(l.opts.Now())
	return reply
}
