package peers

import "github.com/cespare/xxhash/v2"

// Coordinator returns the name of the instance that coordinates the requests of all
// instances to a backend server. It uses rendezvous hashing over the running
// instances, so that instances with the same view return the same one.
func (t *Table) Coordinator(server string) string {
	first, highest := t.opts.Name, uint64(0)
	for _, name := range *t.coordinators.Load() {
		if hash := xxhash.Sum64String(server + "/" + name); hash >= highest {
			first, highest = name, hash
		}
	}
	return first
}

// updateCoordinators selects the candidates: the ready instances that are not
// leaving. An instance that is not ready may not have found the others yet. If none
// is ready, all running ones are candidates.
func (t *Table) updateCoordinators(running []Instance) {
	names := namesOf(running, func(i *Instance) bool { return i.Ready && !i.Leaving })
	if len(names) == 0 {
		names = namesOf(running, func(*Instance) bool { return true })
	}
	t.coordinators.Store(&names)
}

// RunningShare returns the share, 0 to 1, of the instances that may be running which
// are known to run, including this one. Those that were shut down gracefully don't
// count. It is below 1 in each part of a fleet that is partitioned.
func (t *Table) RunningShare() float64 {
	running := len(*t.byRank.Load())
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	left := 0
	for _, p := range t.peers {
		if p.instance.Leaving && !t.alive(p, now) {
			left++
		}
	}
	return min(float64(running)/float64(max(len(t.peers)+1-left, 1)), 1)
}
