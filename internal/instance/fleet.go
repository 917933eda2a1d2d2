package instance

import (
	"medlarslip/internal/coordination/membership"
	"medlarslip/internal/protocol/platform"
)

// addFleet adds the parts that know the other instances and the backend
// servers.
func (a *assembly) addFleet() {
	s := a.settings
	self := platform.Instance{
		ID:             s.Instance,
		Address:        s.Listen.Callers,
		ControlAddress: s.Listen.Peers,
		Role:           platform.RoleEntry,
		FailureDomain:  s.FailureDomain,
		State:          platform.InstanceLive,
		Incarnation:    a.incarnation,
	}
	a.members = membership.New(self, a.platform, a.table, s.Drain.EntriesTTL())
	a.followers = append(a.followers, a.members.Run)
}
