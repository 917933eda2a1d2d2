package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxDeltaEntries is the maximum number of roster entries in one datagram; the
	// rest is sent with the next reply.
	maxDeltaEntries = 120
	// rosterLifetime is how long the roster of a silent peer remains valid: until
	// the other instances have found the next leaders.
	rosterLifetime = 2 * replyTimeout
)

// version identifies a state of the roster of one run of an instance.
type version struct {
	Run    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// rosterEntry is the state of one instance in a roster.
type rosterEntry struct {
	Instance Instance `cbor:"1,keyasint"`
	// Removed is true once the instance is no longer alive.
	Removed bool `cbor:"2,keyasint,omitempty"`
	// number is the version number of the roster in which the entry last changed.
	number uint64
}

// rosterDelta holds the changes of a roster since the version of its receiver.
type rosterDelta struct {
	// Version is the version of the receiver's copy after it applies the entries.
	Version version       `cbor:"1,keyasint"`
	Entries []rosterEntry `cbor:"2,keyasint,omitempty"`
	// Full is true if the receiver must discard its copy first.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// roster lists the instances whose datagrams this instance receives itself. Each
// change of an entry gets the next version number, so that a receiver is sent only
// the changes since its version.
type roster struct {
	mu      sync.Mutex
	number  uint64
	entries map[string]*rosterEntry
	// sorted holds the entries sorted by number.
	sorted []*rosterEntry
}

// update replaces the set of live instances.
func (r *roster) update(alive map[string]Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[string]*rosterEntry{}
	}
	before := r.number
	for name, instance := range alive {
		if known := r.entries[name]; known == nil || known.Removed || known.Instance != instance {
			r.set(rosterEntry{Instance: instance})
		}
	}
	for name, known := range r.entries {
		if _, ok := alive[name]; !ok && !known.Removed {
			r.set(rosterEntry{Instance: known.Instance, Removed: true})
		}
	}
	if r.number == before {
		return
	}
	r.sorted = r.sorted[:0]
	for _, entry := range r.entries {
		r.sorted = append(r.sorted, entry)
	}
	slices.SortFunc(r.sorted, func(a, b *rosterEntry) int { return cmp.Compare(a.number, b.number) })
}

func (r *roster) set(entry rosterEntry) {
	r.number++
	entry.number = r.number
	r.entries[entry.Instance.Name] = &entry
}

// since returns the changes for a receiver that has the given version; run is the
// run of this instance.
func (r *roster) since(run string, have version) *rosterDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	delta := &rosterDelta{Version: version{Run: run, Number: have.Number}}
	if have.Run != run {
		delta.Version.Number, delta.Full = 0, true
	}
	from, _ := slices.BinarySearchFunc(r.sorted, delta.Version.Number+1, func(e *rosterEntry, number uint64) int { return cmp.Compare(e.number, number) })
	for _, entry := range r.sorted[from:min(from+maxDeltaEntries, len(r.sorted))] {
		delta.Entries = append(delta.Entries, *entry)
		delta.Version.Number = entry.number
	}
	return delta
}

// receivedRoster is this instance's copy of the roster of a peer.
type receivedRoster struct {
	version version
	running map[string]*Instance
	// at is when the latest delta arrived.
	at time.Time
}

// applyDelta applies a delta to the copy of a peer's roster and returns the copy.
// Instances that are new to this one are added to the table.
func (t *Table) applyDelta(old *peer, delta *rosterDelta) *receivedRoster {
	r := &receivedRoster{running: map[string]*Instance{}}
	if old != nil && old.roster != nil && !delta.Full && old.roster.version.Run == delta.Version.Run {
		r = old.roster
	}
	if delta.Version.Number < r.version.Number {
		// Datagrams arrived out of order.
		return r
	}
	r.version, r.at = delta.Version, t.opts.Now()
	for i := range delta.Entries {
		entry := &delta.Entries[i]
		name := entry.Instance.Name
		if entry.Removed {
			delete(r.running, name)
			continue
		}
		r.running[name] = &entry.Instance
		if known := t.peers[name]; known != nil {
			known.instance.Leaving, known.instance.CutOff = entry.Instance.Leaving, entry.Instance.CutOff
			// The record of a former run may state another weight. All instances must compute
			// the same order by weight.
			known.instance.Weight, known.instance.RanksByWeight = entry.Instance.Weight, entry.Instance.RanksByWeight
		} else if name != t.opts.Name {
			t.set(name, &peer{instance: entry.Instance})
		}
	}
	return r
}

// reported returns the instances that the valid rosters of peers list as running.
func (t *Table) reported(now time.Time) map[string]*Instance {
	reported := map[string]*Instance{}
	for _, p := range t.peers {
		if p.roster == nil || now.Sub(p.roster.at) >= rosterLifetime {
			continue
		}
		for name, instance := range p.roster.running {
			reported[name] = instance
		}
	}
	return reported
}

// updateRoster updates the roster of this instance with the live peers.
func (t *Table) updateRoster() {
	now := t.opts.Now()
	alive := map[string]Instance{t.opts.Name: t.opts.Self()}
	t.mu.Lock()
	for name, p := range t.peers {
		if t.alive(p, now) {
			alive[name] = p.instance
		}
	}
	t.mu.Unlock()
	t.roster.update(alive)
}
