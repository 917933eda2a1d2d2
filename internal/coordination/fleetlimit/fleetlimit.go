// Package fleetlimit enforces the rate limits that backend servers state in their
// answers, and that hold for the requests of all instances together.
//
// The instances pass on to each other what servers have stated. For each server
// with a limit, one instance is the coordinator, which all instances compute alike
// from the list of running instances. It grants permits at the stated rate, from a
// token bucket. An instance requests a permit just before it sends a request to
// such a server, and uses it at once or not at all. An instance that gets no
// permit does not use the server. If the fleet is partitioned, the coordinator of
// each part grants the share of the rate that corresponds to the size of its part,
// so the parts together stay within the limit.
package fleetlimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

const (
	// statementLifetime is how long a limit is kept if the server does not state it
	// again, as when it is gone, and how long the end of a limit is reported.
	statementLifetime = 5 * time.Minute
	// maxReports is the maximum number of reports in one message. Half of the
	// places are for the latest changes, the others for all servers in turn.
	maxReports = 32
)

// Options configures a Limiter. Without Coordinator, Share, Send and Changed the
// instance is the only one.
type Options struct {
	// Name is the name of this instance.
	Name string
	// Now reads a clock that includes the time during which the machine was
	// suspended.
	Now func() boottime.Instant
	Log *logrus.Entry
	// Coordinator returns the name of the instance that grants permits for a
	// server, in the view of this instance.
	Coordinator func(server string) string
	// Share returns the share, 0 to 1, of the instances that may be running which
	// this instance is in contact with, itself included; 0 while it does not know
	// the fleet yet.
	Share func() float64
	// Send sends a message to another instance, which passes it to Handle. It does
	// not block, and the message may be lost.
	Send func(instance string, m *Message)
	// Changed is called after the limit of a server has changed, so that other
	// instances receive it soon.
	Changed func()
}

// Limiter holds the limits of all servers that stated one. It is safe for
// concurrent use.
type Limiter struct {
	opts    Options
	servers sync.Map // server ID to *server
	// known is the number of entries in servers. It avoids the look-up while
	// there is none.
	known atomic.Int64
	// next is the position, in the order of their IDs, of the server that Reports
	// returns next.
	next atomic.Int64
	// pending holds the requests for permits that await a reply.
	pending sync.Map // ID to chan *Message
	// silent holds the coordinators that did not reply, and until when they are not
	// asked.
	silent sync.Map // name to boottime.Instant
	// granted and refused count the results of Acquire for servers with a limit.
	granted, refused atomic.Int64
}

// server is the state of a server that states a limit, or did so.
type server struct {
	id        string
	mu        sync.Mutex
	said      statement
	changedAt boottime.Instant
	// bucket is nil unless this instance has been the coordinator.
	bucket *bucket
	// pausedUntil is the time until which no permit is requested.
	pausedUntil boottime.Instant
}

// New returns a Limiter that knows no limits.
func New(opts Options) *Limiter {
	if opts.Coordinator == nil {
		opts.Coordinator = func(string) string { return opts.Name }
		opts.Share = func() float64 { return 1 }
		opts.Send = func(string, *Message) {}
		opts.Changed = func() {}
	}
	return &Limiter{opts: opts}
}

// Now reads the clock of the limiter.
func (l *Limiter) Now() boottime.Instant { return l.opts.Now() }

// LimitedServers returns the number of servers that state a limit.
func (l *Limiter) LimitedServers() int {
	count := 0
	l.servers.Range(func(_, value any) bool {
		if value.(*server).limit().Stated {
			count++
		}
		return true
	})
	return count
}

func (l *Limiter) server(id string) *server {
	if l.known.Load() == 0 {
		return nil
	}
	found, ok := l.servers.Load(id)
	if !ok {
		return nil
	}
	return found.(*server)
}

// Permits returns the numbers of permits that this instance got and did not get.
func (l *Limiter) Permits() (granted, refused int64) { return l.granted.Load(), l.refused.Load() }

