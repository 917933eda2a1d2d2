package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/pause"
)

const (
	// endedCheckTime bounds a check whether a server has ended.
	endedCheckTime = 400 * time.Millisecond
	// endedRetryPause is the first pause between two attempts to reach other servers. It
	// doubles with each one.
	endedRetryPause = 50 * time.Millisecond
	// endedRefusals is the number of refusals, each right after another server accepted a
	// connection, that show that a server has ended.
	endedRefusals = 2
	// endedRefusalTime bounds the time from the attempt to connect to another server to the
	// refusal after it: many round trips between failure domains. A cut of the instance
	// may begin between them.
	endedRefusalTime = 100 * time.Millisecond
	// endedMemory is how long a server that has ended is remembered, so that other
	// requests that broke there need no check.
	endedMemory = 5 * time.Second
)

// endedChecks finds out whether the servers at which requests broke have ended, or only
// the connection has. There is one check at a time for each server.
type endedChecks struct {
	mu sync.Mutex
	// broken holds the attempts that broke at each server that is being checked.
	broken map[string][]brokenAttempt
	// ended holds when servers were found to have ended.
	ended map[string]serverEnd
}

// brokenAttempt is an attempt whose connection broke.
type brokenAttempt struct {
	req *request
	// failure is reported to the rollout of the service unless the server has ended; nil for
	// none.
	failure *staging.Observation
}

// serverEnd is the end of a server.
type serverEnd struct {
	at      boottime.Instant
	foundAt time.Time
}

func newEndedChecks() *endedChecks {
	return &endedChecks{broken: map[string][]brokenAttempt{}, ended: map[string]serverEnd{}}
}

// add adds an attempt that broke at a server; nil if only a connection was refused there. It
// reports whether the server must be checked, and its end if that is already known.
func (c *endedChecks) add(server string, attempt *brokenAttempt, now time.Time) (check bool, ended *serverEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end, known := c.ended[server]; known && now.Sub(end.foundAt) < endedMemory {
		return false, &end
	}
	broken, checking := c.broken[server]
	if attempt != nil {
		broken = append(broken, *attempt)
	}
	c.broken[server] = broken
	return !checking, nil
}

// finish ends the check of a server and returns the attempts that broke there. ended is nil
// if it has not ended.
func (c *endedChecks) finish(server string, ended *serverEnd, now time.Time) []brokenAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, end := range c.ended {
		if now.Sub(end.foundAt) >= endedMemory {
			delete(c.ended, known)
		}
	}
	if ended != nil {
		c.ended[server] = *ended
	}
	broken := c.broken[server]
	delete(c.broken, server)
	return broken
}

// observeBreak reports an attempt whose connection broke: to the quarantine if its server has
// ended, otherwise as a failure of its version. An attempt that was ended here, since it took
// too long or its client has left, is no break.
func (g *Gateway) observeBreak(a *attempt) {
	if a.timedOut.Load() || a.ctx.Err() != nil {
		g.observeDrop(a)
		a.reportOverdue()
		return
	}
	var failure *staging.Observation
	if g.Staging.OnTrial(a.req.service) {
		failure = a.failure()
	}
	g.checkBreak(a, failure)
}

// checkBreak checks whether the server of an attempt has ended, if that says something about
// the request or its version.
func (g *Gateway) checkBreak(a *attempt, failure *staging.Observation) {
	if failure == nil && !g.Quarantine.NeedsEvidence(a.req.keys) {
		return
	}
	if ended := g.checkEndOf(a, &brokenAttempt{req: a.req, failure: failure}); ended != nil {
		g.Quarantine.Ended(a.choice.snapshot.Server.Incarnation, a.req.keys, ended.at)
	}
}

