package gossip

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Receive answers one exchange that another member began. The error is of the
// kind ErrMalformed.
func (n *Node) Receive(ctx context.Context, raw []byte) ([]byte, error) {
	received, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if received.Probe != "" {
		return n.probeOnBehalf(ctx, received.Probe)
	}
	now := time.Now()
	n.mu.Lock()
	n.mergeMessageLocked(received, now)
	reply := n.messageLocked(received.From, now)
	n.mu.Unlock()
	n.notifyChanges()
	return encode(reply)
}

// mergeMessageLocked merges a message and notes how far the sender has come.
func (n *Node) mergeMessageLocked(m *message, now time.Time) {
	n.contact = now
	n.isolated = false
	peer := n.peerLocked(m.From)
	if peer.run != m.Run {
		*peer = peerState{run: m.Run, busy: peer.busy}
		n.entries.clearSource(m.From)
	}
	if m.AckRun == n.config.Run {
		peer.acked = max(peer.acked, min(m.Ack, n.entries.sequence))
	}
	for _, e := range m.Entries {
		n.mergeLocked(e, m.From, now)
	}
	peer.received = max(peer.received, m.Sequence)
	if known := n.members[m.From]; known != nil && known.State == StateDead {
		// The member speaks; it refutes once it hears what is said of it.
		n.resendDeadEntryLocked(known)
	}
}

// resendDeadEntryLocked makes the entry about a dead member the newest change, so
// that the reply carries it to the member itself.
func (n *Node) resendDeadEntryLocked(known *memberState) {
	if st := n.entries.get(KindMember, known.ID); st != nil {
		entry := st.entry
		n.entries.remove(KindMember, known.ID)
		n.entries.merge(entry, "", time.Now())
	}
}

func (n *Node) peerLocked(id string) *peerState {
	peer := n.peers[id]
	if peer == nil {
		peer = &peerState{}
		n.peers[id] = peer
	}
	return peer
}

// messageLocked returns what a member has not seen yet.
func (n *Node) messageLocked(to string, now time.Time) *message {
	peer := n.peerLocked(to)
	entries, sequence := n.entries.since(peer.acked, to, now)
	return &message{
		From: n.self.ID, Run: n.config.Run,
		Sequence: sequence,
		AckRun:   peer.run, Ack: peer.received,
		Entries: entries,
	}
}

// exchange carries out one exchange with a member.
func (n *Node) exchange(ctx context.Context, member Member) error {
	n.mu.Lock()
	request := n.messageLocked(member.ID, time.Now())
	n.mu.Unlock()
	raw, err := encode(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	exchangeCount.Add(1)
	answer, err := n.config.Transport.Exchange(ctx, member.ControlAddress, raw)
	if err != nil {
		exchangeFailed.Add(1)
		return err
	}
	reply, err := decode(answer)
	if err != nil {
		return err
	}
	if reply.From != member.ID {
		return merry.Prependf(ErrMalformed, "%s answered in place of %s", reply.From, member.ID)
	}
	n.mu.Lock()
	n.mergeMessageLocked(reply, time.Now())
	n.mu.Unlock()
	n.notifyChanges()
	return nil
}

// liveIDsLocked returns the members that take part, this one included.
func (n *Node) liveIDsLocked() []string {
	ids := []string{n.self.ID}
	for id, member := range n.members {
		if member.State < StateDead {
			ids = append(ids, id)
		}
	}
	return ids
}

func (n *Node) neighboursLocked() []Member {
	chosen := neighbours(n.self.ID, n.liveIDsLocked())
	members := make([]Member, len(chosen))
	for i, id := range chosen {
		members[i] = n.members[id].Member
	}
	return members
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func sortedIDs(members map[string]*memberState) []string {
	return slices.Sorted(maps.Keys(members))
}
