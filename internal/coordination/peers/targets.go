package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

// targets returns the peers that get a datagram in the given round. With news,
// an instance that leads tells it to all.
func (t *Table) targets(round int, broadcast bool) []target {
	leaders := t.leaders()
	leads := slices.Contains(leaders, t.opts.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if !t.large() {
		return t.targetsWhere(func(*peer) bool { return true })
	}
	var targets []target
	if leads && broadcast {
		targets = t.targetsWhere(func(p *peer) bool { return t.alive(p, now) })
	}
	// Leaders ask each other in every round, since all rely on them.
	if leads || broadcast || round%pollEvery == 0 || t.awaitsReply(leaders) {
		for _, name := range t.pollTargets(leaders, leads, now) {
			targets = append(targets, t.peers[name].request(now))
		}
	}
	return targets
}

// awaitsReply reports whether a question to one that leads is still open, or none was
// ever answered.
func (t *Table) awaitsReply(leaders []string) bool {
	for _, name := range leaders {
		if p := t.peers[name]; p != nil && (p.pending > 0 || p.receivedAt.IsZero()) {
			return true
		}
	}
	return false
}

func (t *Table) targetsWhere(chosen func(*peer) bool) []target {
	targets := make([]target, 0, len(t.peers))
	for _, p := range t.peers {
		if chosen(p) {
			targets = append(targets, target{address: p.instance.PeerAddress, echo: p.echo})
		}
	}
	return targets
}

// request returns a datagram that asks the peer for an answer.
func (p *peer) request(now time.Time) target {
	if p.pending == 0 || now.Sub(p.requestedAt) >= suspicionTime {
		p.requestedAt, p.pending = now, 0
	}
	p.pending++
	to := target{address: p.instance.PeerAddress, echo: p.echo, wantsReply: true}
	if p.roster != nil {
		to.have = p.roster.version
	}
	return to
}

const (
	// discoveryRequests is the number of instances of which nothing is heard that are
	// asked in a round by rank, so that all instances which start together find
	// the same ones, and as many at random, so that some are found where most of
	// the fleet is gone.
	discoveryRequests = 2
	// isolatedAfter is the silence of all that lead after which an instance looks
	// for others: a lost question and its repetition.
	isolatedAfter = 3 * interval
)

// pollTargets returns the names of the peers to ask: those that lead. An instance that
// leads, or has no answer of others that do, also asks some of which nothing is
// heard, so that parts of a fleet that were cut off from each other meet again.
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
