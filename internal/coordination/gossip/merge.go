package gossip

import (
	"time"
)

// publishMemberLocked puts what is known of a member into the spread entries.
func (n *Node) publishMemberLocked(member *Member, now time.Time) {
	entry, err := member.entry()
	if err != nil {
		return // strings always encode
	}
	n.entries.merge(entry, "", now)
}

// mergeLocked takes over an entry that came from a member.
func (n *Node) mergeLocked(e Entry, from string, now time.Time) {
	if e.Kind == KindMember {
		n.mergeMemberLocked(&e, from, now)
		return
	}
	if n.entries.merge(e, from, now) {
		st := n.entries.get(e.Kind, e.Key)
		n.changed = append(n.changed, changedEntry{entry: e, observed: st.observed})
		if e.Kind == KindWarmth || e.Kind == KindServer {
			n.wake()
		}
	}
}

func (n *Node) mergeMemberLocked(e *Entry, from string, now time.Time) {
	member, err := memberOf(e)
	if err != nil {
		return
	}
	if member.ID == n.self.ID {
		n.refuteLocked(&member, now)
		return
	}
	known := n.members[member.ID]
	if known == nil && (member.State == StateDead || len(n.members) >= maxMembers) {
		return
	}
	if !n.entries.merge(*e, from, now) {
		return
	}
	if known == nil || known.State != member.State || known.Incarnation != member.Incarnation {
		n.members[member.ID] = &memberState{Member: member, since: now}
	}
	if member.State == StateLeft {
		n.wake()
	}
}

// refuteLocked answers what others say of this instance by a higher
// incarnation.
func (n *Node) refuteLocked(claim *Member, now time.Time) {
	if claim.version() < n.self.version() || claim.version() == n.self.version() && claim.ControlAddress == n.self.ControlAddress {
		return
	}
	n.self.Incarnation = claim.Incarnation + 1
	n.publishMemberLocked(&n.self, now)
	n.wake()
}

// notifyChanges reports changed entries to the owner of the node.
func (n *Node) notifyChanges() {
	n.mu.Lock()
	changed := n.changed
	n.changed = nil
	n.mu.Unlock()
	if n.config.OnEntry == nil {
		return
	}
	for _, c := range changed {
		n.config.OnEntry(c.entry, c.observed)
	}
}
