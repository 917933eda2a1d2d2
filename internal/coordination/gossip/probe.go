package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
)

// Run exchanges with neighbours until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval / fanout)
	defer ticker.Stop()
	defer n.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.tick(ctx)
		case <-n.urgent:
			n.flush(ctx)
			pause.For(ctx, urgentInterval)
		}
	}
}

// tick exchanges with the next neighbour and judges members whose time is up.
func (n *Node) tick(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	n.expireMembersLocked(now)
	neighbours := n.neighboursLocked()
	n.rotation++
	rotation := n.rotation
	retry := n.deadToRetryLocked(now)
	n.mu.Unlock()
	if len(neighbours) > 0 {
		n.startExchange(ctx, neighbours[rotation%len(neighbours)], true)
	}
	if retry != nil {
		n.startExchange(ctx, *retry, false)
	}
}

// flush exchanges with all neighbours at once.
func (n *Node) flush(ctx context.Context) {
	n.mu.Lock()
	neighbours := n.neighboursLocked()
	n.mu.Unlock()
	for _, neighbour := range neighbours {
		n.startExchange(ctx, neighbour, false)
	}
}

// startExchange carries out an exchange in the background, one at a time with each
// member. A probe that fails leads to suspicion.
func (n *Node) startExchange(ctx context.Context, member Member, probe bool) {
	n.mu.Lock()
	peer := n.peerLocked(member.ID)
	if peer.busy {
		n.mu.Unlock()
		return
	}
	peer.busy = true
	n.mu.Unlock()
	n.calls.Go(func() {
		err := n.exchange(ctx, member)
		if err != nil && probe && ctx.Err() == nil && !n.indirectProbe(ctx, member) {
			n.suspect(member)
		}
		n.mu.Lock()
		n.peerLocked(member.ID).busy = false
		n.mu.Unlock()
	})
}

// indirectProbe asks other members whether they reach one that does not
// answer here.
func (n *Node) indirectProbe(ctx context.Context, member Member) bool {
	n.mu.Lock()
	if n.probing {
		n.mu.Unlock()
		return true // doubted again at its next failure
	}
	n.probing = true
	defer n.endIndirectProbe()
	helpers := n.helpersLocked(member.ID)
	request := message{From: n.self.ID, Run: n.config.Run, Probe: member.ControlAddress}
	n.mu.Unlock()
	raw, err := encode(&request)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		n.calls.Go(func() {
			answer, err := n.config.Transport.Exchange(ctx, helper.ControlAddress, raw)
			answers <- err == nil && n.readProbeReply(answer, member.ID)
		})
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

func (n *Node) endIndirectProbe() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probing = false
}

// readProbeReply reads the answer of a helper; the helper itself was reached.
func (n *Node) readProbeReply(answer []byte, member string) bool {
	n.mu.Lock()
	n.contact = time.Now()
	n.mu.Unlock()
	reply, err := decode(answer)
	return err == nil && reply.Probe == member
}

// probeOnBehalf probes an address for another member; Probe of the answer is the
// ID of whoever answered there.
func (n *Node) probeOnBehalf(ctx context.Context, address string) ([]byte, error) {
	n.mu.Lock()
	var target *Member
	for _, member := range n.members {
		if member.ControlAddress == address {
			target = &member.Member
			break
		}
	}
	answer := message{From: n.self.ID, Run: n.config.Run}
	n.mu.Unlock()
	if target != nil && n.exchange(ctx, *target) == nil {
		answer.Probe = target.ID
	}
	return encode(&answer)
}

// helpersLocked draws live members besides one.
func (n *Node) helpersLocked(besides string) []Member {
	var helpers []Member
	for _, id := range sortedIDs(n.members) {
		member := n.members[id]
		if id != besides && member.State == StateAlive {
			helpers = append(helpers, member.Member)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(len(helpers), probeHelpers)]
}

// suspect says that a member does not answer, unless this instance has had no
// contact with anybody and so may itself be what is cut off.
func (n *Node) suspect(member Member) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectIsolationLocked(now)
	known := n.members[member.ID]
	if n.isolated || known == nil || known.State != StateAlive || known.Incarnation != member.Incarnation {
		return
	}
	suspicionCount.Add(1)
	n.setStateLocked(known, StateSuspect, now)
}

func (n *Node) detectIsolationLocked(now time.Time) {
	if n.isolated || len(n.members) == 0 || now.Sub(n.contact) < isolationTimeout {
		return
	}
	n.isolated = true
	isolatedCount.Add(1)
	logrus.Warn("no entry instance can be reached; the last view of the fleet stays in use")
}

func (n *Node) setStateLocked(known *memberState, state State, now time.Time) {
	known.State = state
	known.since = now
	n.publishMemberLocked(&known.Member, now)
}

// expireMembersLocked declares suspects dead that did not refute in time, and forgets
// the dead in the end.
func (n *Node) expireMembersLocked(now time.Time) {
	n.detectIsolationLocked(now)
	for id, member := range n.members {
		waited := now.Sub(member.since)
		switch {
		case n.isolated && member.State == StateSuspect:
			member.since = now
		case member.State == StateSuspect && waited >= suspicionTimeout:
			logrus.WithField("instance", id).Warn("entry instance counts as dead")
			n.setStateLocked(member, StateDead, now)
		case member.State >= StateDead && waited >= deadRetention:
			delete(n.members, id)
			delete(n.peers, id)
			n.entries.remove(KindMember, id)
		}
	}
}

// deadToRetryLocked returns a dead member to try again, or nil.
func (n *Node) deadToRetryLocked(now time.Time) *Member {
	if now.Sub(n.deadRetriedAt) < deadRetryInterval {
		return nil
	}
	n.deadRetriedAt = now
	var dead []Member
	for _, id := range sortedIDs(n.members) {
		if n.members[id].State == StateDead {
			dead = append(dead, n.members[id].Member)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return &dead[rand.IntN(len(dead))]
}
