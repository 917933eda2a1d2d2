package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxDeltaEntries bounds the entries of a roster in one datagram; the rest comes
	// with the next answer.
	maxDeltaEntries = 120
	// rosterLifetime is how long the roster of an instance that is not heard any more
	// is believed: until the others have found the next ones that lead.
	rosterLifetime = 2 * replyTimeout
)

// version names a state of the roster of one run of an instance.
type version struct {
	Run    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// rosterEntry is what an instance that leads says of another one.
type rosterEntry struct {
	Instance Instance `cbor:"1,keyasint"`
	// Removed is true once it is not heard any more.
	Removed bool `cbor:"2,keyasint,omitempty"`
	// number is the state of the roster with which the entry came.
	number uint64
}

// rosterDelta is the part of a roster that its receiver lacks.
type rosterDelta struct {
	// Version is the state that the receiver has with these entries.
	Version version       `cbor:"1,keyasint"`
	Entries []rosterEntry `cbor:"2,keyasint,omitempty"`
	// Full is true where the entries begin a new roster.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// roster is what an instance that leads has heard itself. Each change of an
// entry gets the next number, so that a receiver gets only what is new to it.
type roster struct {
	mu      sync.Mutex
	number  uint64
	entries map[string]*rosterEntry
	// sorted holds the entries in the order of their numbers.
	sorted []*rosterEntry
}

// update takes over which instances are heard now.
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

// since returns what a receiver with the given state lacks.
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

// receivedRoster is the roster of a peer as far as it has arrived.
type receivedRoster struct {
	version version
	running map[string]*Instance
	// at is when the latest part of it arrived.
	at time.Time
}

// applyDelta adds a delta to the roster of a peer. Instances that were not known
// become known.
func (t *Table) applyDelta(old *peer, delta *rosterDelta) *receivedRoster {
	r := &receivedRoster{running: map[string]*Instance{}}
	if old != nil && old.roster != nil && !delta.Full && old.roster.version.Run == delta.Version.Run {
		r = old.roster
	}
	if delta.Version.Number < r.version.Number {
		// A datagram that was overtaken.
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
		if _, known := t.peers[name]; !known && name != t.opts.Name {
			t.peers[name] = &peer{instance: entry.Instance}
		}
	}
	return r
}

// reported returns the instances that run by the rosters of peers.
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

// updateRoster takes over which peers are heard into the own roster.
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
