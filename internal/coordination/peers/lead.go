package peers

import (
	"cmp"
	"slices"
	"time"
)

// LeaderPosition returns the place of this instance in the order in which instances
// lead; the place after the last if it is not among them.
func (t *Table) LeaderPosition() int {
	order := *t.order.Load()
	if place := slices.Index(order, t.opts.Name); place >= 0 {
		return place
	}
	return len(order)
}

// leaders returns the names of the instances on which the others rely.
func (t *Table) leaders() []string { return leadersOf(*t.order.Load()) }

func leadersOf(names []string) []string { return names[:min(len(names), Leaders)] }

// OtherCandidates returns the number of other instances in the order in which instances
// lead.
func (t *Table) OtherCandidates() int {
	order := *t.order.Load()
	if slices.Contains(order, t.opts.Name) {
		return len(order) - 1
	}
	return len(order)
}

// TopRanked reports whether this instance is among the first, by rank, of all that
// were ever heard of: as many as a small fleet has.
func (t *Table) TopRanked() bool {
	known := []Instance{t.opts.Self()}
	t.mu.Lock()
	for _, p := range t.peers {
		known = append(known, p.instance)
	}
	t.mu.Unlock()
	sortByRank(known)
	return slices.ContainsFunc(known[:min(len(known), smallFleet)], func(i Instance) bool { return i.Name == t.opts.Name })
}

// LeadsByRank reports whether this instance would lead if all reached the store.
func (t *Table) LeadsByRank() bool {
	return slices.Contains(leadersOf(*t.byRank.Load()), t.opts.Name)
}

// LeaderSilence returns the time since one of the instances that lead was last
// heard; 0 for an instance that leads itself.
func (t *Table) LeaderSilence() time.Duration {
	leaders := t.leaders()
	if slices.Contains(leaders, t.opts.Name) {
		return 0
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	silence := rosterLifetime
	for _, name := range leaders {
		if p := t.peers[name]; p != nil && !p.receivedAt.IsZero() {
			silence = min(silence, now.Sub(p.receivedAt))
		}
	}
	return silence
}

// updateOrder orders the instances that run, are ready, and reach the store as
// far as they know. Where none is ready, as at the start of a fleet, any that
// reaches the store may lead; where none reaches it, those that would.
func (t *Table) updateOrder() {
	running := t.Running()
	sortByRank(running)
	byRank := namesOf(running, func(*Instance) bool { return true })
	order := namesOf(running, func(i *Instance) bool { return i.Ready && !i.StoreLost })
	if len(order) == 0 {
		order = namesOf(running, func(i *Instance) bool { return !i.Leaving && !i.StoreLost })
	}
	if len(order) == 0 {
		order = byRank
	}
	t.order.Store(&order)
	t.updateBusy(running)
	t.byRank.Store(&byRank)
}

func namesOf(instances []Instance, chosen func(*Instance) bool) []string {
	names := make([]string, 0, len(instances))
	for i := range instances {
		if chosen(&instances[i]) {
			names = append(names, instances[i].Name)
		}
	}
	return names
}

// sortByRank sorts instances by the order in which they lead: the first of every
// failure domain before the second of any, so that the loss of a domain leaves
// one that leads, and among these the weightiest first.
func sortByRank(instances []Instance) {
	slices.SortFunc(instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	inDomain, rank := map[string]int{}, make(map[string]int, len(instances))
	for i := range instances {
		domain := instances[i].FailureDomain
		rank[instances[i].Name] = inDomain[domain]
		inDomain[domain]++
	}
	slices.SortStableFunc(instances, func(a, b Instance) int { return cmp.Compare(rank[a.Name], rank[b.Name]) })
}

// updateBusy takes over which of the running instances, in the order of their
// rank, are told of load.
func (t *Table) updateBusy(running []Instance) {
	busy := []target{}
	for i := range running {
		if running[i].Busy && running[i].Name != t.opts.Name && len(busy) < smallFleet {
			busy = append(busy, target{address: running[i].PeerAddress})
		}
	}
	t.busy.Store(&busy)
}