// checkEndOf starts a check whether the server of an attempt has ended, unless there is one.
// broken is nil if only a connection was refused. It returns the end of the server if that
// is already known.
func (g *Gateway) checkEndOf(a *attempt, broken *brokenAttempt) *serverEnd {
	server := a.choice.snapshot.Server
	check, ended := g.endedChecks.add(server.Incarnation, broken, time.Now())
	if check {
		go g.checkEnded(server.Incarnation, server.Address, g.Clock())
	}
	return ended
}

// observeRefusal reports the server of an attempt if it refused the connection.
func (g *Gateway) observeRefusal(a *attempt, err error) {
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.Refused {
		g.checkEndOf(a, nil)
	}
}

// checkEnded checks whether a server has ended and reports the attempts that broke there.
func (g *Gateway) checkEnded(server, address string, at boottime.Instant) {
	found := time.Now()
	ended, known := g.hasEnded(server, address)
	var end *serverEnd
	if ended {
		end = &serverEnd{at: at, foundAt: found}
	}
	broken := g.endedChecks.finish(server, end, time.Now())
	if known {
		g.reportBroken(server, broken, ended)
	}
	if !ended {
		return
	}
	g.Quarantine.ServerEnded(server, at)
	g.Log.WithFields(logrus.Fields{"event": "server_ended", "server": server, "requests": len(broken)}).Info("server has ended")
	for _, attempt := range broken {
		g.Quarantine.Ended(server, attempt.req.keys, at)
	}
}

// reportBroken reports the failures of attempts that broke at a server to the rollout of its
// service, unless this instance is cut off. The end of a server is one event, in however
// many attempts it shows, and counts as one failure in the fleet: that of the instance that
// ranks first for the server.
func (g *Gateway) reportBroken(server string, broken []brokenAttempt, ended bool) {
	failures := make([]*staging.Observation, 0, len(broken))
	for _, attempt := range broken {
		if attempt.failure != nil {
			failures = append(failures, attempt.failure)
		}
	}
	switch {
	case len(failures) == 0:
		return
	case ended && g.Rank(server) != 0:
		return
	case ended:
		failures = failures[:1]
	case !g.reachesOther():
		return
	}
	for _, failure := range failures {
		g.Staging.Observe(*failure)
	}
}

// hasEnded reports whether a server has ended, as this instance or a peer finds; known is
// false if it refuses connections and this instance reaches no other server. An instance that
// is cut off is refused by servers that are up, so a refusal counts only right after another
// server has accepted a connection, and a cut may begin between the two, so a single one does
// not suffice. Where requests end all servers, those that replace them may accept connections
// for no longer than one or two round trips, so it waits for any accepted connection. What a
// peer finds counts only if the server refuses this instance too, since the peer may be wrong.
func (g *Gateway) hasEnded(server, address string) (ended, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), endedMemory)
	defer cancel()
	foundByPeer := func() bool { return g.Quarantine.HasEnded(server) }
	var accepted time.Time
	refusals := 0
	for wait := endedRetryPause; ; wait *= 2 {
		if !g.refuses(address) {
			return false, true
		}
		refusedAt := time.Now()
		slow := !accepted.IsZero() && refusedAt.Sub(accepted) >= endedRefusalTime
		if !accepted.IsZero() && !slow {
			refusals++
		}
		if refusals == endedRefusals || foundByPeer() {
			return true, true
		}
		from := refusedAt
		if slow {
			// More attempts at once would slow down those of other checks.
			pause.For(ctx, wait)
			from = time.Now()
		}
		go g.Reachability.AcceptsOther(ctx, address)
		accepted = g.Reachability.AwaitAccept(ctx, address, from, from.Add(wait), foundByPeer)
		switch {
		case foundByPeer():
			return true, true
		case ctx.Err() != nil:
			return false, false
		}
	}
}

// refuses reports whether a server refuses a new connection.
func (g *Gateway) refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTime)
	defer cancel()
	return g.Upstream.Refuses(ctx, address)
}

// reachesOther waits until a server has been reached, and reports whether one was.
func (g *Gateway) reachesOther() bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedMemory)
	defer cancel()
	return g.Reachability.Await(ctx)
}
