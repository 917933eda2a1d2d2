package membership

import (
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/platform"
)

const entryWeight = 100

// Entries answers which entry instances callers may use: those that live by
// the list and by gossip and whose failure domain is in service.
func (m *Members) Entries() entries.Answer {
	answer := entries.Answer{Entries: []entries.Entry{}, TTLMillis: m.config.TTL.Milliseconds()}
	for _, member := range m.live() {
		if m.config.DomainOut != nil && m.config.DomainOut(member.FailureDomain) {
			continue
		}
		answer.Entries = append(answer.Entries, entries.Entry{
			Address: member.CallerAddress, Weight: entryWeight, FailureDomain: member.FailureDomain,
		})
	}
	return answer
}

// EntryIDs returns the IDs of the entry instances that live, this one
// included unless it leaves.
func (m *Members) EntryIDs() []string {
	live := m.live()
	ids := make([]string, len(live))
	for i, member := range live {
		ids[i] = member.ID
	}
	return ids
}

// EntryInstances returns the entry instances that live, this one included
// unless it leaves.
func (m *Members) EntryInstances() []platform.Instance {
	live := m.live()
	instances := make([]platform.Instance, len(live))
	for i, member := range live {
		instances[i] = platform.Instance{
			ID: member.ID, Address: member.CallerAddress, ControlAddress: member.ControlAddress, Role: platform.RoleEntry,
			FailureDomain: member.FailureDomain, State: platform.InstanceLive,
		}
	}
	return instances
}

// PeerAddresses returns the control addresses of the other entry instances.
func (m *Members) PeerAddresses() []string {
	addresses := []string{}
	for _, member := range m.live() {
		if member.ID != m.config.Self.ID {
			addresses = append(addresses, member.ControlAddress)
		}
	}
	return addresses
}

// ControlAddress returns where a live entry instance listens to its peers.
func (m *Members) ControlAddress(id string) (string, bool) {
	for _, member := range m.live() {
		if member.ID == id {
			return member.ControlAddress, true
		}
	}
	return "", false
}

// live returns the entry instances that live. Of itself this instance knows
// whether it stays. Of another, gossip tells it as soon as it dies or leaves;
// the list tells it that the platform takes the instance out.
func (m *Members) live() []gossip.Member {
	m.mu.Lock()
	leaving, listed := m.leaving, m.entries
	m.mu.Unlock()
	excluded := map[string]bool{m.config.Self.ID: leaving}
	for _, instance := range listed {
		if instance.ID != m.config.Self.ID && instance.State != platform.InstanceLive {
			excluded[instance.ID] = true
		}
	}
	var live []gossip.Member
	for _, member := range m.config.Gossip.Members() {
		if member.State < gossip.StateDead && !excluded[member.ID] {
			live = append(live, member)
		}
	}
	return live
}
