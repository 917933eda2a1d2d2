package membership

import (
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/platform"
)

const entryWeight = 100

// Entries returns the entry instances that callers may use: those that are live
// according to both the list and gossip, in failure domains that are in service.
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

// EntryIDs returns the IDs of the live entry instances, including this one unless
// it is leaving.
func (m *Members) EntryIDs() []string {
	live := m.live()
	ids := make([]string, len(live))
	for i, member := range live {
		ids[i] = member.ID
	}
	return ids
}

// EntryInstances returns the live entry instances, including this one unless it is
// leaving.
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

// PeerAddresses returns the control addresses of the other live entry instances.
func (m *Members) PeerAddresses() []string {
	addresses := []string{}
	for _, member := range m.live() {
		if member.ID != m.config.Self.ID {
			addresses = append(addresses, member.ControlAddress)
		}
	}
	return addresses
}

// ControlAddress returns the address at which a live entry instance listens for its
// peers; false if it is not live.
func (m *Members) ControlAddress(id string) (string, bool) {
	for _, member := range m.live() {
		if member.ID == id {
			return member.ControlAddress, true
		}
	}
	return "", false
}

// live returns the live entry instances. For this instance its own leaving state
// decides. Another instance is live unless gossip reports that it failed or left,
// or the list shows that the platform removes it.
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
