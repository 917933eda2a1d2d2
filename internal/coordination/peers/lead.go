package peers

import (
	"cmp"
	"slices"
	"time"
)

// LeaderPosition returns the index of this instance in the order of the candidates
// for leadership, or their number if it is not a candidate. Instances with an index
// below Leaders lead.
func (t *Table) LeaderPosition() int {
	order := *t.order.Load()
	if position := slices.Index(order, t.opts.Name); position >= 0 {
		return position
	}
	return len(order)
}

// Leads reports whether this instance is one of the current leaders.
func (t *Table) Leads() bool { return slices.Contains(t.leaders(), t.opts.Name) }

// leaders returns the names of the current leaders.
func (t *Table) leaders() []string { return leadersOf(*t.order.Load()) }

func leadersOf(names []string) []string { return names[:min(len(names), Leaders)] }

// OtherCandidates returns the number of candidates for leadership besides this
// instance.
func (t *Table) OtherCandidates() int {
	order := *t.order.Load()
	if slices.Contains(order, t.opts.Name) {
		return len(order) - 1
	}
	return len(order)
}

// KnownRank returns the index of this instance in the order by rank of all instances ever
// discovered.
func (t *Table) KnownRank() int {
	known := []Instance{t.opts.Self()}
	t.mu.Lock()
	for _, p := range t.peers {
		known = append(known, p.instance)
	}
	t.mu.Unlock()
	sortByRank(known)
	return slices.IndexFunc(known, func(i Instance) bool { return i.Name == t.opts.Name })
}

// LeadsByRank reports whether this instance would lead if all running instances
// were ready and reached the store.
func (t *Table) LeadsByRank() bool {
	return slices.Contains(leadersOf(*t.byRank.Load()), t.opts.Name)
}

// LeaderSilence returns the time since the latest datagram of any leader, at most
// rosterLifetime; 0 if this instance is a leader.
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

// updateOrder sorts the candidates for leadership: the running instances that are
// ready and have not lost the store. If there are none, as at the start of a fleet,
// those that are not leaving and have not lost the store are candidates; then those that
// the store has not failed to answer since it last answered another one; if there are none
// either, all running instances are. It returns the running instances, sorted by rank.
func (t *Table) updateOrder() []Instance {
	running := t.Running()
	sortByRank(running)
	byRank := namesOf(running, func(*Instance) bool { return true })
	order := byRank
	for _, isCandidate := range []func(i *Instance) bool{
		func(i *Instance) bool { return i.Ready && !i.StoreLost },
		func(i *Instance) bool { return !i.Leaving && !i.StoreLost },
		func(i *Instance) bool { return !i.Leaving && i.StoreReached },
	} {
		if candidates := namesOf(running, isCandidate); len(candidates) > 0 {
			order = candidates
			break
		}
	}
	t.order.Store(&order)
	t.updateBusy(running)
	t.byRank.Store(&byRank)
	t.updateCoordinators(running)
	return running
}

func namesOf(instances []Instance, match func(*Instance) bool) []string {
	names := make([]string, 0, len(instances))
	for i := range instances {
		if match(&instances[i]) {
			names = append(names, instances[i].Name)
		}
	}
	return names
}

// sortByRank sorts instances by the order in which they become leaders: the first of
// every failure domain before the second of any, so that a leader remains when a
// failure domain is lost. Within these groups higher weights come first.
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

// updateBusy counts the busy instances among the running ones, which are sorted by
// rank, and selects the receivers of load announcements.
func (t *Table) updateBusy(running []Instance) {
	busy, others := []target{}, 0
	for i := range running {
		if !running[i].Busy || running[i].Name == t.opts.Name {
			continue
		}
		others++
		if len(busy) < smallFleet {
			busy = append(busy, target{address: running[i].PeerAddress})
		}
	}
	t.busy.Store(&busy)
	t.otherSenders.Store(int64(others))
}
