package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

// targets returns the peers that are sent a datagram in the given round: all known
// ones in a small fleet. In a larger one, a leader sends to all live peers with
// broadcast.
func (t *Table) targets(round int, broadcast bool) []target {
	leaders := t.leaders()
	leads := slices.Contains(leaders, t.opts.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if !t.Large() {
		return t.targetsWhere(func(*peer) bool { return true })
	}
	var targets []target
	if leads && broadcast {
		targets = t.targetsWhere(func(p *peer) bool { return t.alive(p, now) })
	}
	// Leaders poll each other in every round, since all others depend on them.
	if leads || broadcast || round%pollEvery == 0 || t.awaitsReply(leaders) {
		for _, name := range t.pollTargets(leaders, leads, now) {
			targets = append(targets, t.peers[name].request(now))
		}
	}
	return targets
}

// urgentTargets returns the peers that are sent the urgent payload: all in a small fleet, in a
// larger one all live peers of a leader, and the leaders of the others.
func (t *Table) urgentTargets() []target {
	leaders := t.leaders()
	all := !t.Large() || slices.Contains(leaders, t.opts.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	return t.targetsWhere(func(p *peer) bool {
		return (all && (!t.Large() || t.alive(p, now))) || slices.Contains(leaders, p.instance.Name)
	})
}

// awaitsReply reports whether a request to a leader is unanswered, or a leader has
// never sent a datagram.
func (t *Table) awaitsReply(leaders []string) bool {
	for _, name := range leaders {
		if p := t.peers[name]; p != nil && (p.pending > 0 || p.receivedAt.IsZero()) {
			return true
		}
	}
	return false
}

// targetsWhere returns the peers that match a predicate as targets of datagrams
// that request no reply.
func (t *Table) targetsWhere(match func(*peer) bool) []target {
	targets := make([]target, 0, len(t.peers))
	for _, p := range t.peers {
		if match(p) {
			targets = append(targets, target{name: p.instance.Name, address: p.instance.PeerAddress, echo: p.echo})
		}
	}
	return targets
}

// request returns a target that requests a reply from the peer, and counts the
// request.
func (p *peer) request(now time.Time) target {
	if p.pending == 0 || now.Sub(p.requestedAt) >= suspicionTime {
		p.requestedAt, p.pending = now, 0
	}
	p.pending++
	to := target{name: p.instance.Name, address: p.instance.PeerAddress, echo: p.echo, wantsReply: true}
	if p.roster != nil {
		to.have = p.roster.version
	}
	return to
}

const (
	// discoveryRequests is the number of silent instances that are polled in a
	// round by rank, so that all instances which start together find the same ones,
	// and the number that are polled at random, so that some are found if most of
	// the fleet has failed.
	discoveryRequests = 2
	// isolatedAfter is the time without a datagram from any leader after which an
	// instance searches for other instances: a lost request and its repetition.
	isolatedAfter = 3 * interval
)

// pollTargets returns the names of the peers to poll: the leaders. A leader, and an
// instance that receives no datagrams from any leader, also polls some silent
// peers, so that the parts of a partitioned fleet find each other again.
func (t *Table) pollTargets(leaders []string, leads bool, now time.Time) []string {
	var names []string
	isolated := true
	for _, name := range leaders {
		if p := t.peers[name]; p != nil {
			names = append(names, name)
			isolated = isolated && now.Sub(p.receivedAt) >= isolatedAfter
		}
	}
	if !leads && !isolated {
		return names
	}
	var silent, candidates []Instance
	for name, p := range t.peers {
		if t.alive(p, now) || slices.Contains(names, name) {
			continue
		}
		silent = append(silent, p.instance)
		if !p.unresponsive(now) {
			candidates = append(candidates, p.instance)
		}
	}
	sortByRank(candidates)
	for i := range candidates[:min(len(candidates), discoveryRequests)] {
		names = append(names, candidates[i].Name)
	}
	for range min(len(silent), discoveryRequests) {
		if name := silent[rand.IntN(len(silent))].Name; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