// Limited reports whether a server states a limit.
func (l *Limiter) Limited(id string) bool {
	s := l.server(id)
	return s != nil && s.limit().Stated
}

func (s *server) limit() Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.said.limit
}

// Observe records what an answer of a server states. sentAt is the time before its
// request was sent.
func (l *Limiter) Observe(id string, limit Limit, sentAt boottime.Instant) {
	if limit.Invalid {
		l.opts.Log.WithFields(logrus.Fields{"event": "rate_limit_ignored", "server": id}).
			Warn("rate limit of a server is not a number; its previous limit stays in force")
		return
	}
	l.record(id, statement{limit: limit, from: sentAt, to: l.opts.Now()}, "answer")
}

// Merge records the reports of another instance. The message was sent at sentAfter
// or later; 0 means unknown.
func (l *Limiter) Merge(reports []Report, sentAfter boottime.Instant) {
	now := l.opts.Now()
	for i := range reports {
		if reports[i].valid() {
			l.record(reports[i].Server, reports[i].statement(sentAfter, now), "peer")
		}
	}
}

// record stores a statement if it replaces the present one. Servers that never
// stated a limit are not stored.
func (l *Limiter) record(id string, said statement, source string) {
	s := l.server(id)
	if s == nil {
		if !said.limit.Stated {
			return
		}
		found, loaded := l.servers.LoadOrStore(id, &server{id: id})
		if !loaded {
			l.known.Add(1)
		}
		s = found.(*server)
	}
	if s.update(said, l.opts.Now()) {
		l.logChange(id, said.limit, source)
		l.opts.Changed()
	}
}

// update stores a statement if it replaces the present one, and reports whether
// the limit has changed.
func (s *server) update(said statement, now boottime.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !said.replaces(&s.said) {
		return false
	}
	old := s.said.limit
	s.said = said
	if old == said.limit {
		return false
	}
	s.changedAt, s.pausedUntil = now, 0
	return true
}

func (l *Limiter) logChange(id string, limit Limit, source string) {
	entry := l.opts.Log.WithFields(logrus.Fields{"event": "rate_limit_changed", "server": id, "source": source, "limited": limit.Stated})
	if limit.Stated {
		entry = entry.WithField("per_second", limit.PerSecond)
	}
	entry.Info("rate limit of a server has changed")
}

// Reports returns what the next message to other instances states, and forgets
// servers that have said nothing for long.
func (l *Limiter) Reports() []Report {
	if l.known.Load() == 0 {
		return nil
	}
	now := l.opts.Now()
	var all []*server
	l.servers.Range(func(_, value any) bool {
		s := value.(*server)
		if l.expire(s, now) {
			return true
		}
		all = append(all, s)
		return true
	})
	reports := make([]Report, 0, min(len(all), maxReports))
	for _, s := range l.selectReports(all) {
		reports = append(reports, s.report(now))
	}
	return reports
}

// expire removes a server whose statement has expired, and reports whether it did
// so.
func (l *Limiter) expire(s *server, now boottime.Instant) bool {
	if !s.expired(now) {
		return false
	}
	if l.servers.CompareAndDelete(s.id, s) {
		l.known.Add(-1)
	}
	return true
}

func (s *server) expired(now boottime.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.said.limit.Stated {
		return now.Since(s.said.to) >= statementLifetime
	}
	// The end of a limit is reported only until all instances have received it.
	return now.Since(s.changedAt) >= statementLifetime
}

// selectReports returns the servers to report, at most maxReports.
func (l *Limiter) selectReports(all []*server) []*server {
	if len(all) <= maxReports {
		return all
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(b.lastChange(), a.lastChange()) })
	selected, rest := all[:maxReports/2:maxReports/2], all[maxReports/2:]
	slices.SortFunc(rest, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	first := int(l.next.Add(maxReports/2) % int64(len(rest)))
	for i := range min(maxReports/2, len(rest)) {
		selected = append(selected, rest[(first+i)%len(rest)])
	}
	return selected
}

func (s *server) lastChange() boottime.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedAt
}

func (s *server) report(now boottime.Instant) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.said.report(s.id, now)
}
